// Package entrytest tests the whole path of entry VMs, against stand-ins of the
// platform's store and replicas that speak its published protocol.
package entrytest
