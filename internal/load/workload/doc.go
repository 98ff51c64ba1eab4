// Package workload generates the programs of a load experiment.
//
// A workload is a deterministic function of its kind, seed and arrival rates. The
// content of the n-th program depends only on the kind, the seed and n, so that
// runs at different rates or with different policies use the same programs.
// Arrivals follow a Poisson process whose events are single programs or bursts.
// Lengths are drawn from bounded Pareto distributions.
//
// The package does no I/O; package driver runs the programs.
package workload
