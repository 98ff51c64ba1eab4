// Package unit has the named units of quantities that are not durations.
package unit
