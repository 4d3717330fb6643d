package membership

// This file defines the faults of the simulated cluster, starts them, and draws random schedules of faults.

import (
	"fmt"
	"math/rand/v2"
)

// faultKind names the effect of a fault. Test messages contain the name.
type faultKind string

// The kinds of faults. The words target, other, start and end refer to the fields of fault.
const (
	faultKill         faultKind = "kill"    // the process of target ends, and its host refuses connections
	faultVanish       faultKind = "vanish"  // the host of target goes down and does not answer
	faultPause        faultKind = "pause"   // the process of target does not run from start to end
	faultOneWay       faultKind = "oneway"  // datagrams from target to other are lost; connections between them time out
	faultRefuse       faultKind = "refuse"  // like faultOneWay, but connections from target to other are refused
	faultCut          faultKind = "cut"     // the zone target is cut off, except for paths to and from the member other
	faultLoss         faultKind = "loss"    // random loss of packets on the paths of target, or on all paths if target is -1
	faultFlap         faultKind = "flap"    // all paths of target fail and recover alternately
	faultSlow         faultKind = "slow"    // timers of target, and datagrams and handshakes to it, are late
	faultRestart      faultKind = "restart" // the process of target ends at start and starts again at end
	faultRestartEmpty faultKind = "empty"   // like faultRestart, but the stored incarnation is lost
	faultLeave        faultKind = "leave"   // target leaves intentionally
)

// Kinds that occur only while a schedule is drawn, and are replaced by faults of the kinds above.
const (
	drawnLongPause   faultKind = "longpause" // a pause of 10 s
	drawnBridge      faultKind = "bridge"    // a cut with a member whose paths still work
	drawnMassRestart faultKind = "crowd"     // restarts of nine in ten members on average, all within one second
)

const (
	// detectionLimit is the time after a death within which all members must declare it, in microseconds.
	detectionLimit = 12 * second
	// deathAllowance is the time after a long pause or a restart of a member during which others may still declare
	// the member dead, in microseconds.
	deathAllowance = 2 * second
	// minLongPause is the minimum length of a pause that allows others to declare the member dead, in microseconds.
	minLongPause = 3 * second
	// leaveTime is the time that a process runs after it has announced its departure, in microseconds.
	leaveTime = 300 * millisecond
)

// fault describes one fault of a schedule: its kind, its target and its time.
type fault struct {
	kind          faultKind
	target, other int     // indexes of members; in a cut, target is a zone
	start, end    int64   // in microseconds
	probability   float64 // probability that faultLoss loses a packet; with 1, handshakes still succeed
}

// String formats a fault for test messages.
func (f fault) String() string {
	return fmt.Sprintf("%.1fs-%.1fs %s %d->%d %.2f",
		float64(f.start)/second, float64(f.end)/second, f.kind, f.target, f.other, f.probability)
}

// active returns the faults of a kind that are in effect now.
func (c *cluster) active(kind faultKind) (active []fault) {
	for _, f := range c.faults {
		if f.kind == kind && f.start <= c.now && c.now < f.end {
			active = append(active, f)
		}
	}
	return active
}

// startFault applies a fault to the process of its target when the fault starts. Network faults are evaluated for each
// datagram and handshake instead.
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

// formationTime returns the time by which a cluster must have formed if all its members start at the same time.
func formationTime(size int) int64 {
	if size > 100 {
		return 30 * second
	}
	return 5 * second
}

// faultDrawer draws a random schedule of faults.
type faultDrawer struct {
	rng    *rand.Rand
	size   int          // of the cluster
	busy   map[int]bool // members that have a fault already or must not have one
	at     int64        // earliest start of the next fault, in microseconds
	faults []fault
}

// drawnKinds lists the kinds from which faults are drawn with equal probability.
var drawnKinds = []faultKind{
	faultKill, faultVanish, faultPause, drawnLongPause, faultOneWay, faultRefuse, faultCut, drawnBridge,
	faultLoss, faultFlap, faultSlow, faultRestart, faultRestartEmpty, faultLeave, drawnMassRestart,
}

// drawFaults draws a schedule of up to four faults, where a mass restart counts as one. All faults end by the returned
// time, which is at least 13 s after the start of each fault, so that detectionLimit has passed.
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

// draw draws one fault or a mass restart. It adds nothing if it finds no suitable members for the fault.
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

// drawMassRestart draws a restart fault, with a probability of 0.9, for each member that may have a fault and has none
// yet. All these faults start within one second.
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

// drawTarget draws the target of a fault, the bridge (field other) of a cut that has one, and the probability of a
// loss. It reports whether it found a suitable target.
func (d *faultDrawer) drawTarget(f *fault) bool {
	switch f.kind {
	case faultCut:
		f.target = d.rng.IntN(max(1, min(4, d.size/3)))
	case drawnBridge:
		// The bridge, a single member, cannot pass on the refutations of a large zone (25 members) in time.
		if d.size < 6 || d.size > 16 {
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

// drawParameters draws the parameters that depend on the kind of a fault: the other member and the end. It reports
// whether the fault can be added.
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

// pickIdleMember draws a member that may have a fault and has none yet, and marks it as busy. It returns -1 if 20 draws
// find no such member.
func (d *faultDrawer) pickIdleMember() int {
	for range 20 {
		if i := d.rng.IntN(d.size); !d.busy[i] {
			d.busy[i] = true
			return i
		}
	}
	return -1
}
