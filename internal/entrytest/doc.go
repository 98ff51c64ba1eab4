// Package entrytest tests the complete request path of entry VMs. The platform's
// store and the replicas are stand-ins that implement the platform's published
// protocol.
package entrytest
