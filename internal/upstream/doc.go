// Package upstream has the upstreams as the platform lists them, and what a
// call to one of them is and results in.
package upstream
