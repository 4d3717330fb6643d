// Package cluster injects faults between processes of the real program, and judges what they
// report. The rig is internal/testbed/fleet; this package owns only the schedules that are run and
// what must hold.
package cluster

import (
	"flag"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/fleet"
)

// This file owns the test of a drawn schedule, and what all schedules have in common.

var (
	seedFlag      = flag.Uint64("seed", 7, "draws the schedule")
	processesFlag = flag.Int("processes", 7, "orchestrators")
	secondsFlag   = flag.Int("seconds", 20, "length of the schedule")
	scheduleFlag  = flag.String("schedule", "", "run this schedule in place of one that is drawn")
	calmFlag      = flag.Duration("calm", 3*time.Second, "how long tasks are submitted before, without and with peers")
	shrinkFlag    = flag.Bool("shrink", false, "make a schedule that fails shorter, a run a try")
)

// maxDisagreement is how long after the end of all faults the tables may differ.
const maxDisagreement = 3 * time.Second

// build builds the program once.
var build = sync.OnceValues(func() (string, error) {
	binary, err := filepath.Abs("../../bin/ravenhitch")
	if err != nil {
		return "", err
	}
	if out, err := exec.Command("go", "build", "-o", binary, "ravenhitch/cmd/ravenhitch").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return binary, nil
})

// newFleet starts a fleet of so many orchestrators; alone, they are no cluster.
func newFleet(t *testing.T, orchestrators int, alone bool) *fleet.Fleet {
	t.Helper()
	binary, err := build()
	if err != nil {
		t.Fatal(err)
	}
	return fleet.New(t, fleet.Options{Programs: []string{binary}, Dir: t.TempDir(), Orchestrators: orchestrators, Seed: *seedFlag, Alone: alone})
}

// runSchedule runs a schedule while tasks are submitted, and returns the verdict and the rules that
// were broken, a line each.
func runSchedule(t *testing.T, f *fleet.Fleet, steps []testbed.Step, length time.Duration) (v fleet.Verdict, violations string) {
	placed := f.Demand(length - time.Second)
	f.RunSchedule(steps, length)
	placed.Wait()
	v = f.Judge()
	broken := v.Violations
	if unanswered := placed.Unanswered(); len(unanswered) > 0 {
		broken = append(broken, fmt.Sprintf("%d requests without a response, as %s", len(unanswered), unanswered[0]))
	}
	if v.Disagreement > maxDisagreement {
		broken = append(broken, fmt.Sprintf("tables differ %s after the end of all faults", v.Disagreement))
	}
	t.Logf("placed: %+v", placed.Total())
	return v, strings.Join(broken, "\n")
}

// TestMembers runs one schedule drawn from a seed.
func TestMembers(t *testing.T) {
	length := time.Duration(*secondsFlag) * time.Second
	var withoutPeers *fleet.Placements
	if flag.Lookup("test.run").Value.String() != "" { // a measurement, beside the schedule
		t.Run("off", func(t *testing.T) {
			withoutPeers = newFleet(t, *processesFlag, true).Demand(*calmFlag)
			withoutPeers.Wait()
		})
	}
	f := newFleet(t, *processesFlag, false)
	f.Watch()
	withPeers := f.Demand(*calmFlag)
	withPeers.Wait()
	steps := schedule(t, f, length)
	t.Logf("seed %d: %s", *seedFlag, testbed.FormatSchedule(steps))
	v, violations := runSchedule(t, f, steps, length)
	fmt.Printf("members: %s placement_p99_ratio=%.2f\n", v, placementRatio(t, withPeers, withoutPeers))
	if violations == "" {
		return
	}
	t.Errorf("seed %d: %s\nschedule: %s", *seedFlag, violations, testbed.FormatSchedule(steps))
	logMembership(t, f)
	if *shrinkFlag {
		shrink(t, steps, length)
	}
}

// schedule is the one that a flag names, or one that is drawn.
func schedule(t *testing.T, f *fleet.Fleet, length time.Duration) []testbed.Step {
	t.Helper()
	if *scheduleFlag == "" {
		return f.Draw(*seedFlag, length)
	}
	steps, err := testbed.ParseSchedule(*scheduleFlag)
	if err != nil {
		t.Fatal(err)
	}
	return steps
}

// placementRatio is the 99th percentile of placements with peers over that without, 0 where only one
// was measured.
func placementRatio(t *testing.T, withPeers, withoutPeers *fleet.Placements) float64 {
	if withoutPeers == nil {
		return 0
	}
	t.Logf("placement p99 %s with peers, %s without", withPeers.P99(), withoutPeers.P99())
	return float64(withPeers.P99()) / float64(max(1, withoutPeers.P99()))
}

// logMembership logs what the orchestrators logged of membership, and their warnings.
func logMembership(t *testing.T, f *fleet.Fleet) {
	for _, orchestrator := range f.Orchestrators {
		for _, line := range orchestrator.Lines() {
			if strings.Contains(line, "msg=membership") || strings.Contains(line, "WARN") || strings.Contains(line, "ERROR") {
				t.Log(line)
			}
		}
	}
}

// shrink logs the steps that a schedule needs to fail.
func shrink(t *testing.T, steps []testbed.Step, length time.Duration) {
	steps = testbed.ShrinkSchedule(steps, func(shorter []testbed.Step) (fails bool) {
		t.Run("shrink", func(t *testing.T) {
			f := newFleet(t, *processesFlag, false)
			f.Watch()
			_, violations := runSchedule(t, f, shorter, length)
			fails = violations != ""
		})
		return fails
	})
	t.Logf("what is still needed: %s", testbed.FormatSchedule(steps))
}
