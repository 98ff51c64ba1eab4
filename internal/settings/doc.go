// Package settings has the settings of the daemon and the table of their keys.
//
// The table is the only place where a key's unit, default, bounds and purpose
// are stated. The loader checks files against it, and docs/settings.md is
// generated from it. Rules between keys are those of the loader.
package settings
