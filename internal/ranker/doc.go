// Package ranker orders the calls that wait for an upstream.
//
// The order is by class, then by the attained service of the whole program, least
// first. Aging lowers the attained service of waiting calls, so that long programs
// are not starved. All calls age at the same rate, so the order of two calls never
// changes and a sorted queue stays sorted.
//
// The package is pure.
package ranker
