package hollow

import "testing"

// This file tests how members that died before a cut affect the other members after the cut.

// TestHealAmongTheLongDead checks that members that died before a cut and never restart do not prevent the other
// members from finding each other after the cut. Members periodically ping a member that they consider dead, drawn at
// random. The more members are dead, the longer it takes until a ping reaches the other side.
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
