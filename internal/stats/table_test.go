package stats

import (
	"math"
	"os"
	"path/filepath"
	"testing"
)

// A table consists of a header line and one line for each row.
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
		t.Errorf("file: got %q, want %q", got, want)
	}
	if WriteTable(filepath.Join(t.TempDir(), "none", "t.csv"), nil, nil) == nil {
		t.Error("path in a missing directory: got no error, want one")
	}
}
