package hollow

import (
	"testing"

	"ravenhitch/internal/membership"
)

// This file tests changes of the cluster during a cut.

// TestChangesWithinCut checks that after a cut all members have learned of the changes that happened on either side
// during the cut: members that restarted, moved to another address, left, stopped or joined. Members must also find
// each other if all of them restarted with empty tables, or if the cut was interrupted for one second.
func TestChangesWithinCut(t *testing.T) {
	const cutSeconds = 60
	for _, c := range []struct {
		name   string
		change func(s *scenario)
	}{
		{"half of the cut region restart", func(s *scenario) {
			for k, i := range s.inCutRegion() {
				if k%2 == 0 {
					s.restart(i, 0, minDowntime)
				}
			}
		}},
		{"all on both sides restart", func(s *scenario) {
			for i := range s.members {
				s.restart(i, s.random.Int64N(second), minDowntime)
			}
		}},
		{"one of the cut region moves to another address", func(s *scenario) {
			i := s.inCutRegion()[1] // not the first member, because its address is in the settings of all members
			s.stop(i)
			s.move(i)
			s.start(i)
		}},
		{"one leaves on purpose on each side", func(s *scenario) {
			s.leave(2)
			s.leave(s.inCutRegion()[1])
		}},
		{"one joins in each zone and one stops on each side", func(s *scenario) {
			for range s.network.zones { // adds one member in each zone
				i := len(s.members)
				s.add(i)
				s.start(i)
			}
			s.stop(2)
			s.stop(s.inCutRegion()[1])
		}},
		{"the cut heals for a second and comes again", func(s *scenario) {
			s.network.cutUntil = s.now
			s.advance(cut, second)
			s.network.cutFrom, s.network.cutUntil = s.now, s.now+cutSeconds*second
		}},
	} {
		for _, n := range []int{9, 32} {
			s := newScenario(n, *regionsFlag, *zonesFlag, *seedFlag)
			s.waitForAgreement(forming)
			s.network.cutFrom, s.network.cutUntil = s.now, s.now+cutSeconds*second
			s.advance(cut, cutSeconds/2*second)
			c.change(s)
			s.advance(cut, s.network.cutUntil-s.now)
			s.waitForAgreement(healed)
			t.Logf("%s, %d members: agree %.1f s after the cut, %d false deaths", c.name, n, s.agreedAfter[healed], len(s.simulation.falseDeaths))
			if s.agreedAfter[forming] == never || s.agreedAfter[healed] == never {
				t.Errorf("%s, %d members: the tables do not agree before or after the cut", c.name, n)
			}
			if len(s.simulation.falseDeaths) > 0 {
				t.Errorf("%s, %d members: got %d false deaths, want none; first: %s", c.name, n, len(s.simulation.falseDeaths), s.simulation.falseDeaths[0])
			}
		}
	}
}

// inCutRegion returns the indexes of the members of the region that is cut off.
func (s *simulation) inCutRegion() (out []int) {
	for i := range s.members {
		if s.network.inCutRegion(i) {
			out = append(out, i)
		}
	}
	return out
}

// leave makes a member leave the cluster and stops its process after minDowntime.
func (s *simulation) leave(i int) {
	leaving := s.members[i]
	s.call(i, func() []membership.Action { return leaving.Leave(s.now) })
	s.after(minDowntime, func() { s.stop(i) })
}

// move gives a stopped member another address.
func (s *simulation) move(i int) {
	moved := s.members[i]
	delete(s.byAddress, moved.address)
	moved.address = "10.99.0.1:7400"
	s.byAddress[moved.address] = i
}
