package membership

import "testing"

// TestTickRate asserts that a settled table wants to be called little more often than it probes, that one with a
// suspect wants to be every tickInterval, and that what comes in between is looked at in time.
func TestTickRate(t *testing.T) {
	const members, seconds, vanishing = 9, 20, 4
	vanish := fault{kind: faultVanish, target: vanishing, other: -1, start: 60 * second, end: 61 * second}
	c := newCluster(members, 5, []fault{vanish})
	c.run(formationTime(members))
	ticks := func() (sum int) {
		for i, process := range c.members {
			if i != vanishing {
				sum += process.ticks
			}
		}
		return sum
	}
	before := ticks()
	c.run(c.now + seconds*second)
	perSecond := float64(ticks()-before) / seconds / (members - 1)
	if probes := float64(second) / float64(c.members[0].ProbeInterval); perSecond > 1.2*probes {
		t.Errorf("%g calls a second and member while settled, %g probes", perSecond, probes)
	}
	c.run(62 * second)
	before = ticks()
	c.run(64 * second)
	perSecond = float64(ticks()-before) / 2 / (members - 1)
	if perSecond < 0.8*second/tickInterval {
		t.Errorf("%g calls a second and member while one is suspected", perSecond)
	}
}

// TestTickSoonerAfterPingRequest asserts that a ping request makes a settled table want to be called sooner.
func TestTickSoonerAfterPingRequest(t *testing.T) {
	c := newCluster(3, 6, nil)
	c.run(formationTime(3) + 10*second)
	process := c.members[0]
	settled := process.NextTick()
	m := &Message{Kind: PingRequest, Sequence: 1, To: memberName(0), Sender: c.members[1].Self, Target: memberName(2)}
	process.Receive(c.now, m)
	if next := process.NextTick(); next >= settled || next > process.lastTick+tickInterval {
		t.Errorf("after the request it wants to be called at %d, before at %d", next, settled)
	}
}

// TestProbeRateOfTwo asserts that the only other member is probed each time, though timers are late by
// some more or less each time.
func TestProbeRateOfTwo(t *testing.T) {
	const seconds = 20
	c := newCluster(2, 7, nil)
	c.run(formationTime(2))
	before := c.members[0].sequence
	c.run(c.now + seconds*second)
	probes, expected := c.members[0].sequence-before, uint64(seconds*second/c.members[0].ProbeInterval)
	if probes < expected*9/10 {
		t.Errorf("%d probes in %d s, expected %d", probes, seconds, expected)
	}
}

// TestLateTickIsAStall asserts that a table takes itself to have stalled where it is called later than
// stallThreshold after it wanted to be, and not before, however long its last call is ago.
func TestLateTickIsAStall(t *testing.T) {
	c := newCluster(3, 8, nil)
	c.run(formationTime(3) + 10*second)
	process := c.members[0]
	for _, lateness := range []struct {
		us    int64
		stall bool
	}{{stallThreshold, false}, {stallThreshold + 1, true}} {
		process.Events()
		process.Tick(process.NextTick() + lateness.us)
		stall := false
		for _, e := range process.Events() {
			stall = stall || e.Kind == Stalled
		}
		if stall != lateness.stall {
			t.Errorf("called %d us late: expected a stall %v, got %v", lateness.us, lateness.stall, stall)
		}
	}
}
