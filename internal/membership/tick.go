package membership

// This file owns the pace of the table: when it wants to be called, and what it does in which order when
// it is.

// NextTick is when Tick wants to be called: every tickInterval while anything is unsettled, else for the
// next probe or the next ack that is overdue. It may become sooner with each call of another method.
func (t *Table) NextTick() int64 {
	if !t.idle() {
		return t.lastTick + tickInterval
	}
	next := t.nextProbeAt
	for _, p := range t.probes {
		if m := t.members[p.name]; m != nil && !p.acked {
			next = min(next, p.startedAt+t.directTimeout(m))
		}
	}
	return max(next, t.lastTick+tickInterval)
}

// idle reports whether nobody is suspected, and nothing waits but acks that are not overdue.
func (t *Table) idle() bool {
	switch {
	case !t.admitted(), t.healthScore > 0, t.viewStaleSince > 0:
		return false
	case len(t.relayedProbes) > 0, len(t.suspects) > 0, len(t.urgentProbes) > 0:
		return false
	}
	return true
}

// Tick runs one step of the table: the start of the local member, then of the failure detector.
func (t *Table) Tick(now int64) []Action {
	expected, sinceLast := t.NextTick(), now-t.lastTick
	t.now, t.lastTick = now, now
	if now-expected > stallThreshold {
		t.recordStall(sinceLast)
	}
	switch {
	case t.conflictAt > 0:
		t.awaitName()
	case t.joining && now-t.startedAt <= joinTimeout:
		t.claimName()
	default:
		if t.joining {
			t.completeJoin() // nobody is there to object
		}
		t.detectFailures()
	}
	return t.takeActions()
}

// detectFailures is one step of the failure detector.
func (t *Table) detectFailures() {
	t.expireProbes()
	t.expireRelayedProbes()
	if t.now >= t.nextProbeAt {
		if t.nextProbeAt += t.ProbeInterval; t.nextProbeAt < t.now {
			t.nextProbeAt = t.now + t.ProbeInterval
		}
		t.probeNext()
	}
	if t.now >= t.nextDeadPingAt {
		t.nextDeadPingAt = t.now + deadPingInterval
		t.pingDead()
	}
	t.judgeSuspects()
	t.updateView()
}
