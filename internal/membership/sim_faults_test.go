package membership

// This file owns the faults of the simulated cluster: what they are, how they start, and how schedules of
// them are drawn.

import (
	"fmt"
	"math/rand/v2"
)

// faultKind is what goes wrong.
type faultKind string

// The kinds of faults.
const (
	faultKill         faultKind = "kill"   // the process ends, and its host refuses connections
	faultVanish       faultKind = "vanish" // the host ends
	faultPause        faultKind = "pause"
	faultOneWay       faultKind = "oneway" // from target to other nothing arrives
	faultRefuse       faultKind = "refuse" // the same, and target's connections to other are refused
	faultCut          faultKind = "cut"    // the zone target is cut off, but for the member other
	faultLoss         faultKind = "loss"   // of datagrams to and from target, of all where it is -1
	faultFlap         faultKind = "flap"
	faultSlow         faultKind = "slow"
	faultRestart      faultKind = "restart"
	faultRestartEmpty faultKind = "empty" // the folder with the incarnation is lost
	faultLeave        faultKind = "leave"
)

// Kinds that are only drawn, and become others.
const (
	drawnLongPause   faultKind = "longpause"
	drawnBridge      faultKind = "bridge" // a cut with a member whose paths still work
	drawnMassRestart faultKind = "crowd"  // nine of ten members restart within a second
)

const (
	// detectionLimit is until when a dead member must be declared dead by all.
	detectionLimit = 12 * second
	// deathAllowance is how long after a fault of its own a member may rightly be declared dead.
	deathAllowance = 2 * second
	// minLongPause is from which length on a pause is such a fault.
	minLongPause = 3 * second
	// leaveTime is how long a process that leaves still runs.
	leaveTime = 300 * millisecond
)

// fault is one thing that a schedule does, from its start to its end.
type fault struct {
	kind          faultKind
	target, other int // members; a zone in a cut
	start, end    int64
	probability   float64 // of a loss
}

// String shows a fault in a test's message.
func (f fault) String() string {
	return fmt.Sprintf("%.1fs-%.1fs %s %d->%d %.2f",
		float64(f.start)/second, float64(f.end)/second, f.kind, f.target, f.other, f.probability)
}

// active are the faults of a kind that go on.
func (c *cluster) active(kind faultKind) (active []fault) {
	for _, f := range c.faults {
		if f.kind == kind && f.start <= c.now && c.now < f.end {
			active = append(active, f)
		}
	}
	return active
}

// startFault does what a fault does to a process at its start; faults of the network are looked up as
// datagrams pass.
func (c *cluster) startFault(f fault) {
	if f.target < 0 || f.kind == faultCut {
		return
	}
	process := c.members[f.target]
	if f.kind == faultPause {
		process.pausedUntil = f.end
		if f.end-f.start >= minLongPause {
			process.deathAllowedUntil = f.end + deathAllowance
		}
		return
	}
	if !process.up {
		return
	}
	switch f.kind {
	case faultKill, faultVanish:
		process.up, process.hostDown, process.diedAt = false, f.kind == faultVanish, c.now
		process.savedIncarnation = process.Self.Incarnation
		nonce := process.Self.Nonce
		c.schedule(c.now+detectionLimit, func() { c.checkDead(f, nonce) })
	case faultRestart, faultRestartEmpty:
		process.up = false
		process.savedIncarnation = process.Self.Incarnation
		if f.kind == faultRestartEmpty {
			process.savedIncarnation = 0
		}
		process.deathAllowedUntil = f.end + deathAllowance
		c.schedule(f.end, func() { c.start(f.target) })
	case faultLeave:
		c.perform(f.target, process.Leave(c.now))
		c.schedule(c.now+leaveTime, func() { process.up, process.left = false, true })
	}
}

// formationTime is when a cluster that starts at once has formed.
func formationTime(size int) int64 {
	if size > 100 {
		return 30 * second
	}
	return 5 * second
}

