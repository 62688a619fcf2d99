package report

import (
	"math/bits"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyUnit is the width of the finest latency bucket.
	latencyUnit = 16 * time.Microsecond
	// subBuckets divide each doubling of the latency.
	subBuckets    = 8
	subBucketBits = 3
	latencyLimit  = 200
)

// longestLatency bounds what the histograms can tell apart.
const longestLatency = 10 * time.Minute

// bucketOf returns the bucket of a latency: 12.5% wide at most.
func bucketOf(latency time.Duration) int {
	units := uint64(max(0, latency/latencyUnit))
	if units < subBuckets {
		return int(units)
	}
	octave := bits.Len64(units) - subBucketBits - 1
	sub := units >> octave // from subBuckets to 2*subBuckets-1
	return min(octave*subBuckets+int(sub), latencyLimit-1)
}

// middleOf returns the latency in the middle of a bucket.
func middleOf(bucket int) time.Duration {
	if bucket < 2*subBuckets {
		return time.Duration(bucket)*latencyUnit + latencyUnit/2
	}
	octave := bucket/subBuckets - 1
	low := time.Duration(bucket%subBuckets+subBuckets) << octave
	return low*latencyUnit + (latencyUnit<<octave)/2
}

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestLatency.Microseconds(), 2)
}

// quantile returns a quantile, from 0 to 100, of a histogram of microseconds.
func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}
