package retainer

import "time"

const (
	// bucketCount covers pauses from 50 ms to about a day, with bounds that double
	// from bucket to bucket.
	bucketCount = 22
	// firstUpperBound is the upper bound of the first bucket.
	firstUpperBound = 50 * time.Millisecond
	// halvingThreshold is the number of pauses at which all counts are halved, so
	// that the distribution follows changes of the tools.
	halvingThreshold = 1024
)

// Histogram is the distribution of the pauses of one pool and operation. The zero
// value is an empty histogram.
type Histogram struct {
	counts [bucketCount]uint32
	total  uint32
}

func upperBound(bucket int) time.Duration { return firstUpperBound << bucket }

// Add returns the histogram with one more pause.
func (h Histogram) Add(pause time.Duration) Histogram {
	bucket := 0
	for bucket < bucketCount-1 && pause > upperBound(bucket) {
		bucket++
	}
	h.counts[bucket]++
	h.total++
	if h.total >= halvingThreshold {
		h.total = 0
		for i := range h.counts {
			h.counts[i] /= 2
			h.total += h.counts[i]
		}
	}
	return h
}

// countLonger returns the number of pauses in buckets with an upper bound above
// elapsed.
func (h Histogram) countLonger(elapsed time.Duration) float64 {
	var n float64
	for i, count := range h.counts {
		if upperBound(i) > elapsed {
			n += float64(count)
		}
	}
	return n
}
