package fleet

import (
	"fmt"
	"time"
)

// This file defines the verdict on a schedule and its text form.

// Verdict is the result of one run of a schedule.
type Verdict struct {
	Faults             int             // number of steps other than heal and mend
	FalseDead          int             // number of false reports of death, counted once for each pair of reporter and subject
	MissedDead         int             // number of missing reports of death, one for each pair of reporter and subject
	AsymmetricCuts     int             // number of one-direction cuts that must be detected
	AsymmetricDetected int             // number of cuts in AsymmetricCuts that at least one end of the path reported
	ViewChanges        int64           // changes of the stable view, summed over all orchestrators
	DetectionTimes     []time.Duration // times from stop to detection, sorted, one for each pair of subject and reporter
	// Time from the latest heal step to the last wrong view after it, 0 if no view was wrong after it. The value is
	// meaningless without a heal step.
	Disagreement time.Duration
	TrafficRate  float64  // mean number of bytes that a member sent per second
	Violations   []string // one line for each violation of a rule
}

// String returns the counts and times of the verdict on one line.
func (v Verdict) String() string {
	return fmt.Sprintf("faults=%d detect_p50_ms=%d detect_p99_ms=%d false_dead=%d missed_dead=%d one_way_found=%d of=%d disagree_s=%.1f "+
		"view_changes=%d traffic_bytes_s_member=%.0f", v.Faults, v.detectionPercentile(50), v.detectionPercentile(99), v.FalseDead,
		v.MissedDead, v.AsymmetricDetected, v.AsymmetricCuts, v.Disagreement.Seconds(), v.ViewChanges, v.TrafficRate)
}

// detectionPercentile returns a percentile of the detection times in milliseconds, or -1 if there are
// none.
func (v Verdict) detectionPercentile(percent int) int64 {
	if len(v.DetectionTimes) == 0 {
		return -1
	}
	return v.DetectionTimes[(len(v.DetectionTimes)-1)*percent/100].Milliseconds()
}

// violation adds a description to Violations.
func (v *Verdict) violation(format string, args ...any) {
	v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
}