// faultDrawer draws a schedule of faults.
type faultDrawer struct {
	rng    *rand.Rand
	size   int          // of the cluster
	busy   map[int]bool // members that have a fault already, or must not have one
	at     int64        // when the next fault may start
	faults []fault
}

// drawnKinds are the kinds that faults are drawn from, each as likely.
var drawnKinds = []faultKind{
	faultKill, faultVanish, faultPause, drawnLongPause, faultOneWay, faultRefuse, faultCut, drawnBridge,
	faultLoss, faultFlap, faultSlow, faultRestart, faultRestartEmpty, faultLeave, drawnMassRestart,
}

// drawFaults draws a schedule: a few faults, all over by the end.
func drawFaults(size int, seed uint64) (faults []fault, end int64) {
	d := &faultDrawer{
		rng:  rand.New(rand.NewPCG(seed, 9)),
		size: size,
		busy: map[int]bool{0: true},
		at:   formationTime(size),
	}
	for range 1 + d.rng.IntN(4) {
		d.draw()
	}
	end = formationTime(size) + 3*second
	for _, f := range d.faults {
		end = max(end, f.end, f.start+13*second)
	}
	return d.faults, end
}

// draw draws one fault, or a crowd of restarts; none where the cluster has no place for it.
func (d *faultDrawer) draw() {
	f := fault{kind: drawnKinds[d.rng.IntN(len(drawnKinds))], start: d.at + d.rng.Int64N(2*second), other: -1}
	f.end = f.start + 2*second + d.rng.Int64N(6*second)
	if f.kind == drawnMassRestart {
		d.drawMassRestart(f.start)
		return
	}
	if !d.drawTarget(&f) || !d.drawParameters(&f) {
		return
	}
	d.faults = append(d.faults, f)
	d.at += d.rng.Int64N(3 * second)
}

// drawMassRestart has nine of ten members restart within a second.
func (d *faultDrawer) drawMassRestart(start int64) {
	for i := 1; i < d.size; i++ {
		if !d.busy[i] && d.rng.IntN(10) > 0 {
			d.busy[i] = true
			at := start + d.rng.Int64N(second)
			end := at + 300*millisecond + d.rng.Int64N(second)
			d.faults = append(d.faults, fault{kind: faultRestart, target: i, start: at, end: end})
		}
	}
	d.at += 4 * second
}

// drawTarget draws whom a fault concerns.
func (d *faultDrawer) drawTarget(f *fault) bool {
	switch f.kind {
	case faultCut:
		f.target = d.rng.IntN(max(1, min(4, d.size/3)))
	case drawnBridge:
		if d.size < 6 || d.size > 16 { // one bridge does not carry the refutations of a zone of 25 in time
			return false
		}
		f.kind, f.target, f.other = faultCut, d.rng.IntN(min(4, d.size/3)), d.rng.IntN(d.size)
	case faultLoss:
		f.target, f.probability = -1, 0.05+0.15*d.rng.Float64()
	default:
		f.target = d.pickIdleMember()
		return f.target >= 0
	}
	return true
}

// drawParameters draws what is particular to a kind: another member, or another length.
func (d *faultDrawer) drawParameters(f *fault) bool {
	switch f.kind {
	case faultPause:
		f.end = f.start + d.rng.Int64N(minLongPause-100*millisecond)
	case drawnLongPause:
		f.kind, f.end = faultPause, f.start+10*second
	case faultOneWay, faultRefuse:
		f.other = d.pickIdleMember()
		f.end = f.start + 12*second
		return f.other >= 0
	case faultRestart, faultRestartEmpty:
		f.end = f.start + 200*millisecond + d.rng.Int64N(3*second)
	}
	return true
}

// pickIdleMember draws a member that has no fault yet, -1 where none is found.
func (d *faultDrawer) pickIdleMember() int {
	for range 20 {
		if i := d.rng.IntN(d.size); !d.busy[i] {
			d.busy[i] = true
			return i
		}
	}
	return -1
}
