package stats

import (
	"math"
	"testing"
	"time"
)

// Percentiles are right to three digits, and what is out of range counts at its end.
func TestDurations(t *testing.T) {
	var d Durations
	if d.Percentile(99) != 0 || d.Max() != 0 || d.Count() != 0 {
		t.Error("an empty value has durations")
	}
	for i := range 1000 {
		d.Record(time.Duration(i+1) * time.Millisecond)
	}
	for _, test := range []struct{ got, want time.Duration }{
		{d.Percentile(50), 500 * time.Millisecond}, {d.Percentile(99), 990 * time.Millisecond}, {d.Max(), time.Second},
	} {
		if off := math.Abs(float64(test.got)/float64(test.want) - 1); off > 0.001 {
			t.Errorf("got %v, want %v to three digits", test.got, test.want)
		}
	}
	d.Record(-time.Second)
	d.Record(24 * time.Hour)
	if d.Count() != 1002 || d.Max() < 59*time.Minute {
		t.Errorf("%d counted, longest %v: what lies out of range is to count at its end", d.Count(), d.Max())
	}
}
