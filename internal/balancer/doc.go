// Package balancer implements the controller that chooses the upstream of each
// call.
//
// Its state is the list of upstreams, the calls that this VM has in flight, and
// the results of earlier calls. The choice is a function of that state: the
// upstream with the lowest expected cost in milliseconds. The cost consists of
// waiting, distance and the part of the prompt that would have to be recomputed.
package balancer
