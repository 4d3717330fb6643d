package membership

import (
	"testing"
)

// holds says how many of the fleet hold a life for a member.
func (f *fleet) holds(of string, life uint64) (n int) {
	for _, x := range f.all {
		if m := x.members[of]; x.up && m != nil && m.Life == life && m.State <= Suspect {
			n++
		}
	}
	return n
}

// Each case plays one fault, and looks at what it must not do.
func TestHardCases(t *testing.T) {
	for _, c := range []struct {
		name   string
		size   int
		faults []fault
		play   func(t *testing.T, f *fleet)
	}{
		{"paused 10 s, it declares nobody dead when it wakes", 7, []fault{{kind: "pause", a: 2, at: 6 * second, until: 16 * second}}, func(t *testing.T, f *fleet) {
			f.run(20 * second)
			if x := f.all[2]; x.said[Died] > 0 || x.said[Stalled] == 0 {
				t.Errorf("%v", x.said)
			}
		}},
		{"30% loss kills nobody", 7, []fault{{kind: "loss", a: -1, p: 0.3, at: 5 * second, until: 60 * second}}, func(t *testing.T, f *fleet) {
			f.run(5 * second)
			before := f.all[0].View().Number
			f.run(60 * second)
			if x := f.all[0]; x.said[Refuted] == 0 || x.View().Number != before {
				t.Errorf("%d steps of the view, %v", x.View().Number-before, x.said)
			}
		}},
		{"no datagram passes to or from one that answers handshakes", 7, []fault{{kind: "loss", a: 3, p: 1, at: 5 * second, until: 30 * second}}, func(t *testing.T, f *fleet) {
			f.run(30 * second)
		}},
		{"a way that refuses: nobody is accused whom others reach", 7, []fault{{kind: "refuse", a: 2, b: 3, at: 5 * second, until: 60 * second}}, func(t *testing.T, f *fleet) {
			f.delay = 15_000 // the others' word comes long after the refusal
			f.run(60 * second)
			if n := f.all[2].said[Suspected]; n > 0 {
				t.Errorf("accused %d times", n)
			}
		}},
		{"a hall that is reached by one of another hall only", 16, []fault{{kind: "cut", a: 0, b: 1, at: 5 * second, until: 60 * second}}, func(t *testing.T, f *fleet) {
			f.run(60 * second)
			if n := f.all[2].said[Suspected]; n > 100 { // 569 before it remembered who got through
				t.Errorf("accused %d times", n)
			}
		}},
		{"a hall that is reached by one of its own only", 16, []fault{{kind: "cut", a: 0, b: 4, at: 5 * second, until: 60 * second}}, func(t *testing.T, f *fleet) {
			f.run(60 * second)
			if n := f.all[2].said[Suspected]; n > 15 { // 27 before it asked whom it heard last
				t.Errorf("accused %d times", n)
			}
		}},
		{"a link that carries one way only is found", 16, []fault{{kind: "oneway", a: 3, b: 8, at: 5 * second, until: 60 * second}}, func(t *testing.T, f *fleet) {
			f.run(14 * second)
			if len(f.oneWay) == 0 {
				t.Error("not within 9 s")
			}
		}},
		{"a cut of a quarter of a large fleet that heals: nobody dies of the news", 3, nil, func(t *testing.T, f *fleet) {
			faults, _ := draw(100, 50)
			g := newFleet(100, 50, faults)
			g.run(16 * second)
			f.wrong = g.wrong
		}},
		{"one whose own links are bad accuses less and less", 7, []fault{{kind: "loss", a: 2, p: 0.6, at: 5 * second, until: 60 * second}}, func(t *testing.T, f *fleet) {
			f.run(60 * second)
			if n := f.all[2].said[Suspected]; n > 50 { // it was 74 before it doubted itself
				t.Errorf("accused %d times", n)
			}
		}},
		{"a second process under a name stays outside, and takes it over from the dead", 7, nil, func(t *testing.T, f *fleet) {
			f.run(5 * second)
			first := f.all[3].Self.Life
			x := f.intruder(3)
			f.run(12 * second)
			if x.said[NameConflict] != 1 || !x.joining || f.holds("n3", x.Self.Life) > 0 || f.holds("n3", first) != 6 {
				t.Errorf("%v; %d hold it, %d the first", x.said, f.holds("n3", x.Self.Life), f.holds("n3", first))
			}
			f.begin(0, fault{kind: "kill", a: 3})
			f.run(f.now + 6*second)
			if n := f.holds("n3", x.Self.Life); n != 6 {
				t.Errorf("%d hold it once the first is dead", n)
			}
		}},
		{"a name at the same address is taken at once", 7, nil, func(t *testing.T, f *fleet) {
			f.run(5 * second)
			f.begin(0, fault{kind: "restart", a: 3, until: 5*second + 10_000})
			f.run(7 * second)
			if x := f.all[3]; f.holds("n3", x.Self.Life) != 6 || x.said[NameConflict] > 0 {
				t.Errorf("%d hold it: %v", f.holds("n3", x.Self.Life), x.said)
			}
		}},
		{"two that took one name in two halves: one is left", 6, []fault{{kind: "cut", a: 0, b: -1, at: 0, until: 8 * second}}, func(t *testing.T, f *fleet) {
			f.run(3 * second) // n5 is of hall-1, and whoever takes its name of hall-0
			x := f.intruder(5)
			f.run(20 * second)
			a, b := f.holds("n5", f.all[5].Self.Life), f.holds("n5", x.Self.Life)
			if outside := f.all[5].said[NameConflict] + x.said[NameConflict]; (a == 0) == (b == 0) || outside != 1 {
				t.Errorf("%d hold the one, %d the other; %d stay outside", a, b, outside)
			}
		}},
		{"a cut that heals: nobody dies of what others missed", 16, []fault{{kind: "cut", a: 2, b: -1, at: 6 * second, until: 12 * second}}, func(t *testing.T, f *fleet) {
			f.run(20 * second)
			if s := f.same(); s != "" {
				t.Error(s)
			}
		}},
		{"one that goes on purpose is not suspected", 7, []fault{{kind: "leave", a: 3, at: 6 * second, until: 7 * second}}, func(t *testing.T, f *fleet) {
			f.run(12 * second)
			for i, x := range f.all {
				if i != 3 && (x.said[LeftCluster] != 1 || x.said[Died] > 0) {
					t.Errorf("n%d: %v", i, x.said)
				}
			}
		}},
		{"a view changes in few steps for many", 16, []fault{{kind: "kill", a: 1, at: 6 * second}, {kind: "kill", a: 5, at: 6 * second},
			{kind: "kill", a: 9, at: 6 * second}, {kind: "kill", a: 2, at: 6 * second}, {kind: "kill", a: 6, at: 6 * second}}, func(t *testing.T, f *fleet) {
			f.run(6 * second)
			before := f.all[0].View().Number
			f.run(12 * second)
			if v := f.all[0].View(); v.Number > before+2 || len(v.Names) != 11 {
				t.Errorf("%d steps to %v", v.Number-before, v.Names)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(c.size, 11, c.faults)
			c.play(t, f)
			if len(f.wrong) > 0 {
				t.Error(f.wrong[0])
			}
		})
	}
}
