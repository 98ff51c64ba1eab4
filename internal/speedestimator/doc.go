// Package speedestimator estimates how slow one engine is relative to its pool, from
// the calls of this VM.
//
// An estimate has two figures. The lasting one is the speed of the engine's hardware; it
// changes slowly and is kept for minutes. The recent one is the median of the last three
// observations; it covers load and faults and loses its weight within seconds, after
// which a slow engine is tried again.
package speedestimator
