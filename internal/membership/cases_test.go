package membership

import (
	"testing"
)

// Each case plays one fault, and looks at what it must not do.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		size   int
		faults []fault
		play   func(t *testing.T, f *cluster)
	}{
		{"paused 10 s, it declares nobody dead when it wakes", 7, []fault{{kind: "pause", target: 2, start: 6 * second, end: 16 * second}}, func(t *testing.T, f *cluster) {
			f.run(20 * second)
			if x := f.members[2]; x.eventCounts[Died] > 0 || x.eventCounts[Stalled] == 0 {
				t.Errorf("%v", x.eventCounts)
			}
		}},
		{"30% loss kills nobody", 7, []fault{{kind: "loss", target: -1, probability: 0.3, start: 5 * second, end: 60 * second}}, func(t *testing.T, f *cluster) {
			f.run(5 * second)
			before := f.members[0].View().Number
			f.run(60 * second)
			if x := f.members[0]; x.eventCounts[Refuted] == 0 || x.View().Number != before {
				t.Errorf("%d steps of the view, %v", x.View().Number-before, x.eventCounts)
			}
		}},
		{"no datagram passes to or from one that answers handshakes", 7, []fault{{kind: "loss", target: 3, probability: 1, start: 5 * second, end: 30 * second}}, func(t *testing.T, f *cluster) {
			f.run(30 * second)
		}},
		{"a way that refuses: nobody is accused whom others reach", 7, []fault{{kind: "refuse", target: 2, other: 3, start: 5 * second, end: 60 * second}}, func(t *testing.T, f *cluster) {
			f.delay = 15_000 // the others' word comes long after the refusal
			f.run(60 * second)
			if n := f.members[2].eventCounts[Suspected]; n > 0 {
				t.Errorf("accused %d times", n)
			}
		}},
		{"a hall that is reached by one of another hall only", 16, []fault{{kind: "cut", target: 0, other: 1, start: 5 * second, end: 60 * second}}, func(t *testing.T, f *cluster) {
			f.run(60 * second)
			if n := f.members[2].eventCounts[Suspected]; n > 100 { // 569 before it remembered who got through
				t.Errorf("accused %d times", n)
			}
		}},
		{"a hall that is reached by one of its own only", 16, []fault{{kind: "cut", target: 0, other: 4, start: 5 * second, end: 60 * second}}, func(t *testing.T, f *cluster) {
			f.run(60 * second)
			if n := f.members[2].eventCounts[Suspected]; n > 15 { // 27 before it asked whom it heard last
				t.Errorf("accused %d times", n)
			}
		}},
		{"a link that carries one way only is found", 16, []fault{{kind: "oneway", target: 3, other: 8, start: 5 * second, end: 60 * second}}, func(t *testing.T, f *cluster) {
			f.run(14 * second)
			if len(f.oneWayFound) == 0 {
				t.Error("not within 9 s")
			}
		}},
		{"a cut of a quarter of a large fleet that heals: nobody dies of the news", 3, nil, func(t *testing.T, f *cluster) {
			faults, _ := drawFaults(100, 50)
			g := newCluster(100, 50, faults)
			g.run(16 * second)
			f.violations = g.violations
		}},
		{"one whose own links are bad accuses less and less", 7, []fault{{kind: "loss", target: 2, probability: 0.6, start: 5 * second, end: 60 * second}}, func(t *testing.T, f *cluster) {
			f.run(60 * second)
			if n := f.members[2].eventCounts[Suspected]; n > 50 { // it was 74 before it doubted itself
				t.Errorf("accused %d times", n)
			}
		}},
		{"a second process under a name stays outside, and takes it over from the dead", 7, nil, func(t *testing.T, f *cluster) {
			f.run(5 * second)
			first := f.members[3].Self.Life
			x := f.startIntruder(3)
			f.run(12 * second)
			if x.eventCounts[NameConflict] != 1 || !x.joining || f.believers("n3", x.Self.Life) > 0 || f.believers("n3", first) != 6 {
				t.Errorf("%v; %d hold it, %d the first", x.eventCounts, f.believers("n3", x.Self.Life), f.believers("n3", first))
			}
			f.startFault(fault{kind: "kill", target: 3})
			f.run(f.now + 6*second)
			if n := f.believers("n3", x.Self.Life); n != 6 {
				t.Errorf("%d hold it once the first is dead", n)
			}
		}},
		{"a name at the same address is taken at once", 7, nil, func(t *testing.T, f *cluster) {
			f.run(5 * second)
			f.startFault(fault{kind: "restart", target: 3, end: 5*second + 10_000})
			f.run(7 * second)
			if x := f.members[3]; f.believers("n3", x.Self.Life) != 6 || x.eventCounts[NameConflict] > 0 {
				t.Errorf("%d hold it: %v", f.believers("n3", x.Self.Life), x.eventCounts)
			}
		}},
		{"two that took one name in two halves: one is left", 6, []fault{{kind: "cut", target: 0, other: -1, start: 0, end: 8 * second}}, func(t *testing.T, f *cluster) {
			f.run(3 * second) // n5 is of zone-1, and whoever takes its name of zone-0
			x := f.startIntruder(5)
			f.run(20 * second)
			a, b := f.believers("n5", f.members[5].Self.Life), f.believers("n5", x.Self.Life)
			if outside := f.members[5].eventCounts[NameConflict] + x.eventCounts[NameConflict]; (a == 0) == (b == 0) || outside != 1 {
				t.Errorf("%d hold the one, %d the other; %d stay outside", a, b, outside)
			}
		}},
		{"a cut that heals: nobody dies of what others missed", 16, []fault{{kind: "cut", target: 2, other: -1, start: 6 * second, end: 12 * second}}, func(t *testing.T, f *cluster) {
			f.run(20 * second)
			if s := f.disagreement(); s != "" {
				t.Error(s)
			}
		}},
		{"one that goes on purpose is not suspected", 7, []fault{{kind: "leave", target: 3, start: 6 * second, end: 7 * second}}, func(t *testing.T, f *cluster) {
			f.run(12 * second)
			for i, x := range f.members {
				if i != 3 && (x.eventCounts[LeftCluster] != 1 || x.eventCounts[Died] > 0) {
					t.Errorf("n%d: %v", i, x.eventCounts)
				}
			}
		}},
		{"a view changes in few steps for many", 16, []fault{{kind: "kill", target: 1, start: 6 * second}, {kind: "kill", target: 5, start: 6 * second},
			{kind: "kill", target: 9, start: 6 * second}, {kind: "kill", target: 2, start: 6 * second}, {kind: "kill", target: 6, start: 6 * second}}, func(t *testing.T, f *cluster) {
			f.run(6 * second)
			before := f.members[0].View().Number
			f.run(12 * second)
			if v := f.members[0].View(); v.Number > before+2 || len(v.Names) != 11 {
				t.Errorf("%d steps to %v", v.Number-before, v.Names)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCluster(c.size, 11, c.faults)
			c.play(t, f)
			if len(f.violations) > 0 {
				t.Error(f.violations[0])
			}
		})
	}
}
