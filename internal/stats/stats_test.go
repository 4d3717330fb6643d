package stats

import (
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

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

func TestExponentLeavesOutWhatHasNoLogarithm(t *testing.T) {
	if got := Exponent([]float64{0, 1, 10, 100}, []float64{5, 1, 10, 0}); !near(got, 1) {
		t.Errorf("exponent %v, want 1", got)
	}
	if got := Exponent([]float64{10}, []float64{1}); !math.IsNaN(got) {
		t.Errorf("exponent %v of one point, want NaN", got)
	}
}

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

func TestDurations(t *testing.T) {
	var d Durations
	if d.Percentile(99) != 0 || d.Max() != 0 || d.Count() != 0 {
		t.Error("an empty value has durations")
	}
	for i := range 1000 {
		d.Record(time.Duration(i+1) * time.Millisecond)
	}
	for _, c := range []struct{ got, want time.Duration }{
		{d.Percentile(50), 500 * time.Millisecond}, {d.Percentile(99), 990 * time.Millisecond}, {d.Max(), time.Second},
	} {
		if off := math.Abs(float64(c.got)/float64(c.want) - 1); off > 0.001 {
			t.Errorf("got %v, want %v to three digits", c.got, c.want)
		}
	}
	d.Record(-time.Second)
	d.Record(24 * time.Hour)
	if d.Count() != 1002 || d.Max() < 59*time.Minute {
		t.Errorf("%d counted, longest %v: what lies out of range is to count at its end", d.Count(), d.Max())
	}
}

func TestWriteTable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "t.csv")
	if err := WriteTable(path, []string{"workers", "us"}, [][]float64{{100, 1.5}, {4000, math.NaN()}}); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if want := "workers,us\n100,1.5\n4000,NaN\n"; string(got) != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if WriteTable(filepath.Join(t.TempDir(), "none", "t.csv"), nil, nil) == nil {
		t.Error("no error where the directory is missing")
	}
}
