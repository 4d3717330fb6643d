// Package cluster injects faults into processes of the real program and into the paths between them, and checks the
// membership that the processes report. The test rig internal/testbed/fleet injects the faults and evaluates the
// reports. This package only defines the schedules to run, and the result that is required.
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

// This file tests one schedule, which is given by a flag or drawn from a seed. It also defines the helpers that all
// tests of the package share.

var (
	seedFlag      = flag.Uint64("seed", 7, "seed of the fleet, and of the schedule unless -schedule is set")
	processesFlag = flag.Int("processes", 7, "number of orchestrators")
	secondsFlag   = flag.Int("seconds", 20, "length of the schedule")
	scheduleFlag  = flag.String("schedule", "", "schedule to run instead of a drawn one")
	calmFlag      = flag.Duration("calm", 3*time.Second, "length of each measurement of placement times before the schedule")
	shrinkFlag    = flag.Bool("shrink", false, "if the schedule fails, remove the steps without which it still fails, and log the rest")
)

// maxDisagreement is the maximum time after the heal step for which the membership view of an orchestrator may differ
// from the set of running orchestrators.
const maxDisagreement = 3 * time.Second

// build builds the program on its first call and returns the path of the binary.
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

// newFleet starts a fleet with the given number of orchestrators. If alone is set, the orchestrators run without
// peers and form no cluster.
func newFleet(t *testing.T, orchestrators int, alone bool) *fleet.Fleet {
	t.Helper()
	binary, err := build()
	if err != nil {
		t.Fatal(err)
	}
	return fleet.New(t, fleet.Options{Programs: []string{binary}, Dir: t.TempDir(), Orchestrators: orchestrators, Seed: *seedFlag, WithoutPeers: alone})
}

// runSchedule runs a schedule while clients submit tasks. It returns the verdict and the violated rules, one per line:
// the violations of the verdict, requests that got no response although their orchestrator ran and was reachable, and
// membership views that were still wrong more than maxDisagreement after the heal step.
func runSchedule(t *testing.T, f *fleet.Fleet, steps []testbed.Step, length time.Duration) (v fleet.Verdict, violations string) {
	placements := f.SubmitTasks(length - time.Second)
	f.RunSchedule(steps, length)
	placements.Wait()
	v = f.Evaluate()
	brokenRules := v.Violations
	if unanswered := placements.Unanswered(); len(unanswered) > 0 {
		brokenRules = append(brokenRules, fmt.Sprintf("%d requests without a response, for example %s", len(unanswered), unanswered[0]))
	}
	if v.Disagreement > maxDisagreement {
		brokenRules = append(brokenRules, fmt.Sprintf("membership views were still wrong %s after the heal step", v.Disagreement))
	}
	t.Logf("results of the submitted tasks: %+v", placements.Total())
	return v, strings.Join(brokenRules, "\n")
}

// TestMembers runs the schedule that a flag gives, or a schedule drawn from a seed, and checks that the run violates no
// rule (see runSchedule). Before the schedule, it measures placement times with peers and, if the -run flag is set,
// also without peers.
func TestMembers(t *testing.T) {
	length := time.Duration(*secondsFlag) * time.Second
	var withoutPeers *fleet.Placements
	if flag.Lookup("test.run").Value.String() != "" { // the measurement without peers is only used for placement_p99_ratio
		t.Run("off", func(t *testing.T) {
			withoutPeers = newFleet(t, *processesFlag, true).SubmitTasks(*calmFlag)
			withoutPeers.Wait()
		})
	}
	f := newFleet(t, *processesFlag, false)
	f.StartSampling()
	withPeers := f.SubmitTasks(*calmFlag)
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

// schedule returns the schedule that the -schedule flag gives, or a schedule drawn from the seed if the flag is not
// set.
func schedule(t *testing.T, f *fleet.Fleet, length time.Duration) []testbed.Step {
	t.Helper()
	if *scheduleFlag == "" {
		return f.DrawSchedule(*seedFlag, length)
	}
	steps, err := testbed.ParseSchedule(*scheduleFlag)
	if err != nil {
		t.Fatal(err)
	}
	return steps
}

// placementRatio returns the 99th percentile of placement times with peers divided by the 99th percentile
// without peers. It returns 0 if placements without peers were not measured.
func placementRatio(t *testing.T, withPeers, withoutPeers *fleet.Placements) float64 {
	if withoutPeers == nil {
		return 0
	}
	t.Logf("placement p99 %s with peers, %s without", withPeers.P99(), withoutPeers.P99())
	return float64(withPeers.P99()) / float64(max(1, withoutPeers.P99()))
}

// logMembership copies the orchestrators' log lines on membership, their warnings and their errors to the test log.
func logMembership(t *testing.T, f *fleet.Fleet) {
	for _, orchestrator := range f.Orchestrators {
		for _, line := range orchestrator.Lines() {
			if strings.Contains(line, "msg=membership") || strings.Contains(line, "WARN") || strings.Contains(line, "ERROR") {
				t.Log(line)
			}
		}
	}
}

// shrink removes steps from a failing schedule as long as the rest still fails, and logs the remaining steps.
func shrink(t *testing.T, steps []testbed.Step, length time.Duration) {
	steps = testbed.ShrinkSchedule(steps, func(shorter []testbed.Step) (fails bool) {
		t.Run("shrink", func(t *testing.T) {
			f := newFleet(t, *processesFlag, false)
			f.StartSampling()
			_, violations := runSchedule(t, f, shorter, length)
			fails = violations != ""
		})
		return fails
	})
	t.Logf("shortened schedule that still fails: %s", testbed.FormatSchedule(steps))
}
