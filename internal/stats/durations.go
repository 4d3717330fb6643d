package stats

// This file owns the distribution of durations.

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and precision of Durations.
const (
	minDuration       = time.Nanosecond
	maxDuration       = time.Hour
	significantDigits = 3
)

// Durations counts durations from a nanosecond to an hour, to three significant
// digits. The zero value is ready for use. It is not safe for concurrent use.
type Durations struct {
	histogram *hdrhistogram.Histogram
}

// Record counts a duration. One outside the range counts as its nearest end.
func (d *Durations) Record(duration time.Duration) {
	if d.histogram == nil {
		d.histogram = hdrhistogram.New(int64(minDuration), int64(maxDuration), significantDigits)
	}
	// A value within the range that the histogram was made for is never rejected.
	_ = d.histogram.RecordValue(int64(min(maxDuration, max(minDuration, duration))))
}

// Count returns how many durations were recorded.
func (d *Durations) Count() int64 {
	if d.histogram == nil {
		return 0
	}
	return d.histogram.TotalCount()
}

// Percentile returns the duration that percent of those recorded do not exceed, 0 without
// any.
func (d *Durations) Percentile(percent float64) time.Duration {
	if d.histogram == nil {
		return 0
	}
	return time.Duration(d.histogram.ValueAtQuantile(percent))
}

// Max returns the longest duration recorded, 0 without any.
func (d *Durations) Max() time.Duration {
	if d.histogram == nil {
		return 0
	}
	return time.Duration(d.histogram.Max())
}
