// Package sassafrasspur runs an entry VM of the scheduler for agent programs.
//
// A Node serves the product's own interface (calls.go), the interface of the
// users' platform (ingress.go), or both, and sends calls to upstreams. Every
// request passes the chain of filters of its interface, which is set down in
// chain.go; all control state is owned by one goroutine, whose controllers are
// set down in control.go.
package sassafrasspur
