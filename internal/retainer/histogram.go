package retainer

import "time"

const (
	// buckets covers pauses from 50 ms to about a day in factors of two.
	buckets = 22
	// firstBound is the upper bound of the first bucket.
	firstBound = 50 * time.Millisecond
	// window is the number of pauses after which all counts are halved, so
	// that the distribution follows changes of the tools.
	window = 1024
)

// Histogram is the distribution of the pauses of one pool and operation. The
// zero value has no observations.
type Histogram struct {
	counts [buckets]uint32
	total  uint32
}

func bound(bucket int) time.Duration { return firstBound << bucket }

// Add returns the histogram with one more pause.
func (h Histogram) Add(pause time.Duration) Histogram {
	bucket := 0
	for bucket < buckets-1 && pause > bound(bucket) {
		bucket++
	}
	h.counts[bucket]++
	h.total++
	if h.total >= window {
		h.total = 0
		for i := range h.counts {
			h.counts[i] /= 2
			h.total += h.counts[i]
		}
	}
	return h
}

// longer returns the number of pauses above elapsed, by whole buckets.
func (h Histogram) longer(elapsed time.Duration) float64 {
	var n float64
	for i, count := range h.counts {
		if bound(i) > elapsed {
			n += float64(count)
		}
	}
	return n
}
