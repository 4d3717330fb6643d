package plot

import (
	"encoding/xml"
	"errors"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestChart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.svg")
	err := Chart(path, "Cost & size", "workers", "us",
		Series{"request", []float64{100, 400, 4000, 0}, []float64{23, 110, 1110, 5}},
		Series{"list entry", []float64{100, 4000}, []float64{0.6, 25}})
	if err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for d := xml.NewDecoder(strings.NewReader(string(b))); ; {
		if _, err := d.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatalf("not XML: %v", err)
		}
	}
	s := string(b)
	for _, want := range []string{"Cost &amp; size", ">workers<", ">us<", ">list entry<", ">100<", ">5000<", ">1<", ">2000<"} {
		if !strings.Contains(s, want) {
			t.Errorf("the chart lacks %q", want)
		}
	}
	if n := strings.Count(s, "<circle"); n != 5 {
		t.Errorf("%d points, want 5: one has no logarithm", n)
	}
	if Chart(path, "empty", "", "", Series{"none", []float64{0}, []float64{1}}) == nil {
		t.Error("no error without a point")
	}
}

func TestAxisEndsAtTicks(t *testing.T) {
	for _, c := range []struct{ v, below, above float64 }{
		{1, 1, 1}, {3, 2, 5}, {7, 5, 10}, {23, 20, 50}, {0.6, 0.5, 1}, {16000, 10000, 20000},
	} {
		if b, a := tickBelow(c.v), tickAbove(c.v); !near(b/c.below, 1) || !near(a/c.above, 1) {
			t.Errorf("ticks of %v are %v and %v, want %v and %v", c.v, b, a, c.below, c.above)
		}
	}
}
