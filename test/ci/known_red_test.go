// Package ci tests the scripts that CI runs in addition to the tests.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// This file tests .ci/known-red, which prints a pattern that matches the tests to skip. These are the tests that a list
// names as failing.

// TestKnownRed checks the pattern that known-red prints for a valid list. It also checks that known-red fails if the
// list is empty, a line does not have the expected format with all fields, or a test does not exist.
func TestKnownRed(t *testing.T) {
	const wantFormat = "expected 'TestName | command and seed | what was seen | issue N'"
	const firstEntry, secondEntry = "TestKnownRed | go test ./test/ci, seed 3 | it fails on odd days | issue 3\n",
		"TestNoList | go test ./test/ci | it is slow | issue 4\n"
	for _, c := range []struct{ name, list, pattern, message string }{
		{"one", firstEntry, "^(TestKnownRed)$\n", "known red, passed over: " + firstEntry},
		{"two", secondEntry + firstEntry, "^(TestNoList|TestKnownRed)$\n", "known red, passed over: " + secondEntry},
		{"no end of line", strings.TrimSpace(firstEntry), "^(TestKnownRed)$\n", "known red, passed over: " + firstEntry},
		{"entries listed twice", strings.Repeat(firstEntry+secondEntry, 2), "^(TestKnownRed|TestNoList|TestKnownRed|TestNoList)$\n", "known red, passed over: " + secondEntry},
		{"empty list", "", "", "expected a line or more, got none"},
		{"no command", "TestKnownRed |  | it fails | issue 3\n", "", ":1: " + wantFormat},
		{"nothing seen", "TestKnownRed | go test |  | issue 3\n", "", ":1: " + wantFormat},
		{"former format without a command", "TestKnownRed | it fails | issue 3\n", "", ":1: " + wantFormat},
		{"no issue", firstEntry + "TestKnownRed | go test | it fails\n", "", ":2: " + wantFormat},
		{"a field too many", "TestKnownRed | go test | it fails | often | issue 3\n", "", ":1: " + wantFormat},
		{"a pattern instead of a test name", "Test.* | go test | all fail | issue 3\n", "", ":1: " + wantFormat},
		{"no such test", "TestKnown | go test | it fails | issue 3\n", "", ":1: there is no test TestKnown"},
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
				t.Errorf("known-red: got pattern %q, messages %q, error %v; want pattern %q, messages that contain %q, and an error only if the pattern is empty", out, messages.String(), err, c.pattern, c.message)
			}
		})
	}
}

// TestNoList checks that known-red succeeds and prints no pattern if the file of the list does not exist.
func TestNoList(t *testing.T) {
	out, err := exec.Command("bash", "../../.ci/known-red", filepath.Join(t.TempDir(), "none"), ".").Output()
	if err != nil || len(out) > 0 {
		t.Errorf("known-red without a list: got output %q, error %v; want no output and no error", out, err)
	}
}
