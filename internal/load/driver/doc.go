// Package driver runs the programs of a workload against entry VMs.
//
// The driver is open-loop: a program starts at its arrival time however many
// are under way, and its latency counts from there. The calls of a program are
// sent one after the other. A refusal that asks for a repeat is repeated after
// the delay that it names.
package driver
