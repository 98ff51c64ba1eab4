// Package unit defines types for quantities other than durations.
package unit
