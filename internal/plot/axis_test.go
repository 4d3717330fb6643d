package plot

import (
	"math"
	"testing"
)

// near reports whether two numbers are equal except for rounding errors.
func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// For a value between two ticks, tickBelow returns the lower tick and tickAbove the upper tick. For a value that is a
// tick, both return the value. The ends of an axis are calculated with these functions.
func TestAxisEndsAtTicks(t *testing.T) {
	for _, test := range []struct{ value, below, above float64 }{
		{1, 1, 1}, {3, 2, 5}, {7, 5, 10}, {23, 20, 50}, {0.6, 0.5, 1}, {16000, 10000, 20000},
	} {
		if below, above := tickBelow(test.value), tickAbove(test.value); !near(below/test.below, 1) || !near(above/test.above, 1) {
			t.Errorf("ticks around %v: got %v and %v, want %v and %v", test.value, below, above, test.below, test.above)
		}
	}
}
