package membership

// This file owns Lifeguard's local health: how far the local member distrusts its own observations. It
// stretches the timeouts, and silence that a stall explains raises no suspicion.

// HealthScore is the local health score: 0 is healthy, 8 the worst.
func (t *Table) HealthScore() int { return t.healthScore }

// healthMultiplier is the local health multiplier of the probes' timeouts.
func (t *Table) healthMultiplier() int64 { return int64(1 + t.healthScore) }

// stretchSuspicion lengthens the timeout of a suspicion by half of it for each point of the score. It stops at
// twice the timeout, so that a member that is alone with its observations declares a death all the same.
func (t *Table) stretchSuspicion(timeout int64) int64 {
	halves := int64(2 + min(2, t.healthScore))
	return timeout * halves / 2
}

func (t *Table) improveHealth() { t.healthScore = max(0, t.healthScore-1) }

func (t *Table) degradeHealth() { t.healthScore = min(maxHealthScore, t.healthScore+1) }

// recordStall takes it that the local process did not run for a while: what it did not receive meanwhile
// says nothing of others.
func (t *Table) recordStall(sinceLastTick int64) {
	t.gracePeriodEnd = t.now + stallGracePeriod
	for _, name := range t.suspects {
		if m := t.members[name]; m != nil && m.State == Suspect {
			m.suspectedAt = t.now
		}
	}
	t.report(Stalled, t.Self.Name, t.Self.Zone, "held up for "+inMilliseconds(sinceLastTick))
}
