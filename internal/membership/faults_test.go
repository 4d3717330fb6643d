package membership

import "testing"

// faultCase is a test case that runs a cluster with faults and checks their effects.
type faultCase struct {
	name   string
	size   int
	faults []fault
	run    func(t *testing.T, c *cluster)
}

// assertMaxSuspicions returns a function that runs the cluster until the simulated time is 60 s and asserts that member
// 2 reports at most limit suspicions. The limit includes suspicions that member 2 learns from the updates of other
// members.
func assertMaxSuspicions(limit int) func(t *testing.T, c *cluster) {
	return func(t *testing.T, c *cluster) {
		t.Helper()
		c.run(60 * second)
		if count := c.members[2].eventCounts[Suspected]; count > limit {
			t.Errorf("member 2 reported %d suspicions, want at most %d", count, limit)
		}
	}
}

var faultCases = []faultCase{
	{
		name:   "a member that was paused for 10 s declares nobody dead",
		size:   7,
		faults: []fault{{kind: faultPause, target: 2, start: 6 * second, end: 16 * second}},
		run: func(t *testing.T, c *cluster) {
			c.run(20 * second)
			if process := c.members[2]; process.eventCounts[Died] > 0 || process.eventCounts[Stalled] == 0 {
				t.Errorf("got events %v of member 2, want a stall and no death", process.eventCounts)
			}
		},
	},
	{
		name:   "with 30% loss, nobody is declared dead",
		size:   7,
		faults: []fault{{kind: faultLoss, target: -1, probability: 0.3, start: 5 * second, end: 60 * second}},
		run: func(t *testing.T, c *cluster) {
			c.run(5 * second)
			before := c.members[0].View().Number
			c.run(60 * second)
			if process := c.members[0]; process.eventCounts[Refuted] == 0 || process.View().Number != before {
				t.Errorf("got %d new views and events %v of member 0, want no new view and some refutations",
					process.View().Number-before, process.eventCounts)
			}
		},
	},
	{
		name:   "a member that answers handshakes, but no datagrams, is not declared dead",
		size:   7,
		faults: []fault{{kind: faultLoss, target: 3, probability: 1, start: 5 * second, end: 30 * second}},
		run:    func(_ *testing.T, c *cluster) { c.run(30 * second) },
	},
	{
		name:   "a member that refuses connections from only one other member is not suspected if relays reach it",
		size:   7,
		faults: []fault{{kind: faultRefuse, target: 2, other: 3, start: 5 * second, end: 60 * second}},
		run: func(t *testing.T, c *cluster) {
			c.delay = 15 * millisecond // the relays answer long after the host has refused the handshake probe
			assertMaxSuspicions(0)(t, c)
		},
	},
	{
		name:   "few suspicions if only one member of the other zones can reach a zone",
		size:   16,
		faults: []fault{{kind: faultCut, target: 0, other: 1, start: 5 * second, end: 60 * second}},
		run:    assertMaxSuspicions(100), // 569 suspicions when chooseRelays ignored which relay last reached the zone
	},
	{
		name:   "few suspicions if the other zones can reach only one member of a zone",
		size:   16,
		faults: []fault{{kind: faultCut, target: 0, other: 4, start: 5 * second, end: 60 * second}},
		run:    assertMaxSuspicions(15), // 27 suspicions when drawRelay did not prefer the relay that sent the last datagram
	},
	{
		name:   "a path that works in one direction only is reported",
		size:   16,
		faults: []fault{{kind: faultOneWay, target: 3, other: 8, start: 5 * second, end: 60 * second}},
		run: func(t *testing.T, c *cluster) {
			c.run(14 * second)
			if len(c.oneWayFound) == 0 {
				t.Error("no member reported the one-way path within 9 s")
			}
		},
	},
	{
		name: "a quarter of a large cluster is cut off and rejoins: outdated updates cause no declaration of death",
		size: 3,
		run: func(_ *testing.T, c *cluster) {
			faults, _ := drawFaults(100, 50)
			large := newCluster(100, 50, faults)
			large.run(16 * second)
			c.violations = large.violations
		},
	},
	{
		name:   "a member whose paths lose many datagrams reports few suspicions",
		size:   7,
		faults: []fault{{kind: faultLoss, target: 2, probability: 0.6, start: 5 * second, end: 60 * second}},
		run:    assertMaxSuspicions(50), // 74 suspicions without the local health score
	},
	{
		name: "a second process with the name of a member joins only after the first is dead",
		size: 7,
		run: func(t *testing.T, c *cluster) {
			c.run(5 * second)
			first := c.members[3].Self.Nonce
			intruder := c.startIntruder(3)
			c.run(12 * second)
			inIntruder, inFirst := c.listedBy("n3", intruder.Self.Nonce), c.listedBy("n3", first)
			if intruder.eventCounts[NameConflict] != 1 || !intruder.joining || inIntruder > 0 || inFirst != 6 {
				t.Errorf("second process: events %v, joining %v, listed by %d members, want one name conflict, true, 0; "+
					"first process: listed by %d, want 6", intruder.eventCounts, intruder.joining, inIntruder, inFirst)
			}
			c.startFault(fault{kind: faultKill, target: 3})
			c.run(c.now + 6*second)
			if count := c.listedBy("n3", intruder.Self.Nonce); count != 6 {
				t.Errorf("%d members list the second process after the death of the first, want 6", count)
			}
		},
	},
	{
		name: "a restarted process takes over its name and address at once",
		size: 7,
		run: func(t *testing.T, c *cluster) {
			c.run(5 * second)
			c.startFault(fault{kind: faultRestart, target: 3, end: 5*second + 10*millisecond})
			c.run(7 * second)
			if process := c.members[3]; c.listedBy("n3", process.Self.Nonce) != 6 || process.eventCounts[NameConflict] > 0 {
				t.Errorf("the restarted process: listed by %d members, events %v, want 6 and no name conflict",
					c.listedBy("n3", process.Self.Nonce), process.eventCounts)
			}
		},
	},
	{
		name:   "of two processes with one name on two sides of a partition, one remains",
		size:   6,
		faults: []fault{{kind: faultCut, target: 0, other: -1, start: 0, end: 8 * second}},
		run: func(t *testing.T, c *cluster) {
			c.run(3 * second) // n5 is in zone-1, and the process that takes its name is in zone-0
			intruder := c.startIntruder(5)
			c.run(20 * second)
			first, second := c.listedBy("n5", c.members[5].Self.Nonce), c.listedBy("n5", intruder.Self.Nonce)
			conflicts := c.members[5].eventCounts[NameConflict] + intruder.eventCounts[NameConflict]
			if (first == 0) == (second == 0) || conflicts != 1 {
				t.Errorf("the first process is listed by %d members, the second by %d, with %d name conflicts; "+
					"want only one of them listed and 1 conflict", first, second, conflicts)
			}
		},
	},
	{
		name:   "after a cut has healed, every table lists all members as alive or suspected",
		size:   16,
		faults: []fault{{kind: faultCut, target: 2, other: -1, start: 6 * second, end: 12 * second}},
		run: func(t *testing.T, c *cluster) {
			c.run(20 * second)
			if difference := c.disagreement(); difference != "" {
				t.Error(difference)
			}
		},
	},
	{
		name:   "a member that leaves is not declared dead",
		size:   7,
		faults: []fault{{kind: faultLeave, target: 3, start: 6 * second, end: 7 * second}},
		run: func(t *testing.T, c *cluster) {
			c.run(12 * second)
			for i, process := range c.members {
				if i != 3 && (process.eventCounts[LeftCluster] != 1 || process.eventCounts[Died] > 0) {
					t.Errorf("n%d: got events %v, want one departure and no death", i, process.eventCounts)
				}
			}
		},
	},
	{
		name: "the view changes at most twice for five deaths at the same time",
		size: 16,
		faults: []fault{
			{kind: faultKill, target: 1, start: 6 * second},
			{kind: faultKill, target: 5, start: 6 * second},
			{kind: faultKill, target: 9, start: 6 * second},
			{kind: faultKill, target: 2, start: 6 * second},
			{kind: faultKill, target: 6, start: 6 * second},
		},
		run: func(t *testing.T, c *cluster) {
			c.run(6 * second)
			before := c.members[0].View().Number
			c.run(12 * second)
			if v := c.members[0].View(); v.Number > before+2 || len(v.Names) != 11 {
				t.Errorf("got %d view changes to %v, want at most 2 changes to 11 members", v.Number-before, v.Names)
			}
		},
	},
}

// TestFaults runs each case, and also asserts that no invariant is violated.
func TestFaults(t *testing.T) {
	for _, fc := range faultCases {
		t.Run(fc.name, func(t *testing.T) {
			c := newCluster(fc.size, 11, fc.faults)
			fc.run(t, c)
			if len(c.violations) > 0 {
				t.Error(c.violations[0])
			}
		})
	}
}
