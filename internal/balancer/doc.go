// Package balancer has the controller that chooses the upstream of each call.
//
// It knows the listed upstreams, the calls that this VM has under way, and how
// earlier calls went. The choice itself is a function of these: the upstream
// with the lowest expected cost in milliseconds, made of waiting, distance and
// the part of the prompt that would have to be computed again.
package balancer
