// Package sassafrasspur runs an entry VM of the scheduler for agent programs.
//
// A Node serves the program API of this product (program_api.go), the ingress API of
// the users' platform (ingress_api.go), or both, and sends calls to upstreams. Every
// request passes through the filter chain of its API, which is defined in
// chain.go. All control state is owned by a single goroutine, whose controllers
// are listed in control.go.
package sassafrasspur
