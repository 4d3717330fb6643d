package membership

// This file owns indirect probes, on both sides: who is asked to ping a member that does not answer, and
// what is pinged here on behalf of others.

import "slices"

// relayedProbe is a ping on behalf of another member.
type relayedProbe struct {
	requester, target         string
	requestSequence, sequence uint64 // of the requester's ping request; of the ping that serves it
	deadline                  int64
}

// probeIndirectly asks other members to ping one that did not answer, and for a handshake with it.
func (t *Table) probeIndirectly(p *probe, m *member) {
	p.indirectAt, p.handshakeStarted = t.now, true
	for _, relay := range t.chooseRelays(m) {
		t.sendToMember(relay, Message{Kind: PingRequest, Sequence: p.sequence, Target: m.Name})
	}
	t.actions = append(t.actions, HandshakeProbe{Name: m.Name, Addr: t.addressOf(m.Name)})
}

// The groups that relays are drawn from, in this order.
const (
	targetZone = iota
	localZone
	otherZones
	relayGroups
)

// chooseRelays draws who is asked to ping a member: one of its zone, one of the local zone, one of any
// other, so that a path through a third zone is found where there is one.
func (t *Table) chooseRelays(m *member) (relays []string) {
	groups := t.relayCandidates(m)
	// Who last got through to that zone may be the only one who does.
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

// relayCandidates are the members that may be asked to ping one, by group.
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

// drawRelay draws a relay, by its index. Of the target's zone it is the one whose datagram came last: it may
// be all that a partition left.
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

// receivePingRequest pings a member on behalf of another.
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

// answerRelayedProbe tells the requester that the target acked the ping on its behalf.
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

// expireRelayedProbes tells the requesters which targets did not ack in time.
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

// receivePingRequestResult takes what a relay found.
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
