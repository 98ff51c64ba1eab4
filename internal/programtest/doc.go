// Package programtest checks the properties of programs on several simulated VMs
// that share one store. The simulation executes one step at a time on a manual
// clock.
package programtest
