package membership

import "testing"

// TestTickRate asserts that a settled table requests at most 1.2 calls of Tick per ProbeInterval, and that a table with
// a suspect requests at least 0.8 calls per tickInterval.
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
		t.Errorf("got %g calls per second and member while settled, want at most %g with %g probes per second",
			perSecond, 1.2*probes, probes)
	}
	c.run(62 * second)
	before = ticks()
	c.run(64 * second)
	perSecond = float64(ticks()-before) / 2 / (members - 1)
	if perSecond < 0.8*second/tickInterval {
		t.Errorf("got %g calls per second and member during a suspicion, want at least %g",
			perSecond, 0.8*second/tickInterval)
	}
}

// TestTickSoonerAfterPingRequest asserts that a settled table requests an earlier call of Tick after a ping request.
func TestTickSoonerAfterPingRequest(t *testing.T) {
	c := newCluster(3, 6, nil)
	c.run(formationTime(3) + 10*second)
	process := c.members[0]
	settled := process.NextTick()
	m := &Message{Kind: PingRequest, Sequence: 1, To: memberName(0), Sender: c.members[1].Self, Target: memberName(2)}
	process.Receive(c.now, m)
	if next := process.NextTick(); next >= settled || next > process.lastTick+tickInterval {
		t.Errorf("got next tick at %d us after the request, want before %d us and at most %d us",
			next, settled, process.lastTick+tickInterval)
	}
}

// TestProbeRateOfTwo asserts that in a cluster of two the other member is probed in at least 90% of the probe
// intervals, although timers are late by a varying delay.
func TestProbeRateOfTwo(t *testing.T) {
	const seconds = 20
	c := newCluster(2, 7, nil)
	c.run(formationTime(2))
	before := c.members[0].sequence
	c.run(c.now + seconds*second)
	probes, expected := c.members[0].sequence-before, uint64(seconds*second/c.members[0].ProbeInterval)
	if probes < expected*9/10 {
		t.Errorf("got %d probes in %d s, want at least 90%% of %d", probes, seconds, expected)
	}
}

// TestLateTickIsAStall asserts that a table reports a stall if and only if Tick is called more than stallThreshold
// after the time that NextTick returned, whatever the time since the previous call.
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
			t.Errorf("called %d us late: got stall %v, want %v", lateness.us, stall, lateness.stall)
		}
	}
}
