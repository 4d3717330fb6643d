package testbed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// This file owns how a schedule is drawn from a seed, and how one that fails is made
// shorter. The same seed must always give the same schedule: neither the order of draws nor
// their bounds may change.

const (
	firstFault    = time.Second             // a schedule's first fault comes no sooner
	maxFaultGap   = 1200 * time.Millisecond // between two faults
	healBeforeEnd = 3 * time.Second         // all faults end so long before the schedule does
	minFault      = 2 * time.Second         // the last fault is open so long, at least
	minKill       = 9 * time.Second         // a kill comes so long before the faults' end, to be detected
	maxKilled     = 3                       // at most one process in so many is killed
	roundTo       = 100 * time.Millisecond  // times of steps
)

// faultKind is a kind of fault that is drawn.
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

// processesOf is how many processes of its own a fault needs.
var processesOf = map[faultKind]int{faultAsymmetricCut: 2, faultRefuse: 2, faultFlap: 2, faultKill: 1, faultRestart: 1, faultPause: 1, faultBridge: 1}

// drawer draws a schedule. Each process has a fault of its own, so that the effects can be
// told from each other.
type drawer struct {
	random    *rand.Rand
	processes []string // in the order in which they get faults
	zones     []string
	next      int // process without a fault
	killed    int
	healAt    time.Duration
	steps     []Step
}

// DrawSchedule makes a schedule of faults that are all over, and healed, by the end of its length.
// The names are those of processes by zone. At most a third of the processes is killed.
func DrawSchedule(seed uint64, zones map[string][]string, length time.Duration) []Step {
	d := &drawer{random: rand.New(rand.NewPCG(seed, 6)), healAt: length - healBeforeEnd}
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
	// Every schedule opens with the end of a process and a path that carries in one direction only.
	at := firstFault
	for _, kind := range append([]faultKind{faultKill, faultAsymmetricCut}, kinds...) {
		at += time.Duration(d.random.Int64N(int64(maxFaultGap)))
		if at > d.healAt-minFault {
			break
		}
		if processesOf[kind] <= len(d.processes)-d.next {
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

// draw adds the steps of one fault.
func (d *drawer) draw(kind faultKind, at time.Duration) {
	switch kind {
	case faultKill:
		if d.killed++; d.killed <= len(d.processes)/maxKilled && at <= d.healAt-minKill {
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

func (d *drawer) add(at time.Duration, verb, where string, args ...string) {
	d.steps = append(d.steps, Step{At: at.Round(roundTo), Verb: verb, Where: where, Args: args})
}

// process takes the next process that has no fault.
func (d *drawer) process() string {
	d.next++
	return d.processes[d.next-1]
}

func (d *drawer) zone() string { return d.zones[d.random.IntN(len(d.zones))] }

// ShrinkSchedule leaves out the steps that a failing schedule does not need to fail. A heal
// stays.
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
