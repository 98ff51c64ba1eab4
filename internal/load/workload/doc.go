// Package workload generates the programs of a load experiment.
//
// A workload is a function of its kind, its seed and the arrival rates: the
// content of the n-th program depends on the seed and n only, so that runs at
// different rates or with different policies use the same programs. Arrivals
// are a Poisson process whose events are single programs or bursts. Lengths are
// drawn from bounded Pareto distributions.
//
// The package is pure; package driver runs the programs.
package workload
