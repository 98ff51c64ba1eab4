// Package hostiletest runs the real process of an entry VM against callers that send
// what exhausts memory or descriptors. The platform's store and the upstreams are
// stand-ins.
//
// The tests check only what does not depend on the machine's speed: that the process
// lives, that its memory and descriptors stay under a bound, and that an ordinary
// request is answered afterwards. They run one after the other.
package hostiletest
