package peer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestIncarnationsGrow asserts that incarnations grow from start to start; that a file that holds no count
// begins anew, and an older copy of it does no harm that the others could not mend.
func TestIncarnationsGrow(t *testing.T) {
	folder := t.TempDir()
	last := uint64(0)
	for range 3 {
		incarnation, fault, err := NextIncarnation(folder)
		if err != nil || fault != "" || incarnation <= last {
			t.Fatalf("%d after %d: %s, %v", incarnation, last, fault, err)
		}
		last = incarnation
	}
	for _, text := range []string{"", "3", "x\n", "-1\n", "99999999999\n"} {
		if err := os.WriteFile(filepath.Join(folder, startsFile), []byte(text), startsFileMode); err != nil {
			t.Fatal(err)
		}
		incarnation, fault, err := NextIncarnation(folder)
		if err != nil || !strings.Contains(fault, "expected a count of starts") || incarnation != refutationsPerStart {
			t.Errorf("%q: %d, %q, %v", text, incarnation, fault, err)
		}
	}
	if incarnation, _, err := NextIncarnation(""); err != nil || incarnation != firstIncarnation {
		t.Errorf("without a folder: %d, %v", incarnation, err)
	}
	if _, _, err := NextIncarnation(filepath.Join(folder, "none")); err == nil {
		t.Error("a folder that does not exist is taken")
	}
}
