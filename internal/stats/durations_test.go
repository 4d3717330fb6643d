package stats

import (
	"math"
	"testing"
	"time"
)

// Percentiles are correct to three significant digits, and durations outside the range are recorded as
// the nearest bound of the range.
func TestDurations(t *testing.T) {
	var d Durations
	if d.Percentile(99) != 0 || d.Max() != 0 || d.Count() != 0 {
		t.Errorf("empty histogram: got 99th percentile %v, maximum %v, count %d, want 0", d.Percentile(99), d.Max(), d.Count())
	}
	for i := range 1000 {
		d.Record(time.Duration(i+1) * time.Millisecond)
	}
	for _, test := range []struct{ got, want time.Duration }{
		{d.Percentile(50), 500 * time.Millisecond}, {d.Percentile(99), 990 * time.Millisecond}, {d.Max(), time.Second},
	} {
		if off := math.Abs(float64(test.got)/float64(test.want) - 1); off > 0.001 {
			t.Errorf("percentile or maximum: got %v, want %v to three significant digits", test.got, test.want)
		}
	}
	d.Record(-time.Second)
	d.Record(24 * time.Hour)
	if d.Count() != 1002 || d.Max() < 59*time.Minute {
		t.Errorf("durations outside the range: got count %d, maximum %v, want 1002, at least 59m0s", d.Count(), d.Max())
	}
}
