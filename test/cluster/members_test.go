// Package cluster plays faults between processes of the real program, and judges them. The
// rig is internal/standin/fleet; here stands only what is played and what must hold.
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

var (
	seedFlag      = flag.Uint64("seed", 7, "draws the schedule")
	processesFlag = flag.Int("processes", 7, "orchestrators")
	secondsFlag   = flag.Int("seconds", 20, "length of the schedule")
	scheduleFlag  = flag.String("schedule", "", "play this one in place of one that is drawn")
	calmFlag      = flag.Duration("calm", 3*time.Second, "how long tasks are offered before, without and with peers")
	shrinkFlag    = flag.Bool("shrink", false, "make a schedule that fails shorter, a play a try")
)

var build = sync.OnceValues(func() (string, error) {
	bin, err := filepath.Abs("../../bin/ravenhitch")
	if err != nil {
		return "", err
	}
	if out, err := exec.Command("go", "build", "-o", bin, "ravenhitch/cmd/ravenhitch").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return bin, nil
})

func start(t *testing.T, alone bool) *fleet.Fleet {
	bin, err := build()
	if err != nil {
		t.Fatal(err)
	}
	return fleet.New(t, fleet.Options{Programs: []string{bin}, Dir: t.TempDir(), Orchestrators: *processesFlag, Seed: *seedFlag, Alone: alone})
}

// play plays a schedule while tasks are offered, and says what it broke.
func play(t *testing.T, r *fleet.Fleet, steps []testbed.Step, length time.Duration) (fleet.Verdict, string) {
	placed := r.Demand(length - time.Second)
	r.Play(steps, length)
	placed.Wait()
	v := r.Judge()
	bad := v.Why
	if silent := placed.Silent(); len(silent) > 0 {
		bad = append(bad, fmt.Sprintf("%d set-ups without an answer, as %s", len(silent), silent[0]))
	}
	if v.Disagreement > 3*time.Second {
		bad = append(bad, fmt.Sprintf("tables differ %s after the end of all faults", v.Disagreement))
	}
	t.Logf("placed: %+v", placed.Total())
	return v, strings.Join(bad, "\n")
}

// TestMembers plays one schedule drawn from a seed.
func TestMembers(t *testing.T) {
	length := time.Duration(*secondsFlag) * time.Second
	var off *fleet.Placed
	if flag.Lookup("test.run").Value.String() != "" { // a measurement, beside the play
		t.Run("off", func(t *testing.T) {
			off = start(t, true).Demand(*calmFlag)
			off.Wait()
		})
	}
	r := start(t, false)
	r.Watch()
	on := r.Demand(*calmFlag)
	on.Wait()
	steps := r.Draw(*seedFlag, length)
	if *scheduleFlag != "" {
		var err error
		if steps, err = testbed.ParseSchedule(*scheduleFlag); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("seed %d: %s", *seedFlag, testbed.Text(steps))
	v, bad := play(t, r, steps, length)
	ratio := 0.0
	if off != nil {
		ratio = float64(on.P99()) / float64(max(1, off.P99()))
		t.Logf("placement p99 %s with peers, %s without", on.P99(), off.P99())
	}
	fmt.Printf("members: %s placement_p99_ratio=%.2f\n", v, ratio)
	if bad == "" {
		return
	}
	t.Errorf("seed %d: %s\nschedule: %s", *seedFlag, bad, testbed.Text(steps))
	for _, x := range r.Orchestrators {
		for _, l := range x.Lines() {
			if strings.Contains(l, "msg=membership") || strings.Contains(l, "WARN") || strings.Contains(l, "ERROR") {
				t.Log(l)
			}
		}
	}
	if *shrinkFlag {
		steps = testbed.ShrinkSchedule(steps, func(less []testbed.Step) (fails bool) {
			t.Run("shrink", func(t *testing.T) {
				r := start(t, false)
				r.Watch()
				_, bad := play(t, r, less, length)
				fails = bad != ""
			})
			return fails
		})
		t.Logf("what is still needed: %s", testbed.Text(steps))
	}
}
