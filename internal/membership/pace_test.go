package membership

import "testing"

// TestTickRate asserts that a calm table wants to be called little more often than it probes, that one in
// doubt wants to be every tickInterval, and that what comes in between is looked at in time.
func TestTickRate(t *testing.T) {
	const members, seconds = 9, 20
	f := newCluster(members, 5, []fault{{kind: "vanish", target: 4, other: -1, start: 60 * second, end: 61 * second}})
	f.run(formationTime(members))
	ticks := func() (sum int) {
		for i, x := range f.members {
			if i != 4 {
				sum += x.ticks
			}
		}
		return sum
	}
	before := ticks()
	f.run(f.now + seconds*second)
	perSecond := float64(ticks()-before) / seconds / (members - 1)
	if probes := float64(second) / float64(f.members[0].ProbeInterval); perSecond > 1.2*probes {
		t.Errorf("%g calls a second and member in calm, %g probes", perSecond, probes)
	}
	f.run(62 * second)
	before = ticks()
	f.run(64 * second)
	perSecond = float64(ticks()-before) / 2 / (members - 1)
	if perSecond < 0.8*second/tickInterval {
		t.Errorf("%g calls a second and member while one is suspected", perSecond)
	}
}

// TestTickSoonerAfterPingRequest asserts that the word of another, that it cannot reach a third, makes a calm
// table want to be called sooner.
func TestTickSoonerAfterPingRequest(t *testing.T) {
	f := newCluster(3, 6, nil)
	f.run(formationTime(3) + 10*second)
	x := f.members[0]
	calm := x.NextTick()
	m := &Message{Kind: PingRequest, Sequence: 1, To: memberName(0), Sender: f.members[1].Self, Target: memberName(2)}
	x.Receive(f.now, m)
	if next := x.NextTick(); next >= calm || next > x.lastTick+tickInterval {
		t.Errorf("asked for a third it wants to be called at %d, calm at %d", next, calm)
	}
}

// TestProbeRateOfTwo asserts that the only other member is probed each time, though timers are late by
// some more or less each time.
func TestProbeRateOfTwo(t *testing.T) {
	const seconds = 20
	f := newCluster(2, 7, nil)
	f.run(formationTime(2))
	before := f.members[0].sequence
	f.run(f.now + seconds*second)
	probes, due := f.members[0].sequence-before, uint64(seconds*second/f.members[0].ProbeInterval)
	if probes < due*9/10 {
		t.Errorf("%d probes in %d s, %d are due", probes, seconds, due)
	}
}

// TestLateTickIsAStall asserts that a table doubts itself where it is called stallThreshold after it wanted to be, and
// not before, however long its last call is ago.
func TestLateTickIsAStall(t *testing.T) {
	f := newCluster(3, 8, nil)
	f.run(formationTime(3) + 10*second)
	x := f.members[0]
	for _, c := range []struct {
		late  int64
		doubt bool
	}{{stallThreshold, false}, {stallThreshold + 1, true}} {
		x.Events()
		x.Tick(x.NextTick() + c.late)
		doubts := false
		for _, e := range x.Events() {
			doubts = doubts || e.Kind == Stalled
		}
		if doubts != c.doubt {
			t.Errorf("called %d us late it doubts itself: %v", c.late, doubts)
		}
	}
}
