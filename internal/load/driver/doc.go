// Package driver runs the programs of a workload against entry VMs.
//
// The driver is open-loop: a program starts at its arrival time regardless of
// how many are already running, and its latency is measured from that time. The
// calls of a program are sent sequentially. A failed request that carries a
// retry delay is sent again after that delay.
package driver
