package stats

// This file owns the histogram of durations.

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of Durations.
const (
	minDuration       = time.Nanosecond
	maxDuration       = time.Hour
	significantDigits = 3
)

// Durations is a histogram of durations from 1 ns to 1 h with a precision of three significant
// digits. The zero value is ready for use. It is not safe for concurrent use.
type Durations struct {
	histogram *hdrhistogram.Histogram
}

// Record adds a duration. A duration outside the range is recorded as the nearest bound of the range.
func (d *Durations) Record(duration time.Duration) {
	if d.histogram == nil {
		d.histogram = hdrhistogram.New(int64(minDuration), int64(maxDuration), significantDigits)
	}
	// The value is within the range of the histogram, so RecordValue cannot fail.
	_ = d.histogram.RecordValue(int64(min(maxDuration, max(minDuration, duration))))
}

// Count returns the number of recorded durations.
func (d *Durations) Count() int64 {
	if d.histogram == nil {
		return 0
	}
	return d.histogram.TotalCount()
}

// Percentile returns the given percentile of the recorded durations: the stated percentage of them is at
// most as long as the result. It returns 0 if no duration was recorded.
func (d *Durations) Percentile(percent float64) time.Duration {
	if d.histogram == nil {
		return 0
	}
	return time.Duration(d.histogram.ValueAtQuantile(percent))
}

// Max returns the longest recorded duration, or 0 if none was recorded.
func (d *Durations) Max() time.Duration {
	if d.histogram == nil {
		return 0
	}
	return time.Duration(d.histogram.Max())
}
