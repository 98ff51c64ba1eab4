// Package programtest proves the properties of programs over several VMs that
// share one store, one step at a time and on a clock of its own.
package programtest
