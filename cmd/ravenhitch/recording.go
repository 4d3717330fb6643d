package main

// This file owns the results of a rehearsal: the recording as JSON, its timeline as SVG, and the summary that
// is printed at the end.

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/fleet"
)

// The files that a rehearsal writes, and the modes of files and directories.
const (
	recordingFile = "record.json"
	timelineFile  = "picture.svg"

	recordingDirMode, recordingFileMode = 0o755, 0o644
)

// recording is the stored result of a rehearsal. Its JSON keys are a stored format and must not change.
type recording struct {
	Programs []string             `json:"program"`
	Schedule string               `json:"schedule"`
	Verdict  string               `json:"verdict"`
	Failures []string             `json:"faults"`
	Total    fleet.SecondCounts   `json:"total"`
	P99Ms    float64              `json:"placement_p99_ms"`
	Seconds  []fleet.SecondCounts `json:"seconds"`
	Steps    []fleet.ExecutedStep `json:"steps"`
	Moments  []fleet.Snapshot     `json:"moments"`
}

// saveRecording evaluates the rehearsal, writes the recording and prints the summary. If there are failures, it
// returns an error that states their number and the first failure. Failures are the errors that the testbed reported
// to the host, the violations in the verdict, and requests without a response although their orchestrator ran and was
// reachable.
func (c *rehearseCommand) saveRecording(host *rehearsalHost, rig *fleet.Fleet, placed *fleet.Placements, steps []testbed.Step) error {
	verdict := rig.Evaluate()
	failures := slices.Concat(host.failures, verdict.Violations)
	if unanswered := len(placed.Unanswered()); unanswered > 0 {
		failures = append(failures, fmt.Sprintf("%d requests without a response", unanswered))
	}
	r := recording{Programs: c.Programs, Schedule: testbed.FormatSchedule(steps), Verdict: verdict.String(), Failures: failures,
		Total: placed.Total(), P99Ms: milliseconds(placed.P99()), Seconds: placed.Seconds()}
	r.Moments, r.Steps = rig.Record()
	if err := r.write(c.OutputDir); err != nil {
		return err
	}
	host.printf("\n%s\nplaced %d tasks, 99 of 100 within %.1f ms; %d refused, %d failed, %d lost with their orchestrator\nrecord and picture: %s\n",
		verdict, r.Total.Started, r.P99Ms, r.Total.Rejected, r.Total.Failed, r.Total.Lost, c.OutputDir)
	if len(failures) > 0 {
		return fmt.Errorf("%d failures, the first: %s", len(failures), failures[0])
	}
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// write writes the recording and its timeline into a directory, which it creates if necessary.
func (r *recording) write(dir string) error {
	if err := os.MkdirAll(dir, recordingDirMode); err != nil {
		return err
	}
	b, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, recordingFile), b, recordingFileMode); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, timelineFile), r.timeline(), recordingFileMode)
}
