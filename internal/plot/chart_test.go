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

// A chart is valid XML that contains its title, its labels, its legend, and each point with positive
// coordinates.
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
			t.Fatalf("the chart is not valid XML: %v", err)
		}
	}
	for _, want := range []string{"Cost &amp; size", ">workers<", ">us<", ">list entry<", ">100<", ">5000<", ">1<", ">2000<"} {
		if !strings.Contains(text, want) {
			t.Errorf("the chart does not contain %q", want)
		}
	}
	if points := strings.Count(text, "<circle"); points != 5 {
		t.Errorf("got %d points, want 5: the point with the coordinate 0 must be left out", points)
	}
	if Chart(path, "empty", "", "", Series{"none", []float64{0}, []float64{1}}) == nil {
		t.Error("chart without a point above zero: got no error, want one")
	}
}
