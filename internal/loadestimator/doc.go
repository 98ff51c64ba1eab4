// Package loadestimator estimates the load that other VMs put on one engine, from what the
// engine reported of itself.
//
// A report counts less and less as it ages, since calls end and begin meanwhile and many
// VMs decide on the same report.
package loadestimator
