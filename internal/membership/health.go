package membership

// This file implements Lifeguard's local health score, which measures how unreliable the local member's own
// observations are. A higher score lengthens the timeouts of probes and suspicions. The file also handles stalls of
// the local process: for some time after a stall, silence alone does not make the local member suspect another
// member.

// HealthScore returns the local health score, from 0 (healthy) to 8 (worst).
func (t *Table) HealthScore() int { return t.healthScore }

// healthMultiplier returns the factor by which the local health score lengthens the timeouts of probes.
func (t *Table) healthMultiplier() int64 { return int64(1 + t.healthScore) }

// scaleSuspicionTimeout lengthens the timeout of a suspicion by half of its value for each point of the local
// health score. It returns at most twice the timeout. Therefore a local member with a bad score still declares
// deaths, even if no other member confirms its suspicions.
func (t *Table) scaleSuspicionTimeout(timeout int64) int64 {
	halves := int64(2 + min(2, t.healthScore))
	return timeout * halves / 2
}

func (t *Table) improveHealth() { t.healthScore = max(0, t.healthScore-1) }

func (t *Table) degradeHealth() { t.healthScore = min(maxHealthScore, t.healthScore+1) }

// recordStall records that the local process did not run for some time. Messages that it did not receive during
// that time are no evidence against other members. Therefore the timeouts of all suspicions start again, and a grace
// period begins in which silence raises no suspicion.
func (t *Table) recordStall(sinceLastTick int64) {
	t.gracePeriodEnd = t.now + stallGracePeriod
	for _, name := range t.suspects {
		if m := t.members[name]; m != nil && m.State == Suspect {
			m.suspectedAt = t.now
		}
	}
	t.report(Stalled, t.Self.Name, t.Self.Zone, "held up for "+formatMilliseconds(sinceLastTick))
}
