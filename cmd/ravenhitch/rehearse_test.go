package main

// This file tests the sub-command rehearse as a process, and its schedules of faults.

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// A rehearsal records the started tasks and the executed steps, has no failures, and leaves no process running.
func TestRehearse(t *testing.T) {
	program, dir := buildProgram(t), filepath.Join(t.TempDir(), "out")
	output, err := exec.Command(program, "rehearse", "--orchestrators", "3", "--seconds", "6",
		"--schedule", "1s kill n2; 5s heal", "--out", dir).CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	text, err := os.ReadFile(filepath.Join(dir, recordingFile))
	if err != nil {
		t.Fatal(err)
	}
	var r recording
	if err := json.Unmarshal(text, &r); err != nil {
		t.Error(err)
	}
	if len(r.Failures) > 0 || r.Total.Started == 0 {
		t.Errorf("recording: got failures %v and totals %+v, want no failures and some started tasks", r.Failures, r.Total)
	}
	if len(r.Moments) < 10 || len(r.Steps) != 2 {
		t.Errorf("recording: got %d moments and %d steps, want at least 10 moments and 2 steps", len(r.Moments), len(r.Steps))
	}
	if timeline, err := os.ReadFile(filepath.Join(dir, timelineFile)); err != nil || !bytes.Contains(timeline, []byte("1s kill n2")) {
		t.Errorf("timeline: read error %v, or the step \"1s kill n2\" is missing", err)
	}
	// The rehearsal runs its orchestrators from the binary that this test built. No other test runs this binary, so
	// a process whose command line begins with its path belongs to the rehearsal.
	commandLines, err := filepath.Glob("/proc/[0-9]*/cmdline")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range commandLines {
		if line, err := os.ReadFile(path); err == nil && bytes.HasPrefix(line, []byte(program)) {
			t.Errorf("a process of the rehearsal still runs: %q", line)
		}
	}
}

// A formatted schedule parses to the same schedule, and invalid schedules give an error that names the mistake.
func TestSchedules(t *testing.T) {
	zones := map[string][]string{"hall-a": {"n0", "n1"}, "hall-b": {"n2", "n3", "n4"}}
	for seed := range uint64(200) {
		steps := testbed.DrawSchedule(seed, zones, 20*time.Second)
		reparsed, err := testbed.ParseSchedule(testbed.FormatSchedule(steps))
		if err != nil || testbed.FormatSchedule(reparsed) != testbed.FormatSchedule(steps) {
			t.Fatalf("seed %d: schedule %s was parsed as %s, error %v", seed, testbed.FormatSchedule(steps), testbed.FormatSchedule(reparsed), err)
		}
	}
	for text, want := range map[string]string{
		"x cut a->b":               "step 1: expected a time",
		"1s":                       "expected a verb after the time, such as cut or heal",
		"1s burn a":                "expected one of bandwidth",
		"1s loss all 2":            "a share of 0 to 1",
		"1s pause a":               "pause a TIME",
		"1s heal all":              "nothing after heal",
		"1s restart a new":         "empty or old",
		"1s flap a->b 0s":          "expected a time",
		"1s kill a; 2s cut a->b c": "step 2: expected cut a->b [but PROCESS]",
	} {
		t.Run(text, func(t *testing.T) {
			if _, err := testbed.ParseSchedule(text); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("ParseSchedule: got error %v, want one that contains %q", err, want)
			}
		})
	}
}
