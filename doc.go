// Package sassafrasspur runs an entry VM of the scheduler for agent programs.
//
// A Node listens for callers and for other entry VMs, keeps its part of the
// programs, and sends their calls to upstreams. Every request passes one chain
// of filters, which is set down in chain.go; all control state is owned by one
// goroutine, whose controllers are set down in control.go.
package sassafrasspur
