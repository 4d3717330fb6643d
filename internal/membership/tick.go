package membership

// This file implements the periodic work of the table: the time of the next call of Tick, and the steps of Tick and
// their order.

// NextTick returns the time at which the caller must call Tick next. While the table is not idle, this is
// tickInterval after the previous call of Tick. Otherwise it is the start of the next probe or the time when an ack
// becomes overdue, whichever is earlier, but at least tickInterval after the previous call of Tick. Calls of other
// methods may make it earlier.
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

// idle reports whether Tick has no urgent work until the next probe starts or an ack becomes overdue: the local member
// is admitted and healthy, the view is current, nobody is suspected, and no relayed or urgent probe is pending.
func (t *Table) idle() bool {
	switch {
	case !t.admitted(), t.healthScore > 0, t.viewStaleSince > 0:
		return false
	case len(t.relayedProbes) > 0, len(t.suspects) > 0, len(t.urgentProbes) > 0:
		return false
	}
	return true
}

// Tick runs one step of the table and returns the actions to perform. The step handles a name conflict, joins the
// cluster, or runs the failure detector.
func (t *Table) Tick(now int64) []Action {
	expected, sinceLast := t.NextTick(), now-t.lastTick
	t.now, t.lastTick = now, now
	if now-expected > stallThreshold {
		t.recordStall(sinceLast)
	}
	switch {
	case t.conflictAt > 0:
		t.awaitNameRelease()
	case t.joining && now-t.startedAt <= joinTimeout:
		t.claimName()
	default:
		if t.joining {
			t.completeJoin() // no member objected within joinTimeout
		}
		t.detectFailures()
	}
	return t.takeActions()
}

// detectFailures runs one step of the failure detector, and then updates the stable view if it is due.
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
	t.evaluateSuspects()
	t.updateView()
}
