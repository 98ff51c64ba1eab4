// Package capacitytest contains the benchmarks behind the figures in
// docs/CAPACITY.md.
package capacitytest
