package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"ravenhitch/internal/testbed"
)

// A command that makes no sense says what was expected, and starts nothing.
func TestCommands(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none")
	for _, test := range []struct {
		line, want string
	}{
		{"peer", "unexpected argument peer"},
		{"peers", "missing flags: --mgmt"},
		{"peers --mgmt 127.0.0.1:1", "connection refused"},
		{"rehearse --orchestrators 1", "--orchestrators: expected 2 to 32, got 1"},
		{"rehearse --seconds 4", "--seconds: expected 5 to 3600, got 4"},
		{"rehearse --file " + missing, "no such file"},
		{"rehearse --seed 3 --file x", "can't be used together"},
	} {
		t.Setenv("ROUTER_MGMT", "")
		os.Unsetenv("ROUTER_MGMT")
		var out, errs bytes.Buffer
		if code := runCommand(strings.Fields(test.line), &out, &errs); code != 1 || !strings.Contains(errs.String(), test.want) {
			t.Errorf("%s: code %d, %q", test.line, code, errs.String())
		}
	}
	var errs bytes.Buffer
	if runCommand([]string{"rehearse", "--schedule", "2s cut; 3s heal"}, &errs, &errs); !strings.Contains(errs.String(), "step 1: expected a process or a way after cut") {
		t.Errorf("a bad schedule: %q", errs.String())
	}
}

// A rehearsal shows what was played, breaks no rule, and leaves nothing running.
func TestRehearse(t *testing.T) {
	bin, out := filepath.Join(t.TempDir(), "ravenhitch"), filepath.Join(t.TempDir(), "out")
	if b, err := exec.Command("go", "build", "-o", bin, "ravenhitch/cmd/ravenhitch").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, b)
	}
	b, err := exec.Command(bin, "rehearse", "--orchestrators", "3", "--seconds", "6", "--schedule", "1s kill n2; 5s heal", "--out", out).CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, b)
	}
	text, err := os.ReadFile(filepath.Join(out, "record.json"))
	if err != nil {
		t.Fatal(err)
	}
	var r recording
	if err := json.Unmarshal(text, &r); err != nil || len(r.Failures) > 0 || r.Total.Started == 0 || len(r.Moments) < 10 || len(r.Steps) != 2 {
		t.Errorf("%v; %v, %+v, %d moments, %d steps", err, r.Failures, r.Total, len(r.Moments), len(r.Steps))
	}
	if p, err := os.ReadFile(filepath.Join(out, "picture.svg")); err != nil || !bytes.Contains(p, []byte("1s kill n2")) {
		t.Errorf("the picture: %v", err)
	}
	// Its orchestrators had their settings in a folder of its own: whoever still runs names it.
	procs, err := filepath.Glob("/proc/[0-9]*/cmdline")
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range procs {
		if line, err := os.ReadFile(p); err == nil && bytes.HasPrefix(line, []byte(bin)) {
			t.Errorf("still runs: %q", line)
		}
	}
}

// Schedules read as they are written.
func TestSchedules(t *testing.T) {
	for seed := range uint64(200) {
		steps := testbed.Draw(seed, map[string][]string{"hall-a": {"n0", "n1"}, "hall-b": {"n2", "n3", "n4"}}, 20e9)
		again, err := testbed.ParseSchedule(testbed.Text(steps))
		if err != nil || testbed.Text(again) != testbed.Text(steps) {
			t.Fatalf("seed %d: %s became %s (%v)", seed, testbed.Text(steps), testbed.Text(again), err)
		}
	}
	for text, want := range map[string]string{"x cut a->b": "step 1: expected a time", "1s": "expected what is done", "1s burn a": "expected one of bandwidth",
		"1s loss all 2": "a share of 0 to 1", "1s pause a": "pause a TIME", "1s heal all": "nothing after heal", "1s restart a new": "empty or old",
		"1s flap a->b 0s": "expected a time", "1s kill a; 2s cut a->b c": "step 2: expected cut a->b [but PROCESS]"} {
		if _, err := testbed.ParseSchedule(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}
