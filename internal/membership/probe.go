package membership

// This file implements the probes of the failure detector, which pings the members one after another in random order.
// A member that does not answer in time is probed indirectly and by a handshake. Each probe is either concluded once
// or dropped (see expireProbes). Indirect probes are implemented in indirect.go.

import "slices"

// probe is the state of one probe of a member. Its times are in microseconds.
type probe struct {
	name               string
	nonce, sequence    uint64
	startedAt          int64
	indirectAt         int64 // time when the indirect probes were sent, 0 before that
	acked              bool  // the member itself acked the direct ping
	aliveIndirectly    bool  // a relay reached the member, or the member answered the handshake
	reachedByRelay     bool
	directPingReceived bool // a relay reported that the direct ping, or a later one, reached the member
	unreachedByRelay   bool // a relay reported that it could not reach the member
	handshakeStarted   bool
	handshakeRefused   bool // no process listens at the member's address
	handshakeTimedOut  bool
}

// ping sends a ping to a member and returns the ping's sequence number.
func (t *Table) ping(name string) uint64 {
	t.sequence++
	t.sendToMember(name, Message{Kind: Ping, Sequence: t.sequence})
	return t.sequence
}

// probeSoon queues an urgent probe of a member, unless the queue is full or the member is queued or being probed.
func (t *Table) probeSoon(name string) {
	if len(t.urgentProbes) < maxProbes && !slices.Contains(t.urgentProbes, name) && !t.probing(name) {
		t.urgentProbes = append(t.urgentProbes, name)
	}
}

// probing reports whether a probe of a member is in flight.
func (t *Table) probing(name string) bool {
	return slices.ContainsFunc(t.probes, func(p *probe) bool { return p.name == name })
}

// probeNext starts the next urgent probe and the next probe in order. It starts both, so that urgent probes of a
// few members do not delay the probes of the others. If no other member is alive or suspected, it pings one of
// the peers in the settings instead.
func (t *Table) probeNext() {
	t.startUrgentProbe()
	if !t.startProbeInOrder() && t.Size() == 1 {
		t.pingPeers(peersPingedAlone)
	}
}

// startUrgentProbe starts the first urgent probe that is still needed. It examines at most two entries of the
// queue.
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

// startProbeInOrder starts a probe of the next member in order that needs one. After the last member it draws a new
// random order. It reports whether any member needs a probe.
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

// needsProbe reports whether a member is alive or suspected, and is not being probed.
func (t *Table) needsProbe(name string) bool {
	m := t.members[name]
	return m != nil && m.State <= Suspect && !t.probing(name)
}

// startProbe starts a probe of a member. If maxProbes are in flight already, it skips the member.
func (t *Table) startProbe(name string) {
	if len(t.probes) >= maxProbes {
		return
	}
	m := t.members[name]
	m.probedAt = t.now
	t.probes = append(t.probes, &probe{name: name, nonce: m.Nonce, startedAt: t.now, sequence: t.ping(name)})
}

// directTimeout returns the maximum wait for a member's ack before indirect probes are sent: DirectTimeout, or four
// times the member's round-trip time if that is longer, but at most ProbeTimeout/2. The local health multiplier
// lengthens the result.
func (t *Table) directTimeout(m *member) int64 {
	return min(t.ProbeTimeout/2, max(t.DirectTimeout, 4*m.rtt)) * t.healthMultiplier()
}

// expireProbes starts the indirect probes of each probe whose ack is overdue, and concludes the finished probes. It
// drops the probes of members that are dead, departed, removed or replaced by another process.
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

// finished reports whether a probe is over. An acked probe ends about DirectTimeout after its start, or when the ack
// arrives if that is later. A probe whose handshake was refused ends DirectTimeout/2 after its indirect probes were
// sent, which gives relays time to report that they reach the member. Every probe ends at the latest when its duration
// is ProbeTimeout times the local health multiplier.
func (t *Table) finished(p *probe) bool {
	age := t.now - p.startedAt
	return p.acked && age >= t.DirectTimeout-tickInterval/2 ||
		p.handshakeRefused && t.now-p.indirectAt >= t.DirectTimeout/2 ||
		age >= t.ProbeTimeout*t.healthMultiplier()
}

// conclude evaluates the result of a finished probe of a member.
func (t *Table) conclude(p *probe, m *member) {
	switch {
	case p.acked:
		t.improveHealth()
	case p.aliveIndirectly:
		// The member is alive, so only the direct path to it can have failed. Whether the member received the direct
		// ping shows which direction of the path failed.
		if p.reachedByRelay && p.directPingReceived {
			t.pathFailed(m, inbound, p.handshakeTimedOut)
		} else if p.reachedByRelay {
			t.pathFailed(m, outbound, p.handshakeTimedOut)
		}
		t.probeSoon(m.Name)
	case m.lastAliveAt > p.startedAt: // the member proved to be alive in another way
	default:
		if !p.unreachedByRelay && len(t.names) > 2 {
			t.degradeHealth() // no relay answered either, so the fault may be local
		}
		t.suspectUnreachable(m, p.handshakeRefused)
	}
}

// HandshakeResult tells whether a process answered a HandshakeProbe.
type HandshakeResult uint8

// The results of a HandshakeProbe.
const (
	HandshakeTimedOut HandshakeResult = iota // no valid answer arrived in time, or the connection failed without a refusal
	HandshakeAnswered                        // a process answered with its incarnation nonce
	HandshakeRefused                         // no process listens at the address
)

// HandshakeProbeDone handles the result of a HandshakeProbe. nonce is the incarnation nonce of the process that
// answered, or 0 without an answer. An answer from a process other than the probed one is ignored.
func (t *Table) HandshakeProbeDone(now int64, name string, nonce uint64, result HandshakeResult) []Action {
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
			p.handshakeRefused = true // finished keeps the probe open until relays have had time to report
		}
	}
	return t.takeActions()
}
