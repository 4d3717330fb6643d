package plot

import (
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A chart is XML with its labels, legend and the points that have a logarithm.
func TestChart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.svg")
	err := Chart(path, "Cost & size", "workers", "us",
		Series{"request", []float64{100, 400, 4000, 0}, []float64{23, 110, 1110, 5}},
		Series{"list entry", []float64{100, 4000}, []float64{0.6, 25}})
	if err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text := string(content)
	for decoder := xml.NewDecoder(strings.NewReader(text)); ; {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatalf("not XML: %v", err)
		}
	}
	for _, want := range []string{"Cost &amp; size", ">workers<", ">us<", ">list entry<", ">100<", ">5000<", ">1<", ">2000<"} {
		if !strings.Contains(text, want) {
			t.Errorf("the chart lacks %q", want)
		}
	}
	if points := strings.Count(text, "<circle"); points != 5 {
		t.Errorf("%d points, want 5: one has no logarithm", points)
	}
	if Chart(path, "empty", "", "", Series{"none", []float64{0}, []float64{1}}) == nil {
		t.Error("no error without a point")
	}
}
