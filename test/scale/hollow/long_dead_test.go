package hollow

import "testing"

// This file tests the effect of members that died before a cut on the other members.

// TestHealAmongTheLongDead checks that members that died before a cut and never restart do not prevent the other
// members from finding each other after the cut. Each ping to a dead member goes to one drawn at random, so more dead
// members delay the pings by which the two sides find each other.
func TestHealAmongTheLongDead(t *testing.T) {
	const n, cutSeconds = 9, 60
	for _, dead := range []int{0, 100} {
		s := newScenario(n, *regionsFlag, *zonesFlag, *seedFlag)
		for i := n; i < n+dead; i++ {
			s.add(i)
			s.start(i)
		}
		s.waitForAgreement(forming)
		for i := n; i < n+dead; i++ {
			s.stop(i)
		}
		s.waitForAgreement(calm)
		s.network.cutFrom, s.network.cutUntil = s.now, s.now+cutSeconds*second
		s.advance(cut, cutSeconds*second)
		s.waitForAgreement(healed)
		t.Logf("%d members dead before the cut: tables agree %.1f s after the cut", dead, s.agreedAfter[healed])
		if s.agreedAfter[healed] == never || len(s.simulation.falseDeaths) > 0 {
			t.Errorf("%d members dead before the cut: tables agree %.1f s after the cut (%d means never), false deaths %v; want agreement and no false deaths",
				dead, s.agreedAfter[healed], never, s.simulation.falseDeaths)
		}
	}
}
