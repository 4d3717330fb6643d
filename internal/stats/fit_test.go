package stats

import (
	"math"
	"testing"
)

// near reports whether two numbers are equal but for rounding.
func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// The exponent of a power law is found whatever its factor.
func TestExponentOfAPowerLaw(t *testing.T) {
	sizes := []float64{100, 400, 1000, 4000, 16000}
	for _, want := range []float64{0, 0.3, 1, 2} {
		var values []float64
		for _, s := range sizes {
			values = append(values, 7*math.Pow(s, want))
		}
		if got := Exponent(sizes, values); !near(got, want) {
			t.Errorf("exponent %v, want %v", got, want)
		}
	}
}

// Pairs without a logarithm are left out.
func TestExponentLeavesOutWhatHasNoLogarithm(t *testing.T) {
	if got := Exponent([]float64{0, 1, 10, 100}, []float64{5, 1, 10, 0}); !near(got, 1) {
		t.Errorf("exponent %v, want 1", got)
	}
	if got := Exponent([]float64{10}, []float64{1}); !math.IsNaN(got) {
		t.Errorf("exponent %v of one point, want NaN", got)
	}
}

// The line through exact points, and the least-squares one through others.
func TestLine(t *testing.T) {
	intercept, slope := Line([]float64{1, 2, 3}, []float64{5, 7, 9})
	if !near(intercept, 3) || !near(slope, 2) {
		t.Errorf("line %v + %v x, want 3 + 2 x", intercept, slope)
	}
	// By hand: mean 2 and 2, slope (1*1 + 0*1 + 1*0)/2.
	intercept, slope = Line([]float64{1, 2, 3}, []float64{1, 3, 2})
	if !near(intercept, 1) || !near(slope, 0.5) {
		t.Errorf("line %v + %v x, want 1 + 0.5 x", intercept, slope)
	}
	if a, b := Line([]float64{2, 2}, []float64{1, 3}); !math.IsNaN(a) || !math.IsNaN(b) {
		t.Errorf("line %v + %v x through one size, want NaN", a, b)
	}
}
