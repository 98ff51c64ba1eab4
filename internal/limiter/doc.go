// Package limiter bounds the number of the VM's calls per upstream and the
// queue of each pool.
//
// The limit of an upstream follows the observed latency with additive increase
// and multiplicative decrease: it grows by one for each full round of calls near
// the baseline latency and shrinks by a factor when the latency is a multiple of
// the baseline. It never falls below one, so that calls continue, their latencies
// are observed and the limit recovers without a restart.
//
// The package is pure: state, time and random numbers are arguments.
package limiter
