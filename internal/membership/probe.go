package membership

// This file owns the probes of the failure detector: one member after another, in random order, is pinged;
// one that does not answer in time is probed indirectly and by a handshake; what a probe found is concluded
// once. How the indirect part is done is in indirect.go.

import "slices"

// probe is one probe of one member.
type probe struct {
	name               string
	nonce, sequence    uint64
	startedAt          int64
	indirectAt         int64 // when the indirect probes were sent, 0 while they were not
	acked              bool  // by the member itself
	aliveIndirectly    bool  // a relay reached it, or it answered the handshake
	reachedByRelay     bool
	directPingReceived bool // the direct ping arrived, as a relay reported
	unreachedByRelay   bool // a relay answered that it could not reach it
	handshakeStarted   bool
	handshakeRefused   bool // no process listens there
	handshakeTimedOut  bool
}

// ping sends a ping to a member, and returns its sequence number.
func (t *Table) ping(name string) uint64 {
	t.sequence++
	t.sendToMember(name, Message{Kind: Ping, Sequence: t.sequence})
	return t.sequence
}

// probeSoon has a member probed before the others.
func (t *Table) probeSoon(name string) {
	if len(t.urgentProbes) < maxProbes && !slices.Contains(t.urgentProbes, name) && !t.probing(name) {
		t.urgentProbes = append(t.urgentProbes, name)
	}
}

func (t *Table) probing(name string) bool {
	return slices.ContainsFunc(t.probes, func(p *probe) bool { return p.name == name })
}

// probeNext starts the next probe: an urgent one, and the next in order. Both start where both wait, so
// that a few suspects do not keep the rest from their turn.
func (t *Table) probeNext() {
	t.startUrgentProbe()
	if !t.startProbeInOrder() && t.Size() == 1 {
		t.pingPeers(peersPingedAlone)
	}
}

// startUrgentProbe looks at two urgent probes at most, for one that is still wanted.
func (t *Table) startUrgentProbe() {
	for looked := 0; looked < 2 && len(t.urgentProbes) > 0; looked++ {
		name := t.urgentProbes[0]
		t.urgentProbes = t.urgentProbes[1:]
		if t.needsProbe(name) {
			t.startProbe(name)
			return
		}
	}
}

// startProbeInOrder gives the next member in order its turn; after the last one a new order is drawn. It
// reports whether there was a member that needs a probe.
func (t *Table) startProbeInOrder() bool {
	for range 2*len(t.names) + 2 {
		if len(t.probeOrder) == 0 {
			t.probeOrder = slices.Clone(t.names)
			t.rng.Shuffle(len(t.probeOrder), func(i, j int) {
				t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i]
			})
			if len(t.probeOrder) == 0 {
				return false
			}
		}
		name := t.probeOrder[0]
		t.probeOrder = t.probeOrder[1:]
		if t.needsProbe(name) {
			t.startProbe(name)
			return true
		}
	}
	return false
}

// needsProbe reports whether a member is still believed to be in the cluster, and is not being probed.
func (t *Table) needsProbe(name string) bool {
	m := t.members[name]
	return m != nil && m.State <= Suspect && !t.probing(name)
}

// startProbe starts the probe of a member that needs one. Where too many are in flight, the member loses its
// turn.
func (t *Table) startProbe(name string) {
	if len(t.probes) >= maxProbes {
		return
	}
	m := t.members[name]
	m.probedAt = t.now
	t.probes = append(t.probes, &probe{name: name, nonce: m.Nonce, startedAt: t.now, sequence: t.ping(name)})
}

// directTimeout is how long an ack may take: longer for a member that is known to be far, and by the local
// health multiplier.
func (t *Table) directTimeout(m *member) int64 {
	return min(t.ProbeTimeout/2, max(t.DirectTimeout, 4*m.rtt)) * t.healthMultiplier()
}

// expireProbes goes on to indirect probes where an ack is overdue, and concludes the probes that are over.
func (t *Table) expireProbes() {
	var finished []*probe
	t.probes = slices.DeleteFunc(t.probes, func(p *probe) bool {
		m := t.members[p.name]
		if m == nil || m.Nonce != p.nonce || m.State >= Dead {
			return true
		}
		if p.indirectAt == 0 && !p.acked && t.now-p.startedAt >= t.directTimeout(m) {
			t.probeIndirectly(p, m)
		}
		if !t.finished(p) {
			return false
		}
		finished = append(finished, p)
		return true
	})
	for _, p := range finished {
		t.conclude(p, t.members[p.name])
	}
}

// finished reports whether a probe is over: answered, refused with time left for the relays to say
// otherwise, or timed out.
func (t *Table) finished(p *probe) bool {
	age := t.now - p.startedAt
	return p.acked && age >= t.DirectTimeout-tickInterval/2 ||
		p.handshakeRefused && t.now-p.indirectAt >= t.DirectTimeout/2 ||
		age >= t.ProbeTimeout*t.healthMultiplier()
}

// conclude ends a probe.
func (t *Table) conclude(p *probe, m *member) {
	switch {
	case p.acked:
		t.improveHealth()
	case p.aliveIndirectly:
		// The member is alive; only the direct path is in question, in the direction that the relay found.
		if p.reachedByRelay && p.directPingReceived {
			t.pathFailed(m, inbound, p.handshakeTimedOut)
		} else if p.reachedByRelay {
			t.pathFailed(m, outbound, p.handshakeTimedOut)
		}
		t.probeSoon(m.Name)
	case m.lastAliveAt > p.startedAt:
	default:
		if !p.unreachedByRelay && len(t.names) > 2 {
			t.degradeHealth() // not even the relays answered
		}
		t.suspectUnreachable(m, p.handshakeRefused)
	}
}

// HandshakeResult is the result of a HandshakeProbe.
type HandshakeResult uint8

// The results.
const (
	HandshakeTimedOut HandshakeResult = iota // nothing came in time
	HandshakeAnswered                        // a process answered, with an incarnation nonce
	HandshakeRefused                         // no process listens there
)

// HandshakeProbed takes the result of a HandshakeProbe, and the nonce of the process that answered.
func (t *Table) HandshakeProbed(now int64, name string, nonce uint64, result HandshakeResult) []Action {
	t.now = now
	m := t.members[name]
	if m == nil || m.State >= Dead {
		return t.takeActions()
	}
	for _, p := range t.probes {
		if p.name != name || !p.handshakeStarted || p.nonce != m.Nonce {
			continue
		}
		switch {
		case result == HandshakeAnswered && nonce == m.Nonce:
			m.lastAliveAt, p.aliveIndirectly = now, true
		case result == HandshakeTimedOut:
			p.handshakeTimedOut = true
		case result == HandshakeRefused:
			p.handshakeRefused = true // relays may reach it all the same: they have a moment to say so
		}
	}
	return t.takeActions()
}
