package testbed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// This file owns the generation of a schedule from a seed and the reduction of a failing
// schedule. The same seed must always give the same schedule, so neither the order nor the
// bounds of the random draws may change.

const (
	firstFault       = time.Second             // earliest time of the first fault
	maxFaultGap      = 1200 * time.Millisecond // maximum time between two drawn faults, including faults that are left out
	healBeforeEnd    = 3 * time.Second         // length of the time between the heal step and the end of the schedule
	minFaultLength   = 2 * time.Second         // minimum time between the last fault and the heal step
	minKillLength    = 9 * time.Second         // minimum time between a kill and the heal step, so that the kill is detected
	processesPerKill = 3                       // a schedule has at most one kill for each group of this many processes
	roundTo          = 100 * time.Millisecond  // times of faults are rounded to a multiple of this
)

// faultKind is a kind of fault that DrawSchedule can draw.
type faultKind string

const (
	faultKill          faultKind = "kill"
	faultRestart       faultKind = "restart"
	faultPause         faultKind = "pause"
	faultAsymmetricCut faultKind = "asymmetric cut"
	faultLoss          faultKind = "loss"
	faultFlap          faultKind = "flapping path"
	faultDelay         faultKind = "delay"
	faultZoneCut       faultKind = "zone cut"
	faultBridge        faultKind = "zone cut but for one process"
	faultDuplicate     faultKind = "duplicate and reordered datagrams"
	faultRefuse        faultKind = "refused connections"
)

// processesNeeded contains, for each kind of fault, the number of processes that the fault names. These
// processes must not have an earlier fault. Kinds that are not listed need no process.
var processesNeeded = map[faultKind]int{faultAsymmetricCut: 2, faultRefuse: 2, faultFlap: 2, faultKill: 1, faultRestart: 1, faultPause: 1, faultBridge: 1}

// scheduleDrawer draws a schedule. It uses each process in at most one fault, so that the effects of the faults
// can be distinguished. Faults of zones and of all paths may affect the same processes in addition.
type scheduleDrawer struct {
	random    *rand.Rand
	processes []string // in the order in which they get faults
	zones     []string
	next      int           // index of the first process without a fault
	killed    int           // number of kills drawn, including kills that were left out
	healAt    time.Duration // time of the heal step
	steps     []Step
}

// DrawSchedule generates a schedule from a seed. All faults except kills end within the given length. zones contains
// the names of the processes by zone. At most a third of the processes are killed.
func DrawSchedule(seed uint64, zones map[string][]string, length time.Duration) []Step {
	d := &scheduleDrawer{random: rand.New(rand.NewPCG(seed, 6)), healAt: length - healBeforeEnd}
	for zone, processes := range zones {
		d.zones = append(d.zones, zone)
		d.processes = append(d.processes, processes...)
	}
	slices.Sort(d.processes)
	slices.Sort(d.zones)
	shuffle(d.random, d.processes)
	kinds := []faultKind{faultKill, faultRestart, faultPause, faultAsymmetricCut, faultLoss, faultFlap, faultDelay, faultZoneCut, faultBridge,
		faultDuplicate, faultRefuse}
	shuffle(d.random, kinds)
	// The first two faults that are drawn are a kill and a cut of one direction of a path. draw leaves the kill out if
	// the schedule is too short or there are fewer than processesPerKill processes.
	at := firstFault
	for _, kind := range append([]faultKind{faultKill, faultAsymmetricCut}, kinds...) {
		at += time.Duration(d.random.Int64N(int64(maxFaultGap)))
		if at > d.healAt-minFaultLength {
			break
		}
		if processesNeeded[kind] <= len(d.processes)-d.next {
			d.draw(kind, at)
		}
	}
	d.steps = append(d.steps, Step{At: d.healAt, Verb: VerbHeal})
	sortByTime(d.steps)
	return d.steps
}

func shuffle[T any](random *rand.Rand, items []T) {
	random.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
}

// draw adds the steps of one fault. It leaves out a kill that would be too late to be detected or would exceed
// the maximum number of kills.
func (d *scheduleDrawer) draw(kind faultKind, at time.Duration) {
	switch kind {
	case faultKill:
		if d.killed++; d.killed <= len(d.processes)/processesPerKill && at <= d.healAt-minKillLength {
			d.add(at, VerbKill, d.process())
		}
	case faultRestart:
		d.add(at, VerbRestart, d.process(), []string{FolderEmpty, FolderOld}[d.random.IntN(2)])
	case faultPause:
		d.add(at, VerbPause, d.process(), fmt.Sprintf("%dms", 500+d.random.IntN(2300)))
	case faultAsymmetricCut:
		d.add(at, VerbCut, d.process()+"->"+d.process())
	case faultRefuse:
		d.add(at, VerbRefuse, d.process()+"->"+d.process())
	case faultLoss:
		d.add(at, VerbLoss, AllPaths, fmt.Sprintf("%.2f", 0.05+0.15*d.random.Float64()))
	case faultDuplicate:
		d.add(at, VerbDuplicate, AllPaths, "0.10")
		d.add(at, VerbReorder, AllPaths, "0.10")
	case faultFlap:
		d.add(at, VerbFlap, d.process()+"<->"+d.process(), "700ms")
	case faultDelay:
		d.add(at, VerbDelay, AllPaths, "5ms", "20ms")
	case faultZoneCut:
		zone := d.zone()
		d.add(at, VerbCut, zone)
		d.add(min(d.healAt, at+time.Duration(1500+d.random.IntN(3000))*time.Millisecond), VerbMend, zone)
	case faultBridge:
		d.add(at, VerbCut, d.zone(), except, d.process())
	}
}

func (d *scheduleDrawer) add(at time.Duration, verb, where string, args ...string) {
	d.steps = append(d.steps, Step{At: at.Round(roundTo), Verb: verb, Where: where, Args: args})
}

// process returns the next process without a fault and marks it as used.
func (d *scheduleDrawer) process() string {
	d.next++
	return d.processes[d.next-1]
}

func (d *scheduleDrawer) zone() string { return d.zones[d.random.IntN(len(d.zones))] }

// ShrinkSchedule shortens a failing schedule. It removes each step without which the rest of the schedule still
// fails, but never a heal step.
func ShrinkSchedule(steps []Step, fails func([]Step) bool) []Step {
	for i := 0; i < len(steps); {
		shorter := slices.Delete(slices.Clone(steps), i, i+1)
		if steps[i].Verb != VerbHeal && fails(shorter) {
			steps = shorter
		} else {
			i++
		}
	}
	return steps
}
