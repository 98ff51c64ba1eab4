// Package upstream defines upstreams as the platform lists them, the calls that
// are sent to them and the answers to these calls.
package upstream
