// Package settings defines the settings of the daemon and the table of their
// keys.
//
// The table is the single source for the unit, default, bounds and purpose of
// each key. The loader validates files against it, and docs/settings.md is
// generated from it. Rules between keys are defined in the loader.
package settings
