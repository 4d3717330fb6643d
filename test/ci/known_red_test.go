// Package ci tests what the checks of a clean checkout do beside running the tests.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Only lines of the form that is asked for pass tests over, three at most, and only tests
// that there are.
func TestKnownRed(t *testing.T) {
	const one, other = "TestKnownRed | it fails on odd days | issue 3\n", "TestNoList | it is slow | issue 4\n"
	for _, c := range []struct{ name, list, pattern, says string }{
		{"one", one, "^(TestKnownRed)$\n", "known red, passed over: " + one},
		{"two", other + one, "^(TestNoList|TestKnownRed)$\n", "known red, passed over: " + other},
		{"no end of line", strings.TrimSpace(one), "^(TestKnownRed)$\n", "known red, passed over: " + one},
		{"four", strings.Repeat(one, 4), "", "expected one to three lines, got 4"},
		{"none", "", "", "expected one to three lines, got 0"},
		{"no cause", "TestKnownRed |  | issue 3\n", "", ":1: expected 'TestName | cause | issue N'"},
		{"no issue", one + "TestKnownRed | it fails\n", "", ":2: expected 'TestName | cause | issue N'"},
		{"a pattern", "Test.* | all fail | issue 3\n", "", ":1: expected 'TestName | cause | issue N'"},
		{"no such test", "TestKnown | it fails | issue 3\n", "", ":1: there is no test TestKnown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "list")
			if err := os.WriteFile(file, []byte(c.list), 0o600); err != nil {
				t.Fatal(err)
			}
			cmd := exec.Command("bash", "../../.ci/known-red", file, ".")
			var says strings.Builder
			cmd.Stderr = &says
			out, err := cmd.Output()
			if string(out) != c.pattern || (err == nil) != (c.pattern != "") || !strings.Contains(says.String(), c.says) {
				t.Errorf("printed %q, said %q, %v", out, says.String(), err)
			}
		})
	}
}

// Where there is no list, nothing is passed over.
func TestNoList(t *testing.T) {
	out, err := exec.Command("bash", "../../.ci/known-red", filepath.Join(t.TempDir(), "none"), ".").Output()
	if err != nil || len(out) > 0 {
		t.Errorf("%q, %v", out, err)
	}
}
