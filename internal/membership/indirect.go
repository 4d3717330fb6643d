package membership

// This file implements both sides of indirect probes: asking relays to ping a member that does not answer, and
// relaying pings on behalf of other members.

import "slices"

// relayedProbe is a ping that the local member sends on behalf of another member.
type relayedProbe struct {
	requester, target         string
	requestSequence, sequence uint64 // sequence numbers of the requester's ping request and of the relayed ping
	deadline                  int64  // time at which the requester is told that no ack arrived
}

// probeIndirectly asks relays to ping a member that did not answer, and requests a handshake probe of the member.
func (t *Table) probeIndirectly(p *probe, m *member) {
	p.indirectAt, p.handshakeStarted = t.now, true
	for _, relay := range t.chooseRelays(m) {
		t.sendToMember(relay, Message{Kind: PingRequest, Sequence: p.sequence, Target: m.Name})
	}
	t.actions = append(t.actions, HandshakeProbe{Name: m.Name, Addr: t.addressOf(m.Name)})
}

// The groups of relays, by the zone of the relay. Relays are drawn from the groups in this order.
const (
	targetZone = iota
	localZone
	otherZones
	relayGroups
)

// chooseRelays returns up to indirectProbeCount relays to be asked to ping a member. The first is the relay that last
// reached the member's zone, if it is alive. The others are drawn from the groups in turn, so that paths through the
// member's zone, the local zone and a third zone can be found. A group without candidates is skipped.
func (t *Table) chooseRelays(m *member) (relays []string) {
	groups := t.relayCandidates(m)
	// The last relay that reached the member's zone comes first, because it may be the only relay that can reach the
	// zone.
	if last := t.members[t.lastRelays[m.Zone]]; last != nil && last != m && last.State == Alive {
		relays = append(relays, last.Name)
		for i := range groups {
			groups[i] = slices.DeleteFunc(groups[i], func(name string) bool { return name == last.Name })
		}
	}
	for {
		before := len(relays)
		for i := range groups {
			if len(relays) == indirectProbeCount {
				return relays
			}
			if len(groups[i]) > 0 {
				drawn := t.drawRelay(groups[i], i)
				relays = append(relays, groups[i][drawn])
				groups[i] = slices.Delete(groups[i], drawn, drawn+1)
			}
		}
		if len(relays) == before {
			return relays
		}
	}
}

// relayCandidates returns, by group, the alive members that may be asked to ping a member.
func (t *Table) relayCandidates(m *member) (groups [relayGroups][]string) {
	for _, name := range t.names {
		candidate := t.members[name]
		if candidate == m || candidate.State != Alive {
			continue
		}
		group := otherZones
		switch candidate.Zone {
		case m.Zone:
			group = targetZone
		case t.Self.Zone:
			group = localZone
		}
		groups[group] = append(groups[group], name)
	}
	return groups
}

// drawRelay draws a relay and returns its index. From the group in the target's zone it selects the candidate whose
// last datagram arrived most recently. In a partition, this may be the only candidate that is still reachable.
func (t *Table) drawRelay(candidates []string, group int) int {
	drawn := t.rng.IntN(len(candidates))
	if group != targetZone {
		return drawn
	}
	for i, name := range candidates {
		if t.members[name].lastDatagramAt > t.members[candidates[drawn]].lastDatagramAt {
			drawn = i
		}
	}
	return drawn
}

// receivePingRequest pings the target on behalf of the sender. It ignores the request if the target is unknown, dead
// or departed, or if too many relayed probes are in flight.
func (t *Table) receivePingRequest(m *Message) {
	target := t.members[m.Target]
	if target == nil || target.State >= Dead || len(t.relayedProbes) >= maxRelayedProbes {
		return
	}
	t.sequence++
	t.relayedProbes = append(t.relayedProbes, &relayedProbe{
		requester:       m.Sender.Name,
		target:          m.Target,
		requestSequence: m.Sequence,
		sequence:        t.sequence,
		deadline:        t.now + t.DirectTimeout,
	})
	t.sendToMember(m.Target, Message{
		Kind:               Ping,
		Sequence:           t.sequence,
		OnBehalfOf:         m.Sender.Name,
		OnBehalfOfSequence: m.Sequence,
	})
}

// answerRelayedProbe reports to the requester that the target acked the relayed ping. It ignores an ack that belongs
// to no relayed ping.
func (t *Table) answerRelayedProbe(ack *Message) {
	i := slices.IndexFunc(t.relayedProbes, func(r *relayedProbe) bool {
		return r.sequence == ack.Sequence && r.target == ack.Sender.Name
	})
	if i < 0 {
		return
	}
	relayed := t.relayedProbes[i]
	t.relayedProbes = slices.Delete(t.relayedProbes, i, i+1)
	t.sendToMember(relayed.requester, Message{
		Kind:               PingRequestResult,
		Sequence:           relayed.requestSequence,
		Target:             relayed.target,
		Reached:            true,
		DirectPingReceived: ack.DirectPingReceived,
	})
}

// expireRelayedProbes drops the relayed probes whose targets did not ack in time, and reports each of them to its
// requester.
func (t *Table) expireRelayedProbes() {
	for _, relayed := range t.relayedProbes {
		if t.now >= relayed.deadline {
			t.sendToMember(relayed.requester, Message{
				Kind:     PingRequestResult,
				Sequence: relayed.requestSequence,
				Target:   relayed.target,
			})
		}
	}
	t.relayedProbes = slices.DeleteFunc(t.relayedProbes, func(r *relayedProbe) bool { return t.now >= r.deadline })
}

// receivePingRequestResult records the result of a ping that a relay sent for a local probe.
func (t *Table) receivePingRequestResult(m *Message) {
	for _, p := range t.probes {
		if p.sequence != m.Sequence || p.name != m.Target {
			continue
		}
		if !m.Reached {
			p.unreachedByRelay = true
			continue
		}
		p.aliveIndirectly, p.reachedByRelay = true, true
		p.directPingReceived = p.directPingReceived || m.DirectPingReceived
		if target := t.members[m.Target]; target != nil && target.Nonce == p.nonce {
			target.lastAliveAt = t.now
			t.lastRelays[target.Zone] = m.Sender.Name
		}
	}
}
