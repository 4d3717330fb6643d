package stats

import (
	"math"
	"testing"
)

// near reports whether two numbers are equal except for rounding errors.
func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// For an exact power law, Exponent returns its exponent, whatever the constant factor is.
func TestExponentOfAPowerLaw(t *testing.T) {
	sizes := []float64{100, 400, 1000, 4000, 16000}
	for _, want := range []float64{0, 0.3, 1, 2} {
		var values []float64
		for _, s := range sizes {
			values = append(values, 7*math.Pow(s, want))
		}
		if got := Exponent(sizes, values); !near(got, want) {
			t.Errorf("exact power law: got exponent %v, want %v", got, want)
		}
	}
}

// Exponent leaves out pairs in which a number is zero, because zero has no logarithm. For a single pair, it
// returns NaN.
func TestExponentLeavesOutWhatHasNoLogarithm(t *testing.T) {
	if got := Exponent([]float64{0, 1, 10, 100}, []float64{5, 1, 10, 0}); !near(got, 1) {
		t.Errorf("pairs with a zero left out: got exponent %v, want 1", got)
	}
	if got := Exponent([]float64{10}, []float64{1}); !math.IsNaN(got) {
		t.Errorf("one point: got exponent %v, want NaN", got)
	}
}

// For points on a straight line, Line returns this line. For other points, it returns the least-squares line.
func TestLine(t *testing.T) {
	intercept, slope := Line([]float64{1, 2, 3}, []float64{5, 7, 9})
	if !near(intercept, 3) || !near(slope, 2) {
		t.Errorf("points on a line: got %v + %v x, want 3 + 2 x", intercept, slope)
	}
	// Calculated by hand: both means are 2, and the slope is (1*1 + 0*1 + 1*0)/2.
	intercept, slope = Line([]float64{1, 2, 3}, []float64{1, 3, 2})
	if !near(intercept, 1) || !near(slope, 0.5) {
		t.Errorf("points not on a line: got %v + %v x, want 1 + 0.5 x", intercept, slope)
	}
	if a, b := Line([]float64{2, 2}, []float64{1, 3}); !math.IsNaN(a) || !math.IsNaN(b) {
		t.Errorf("two points of one size: got %v + %v x, want NaN", a, b)
	}
}
