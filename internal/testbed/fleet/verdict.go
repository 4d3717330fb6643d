package fleet

import (
	"fmt"
	"time"
)

// This file owns what a verdict says and how it is printed.

// Verdict is what one run of a schedule showed.
type Verdict struct {
	Faults             int             // steps that injected one
	FalseDead          int             // orchestrators that ran and were reported dead
	MissedDead         int             // orchestrators that ended and were never reported dead
	AsymmetricCuts     int             // cuts of one direction
	AsymmetricDetected int             // and those that either end reported
	ViewChanges        int64           // of the stable views of all
	DetectionTimes     []time.Duration // from an end to each that detected it, sorted
	Disagreement       time.Duration   // of the views, after the end of all faults
	TrafficRate        float64         // bytes a second, of each member
	Violations         []string        // rules that were broken
}

// String is the verdict as figures of one line.
func (v Verdict) String() string {
	return fmt.Sprintf("faults=%d detect_p50_ms=%d detect_p99_ms=%d false_dead=%d missed_dead=%d one_way_found=%d of=%d disagree_s=%.1f "+
		"view_changes=%d traffic_bytes_s_member=%.0f", v.Faults, v.detectionPercentile(50), v.detectionPercentile(99), v.FalseDead,
		v.MissedDead, v.AsymmetricDetected, v.AsymmetricCuts, v.Disagreement.Seconds(), v.ViewChanges, v.TrafficRate)
}

// detectionPercentile is a percentile of the detection times in milliseconds, -1 without any.
func (v Verdict) detectionPercentile(percent int) int64 {
	if len(v.DetectionTimes) == 0 {
		return -1
	}
	return v.DetectionTimes[(len(v.DetectionTimes)-1)*percent/100].Milliseconds()
}

// violation adds a rule that was broken.
func (v *Verdict) violation(format string, args ...any) {
	v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
}
