// Package configuration has the configuration that operators change by plans.
//
// A Configuration is a value with one version. Nodes never change it in place;
// a confirmed plan replaces it as a whole.
package configuration
