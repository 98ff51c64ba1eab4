// Package configuration defines the configuration that operators change with
// plans.
//
// A Configuration is an immutable value with a version. A confirmed plan replaces
// it as a whole.
package configuration
