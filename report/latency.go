package report

import (
	"math/bits"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyUnit is the width of the finest latency bucket.
	latencyUnit = 16 * time.Microsecond
	// subBuckets is the number of buckets for each doubling of the latency.
	// subBucketBits is its base-2 logarithm.
	subBuckets    = 8
	subBucketBits = 3
	// latencyBuckets is the number of buckets.
	latencyBuckets = 200
)

// maxLatency is the longest latency that the histograms can represent.
const maxLatency = 10 * time.Minute

// bucketOf returns the bucket of a latency. Beyond the finest buckets, a bucket is
// at most 12.5% wide.
func bucketOf(latency time.Duration) int {
	units := uint64(max(0, latency/latencyUnit))
	if units < subBuckets {
		return int(units)
	}
	doubling := bits.Len64(units) - subBucketBits - 1
	sub := units >> doubling // from subBuckets to 2*subBuckets-1
	return min(doubling*subBuckets+int(sub), latencyBuckets-1)
}

// bucketMiddle returns the latency in the middle of a bucket.
func bucketMiddle(bucket int) time.Duration {
	if bucket < 2*subBuckets {
		return time.Duration(bucket)*latencyUnit + latencyUnit/2
	}
	doubling := bucket/subBuckets - 1
	low := time.Duration(bucket%subBuckets+subBuckets) << doubling
	return low*latencyUnit + (latencyUnit<<doubling)/2
}

// newHistogram returns a histogram of latencies in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 2)
}

// percentile returns a percentile, from 0 to 100, of a histogram in microseconds.
func percentile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}
