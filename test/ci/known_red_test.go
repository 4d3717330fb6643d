// Package ci tests the scripts that CI runs beside the tests.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// This file tests .ci/known-red, which excludes the tests that are listed as failing.

// Only lines of the expected form exclude tests, three at most, and only tests that exist.
func TestKnownRed(t *testing.T) {
	const one, other = "TestKnownRed | it fails on odd days | issue 3\n", "TestNoList | it is slow | issue 4\n"
	for _, c := range []struct{ name, list, pattern, message string }{
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
			command := exec.Command("bash", "../../.ci/known-red", file, ".")
			var messages strings.Builder
			command.Stderr = &messages
			out, err := command.Output()
			if string(out) != c.pattern || (err == nil) != (c.pattern != "") || !strings.Contains(messages.String(), c.message) {
				t.Errorf("pattern %q, messages %q, %v; expected %q and %q", out, messages.String(), err, c.pattern, c.message)
			}
		})
	}
}

// Where there is no list, nothing is excluded.
func TestNoList(t *testing.T) {
	out, err := exec.Command("bash", "../../.ci/known-red", filepath.Join(t.TempDir(), "none"), ".").Output()
	if err != nil || len(out) > 0 {
		t.Errorf("%q, %v", out, err)
	}
}
