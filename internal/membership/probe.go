package membership

// This file owns the probes: one instance after another is asked directly, then by way of
// others, then by a handshake probe; and what is done on behalf of others.

import (
	"math/bits"
	"slices"
)

// probe is one look at one member.
type probe struct {
	name            string
	nonce, sequence       uint64
	startedAt              int64
	indirectAt         int64 // when others were asked, 0 while they were not
	acked, aliveIndirectly  bool  // by itself; by another
	directPingReceived, unreachedByRelay    bool  // its own ping came there; a proxy said that it could not
	handshakeStarted       bool  // a handshake probe was asked for
	handshakeRefused, handshakeTimedOut bool  // of that: no process listens there; nothing came in time
	reachedByRelay            bool  // by a proxy that reached it
}

// relayedProbe is what another asked for.
type relayedProbe struct {
	requester, target string
	requestSequence, sequence    uint64
	deadline        int64
}

// Tick does what is due.
func (t *Table) Tick(now int64) []Act {
	due, gap := t.NextTick(), now-t.lastTick
	t.now, t.lastTick = now, now
	if now-due > stallThreshold {
		t.recordStall(gap)
	}
	switch {
	case t.conflictAt > 0:
		if now-t.conflictAt > 3*joinTimeout {
			t.conflictAt = 0 // nobody says any more that another holds the name
		}
		if now >= t.nextProbeAt {
			t.nextProbeAt = now + joinTimeout
			t.pingPeers(2)
		}
		return t.takeActions()
	case t.joining:
		if now-t.startedAt > joinTimeout {
			t.completeJoin() // nobody is there to object
			break
		}
		if now >= t.nextProbeAt {
			t.nextProbeAt = now + t.ProbeInterval
			t.pingPeers(3)
		}
		return t.takeActions()
	}
	t.expireProbes()
	if now >= t.nextProbeAt {
		if t.nextProbeAt += t.ProbeInterval; t.nextProbeAt < now {
			t.nextProbeAt = now + t.ProbeInterval
		}
		t.probeNext()
	}
	if now >= t.nextDeadProbeAt {
		t.nextDeadProbeAt = now + deadProbeInterval
		t.probeDead()
	}
	t.judgeSuspects()
	t.settleView()
	return t.takeActions()
}

// pingPeers sends a Ping to the next few instances of the settings, and to one that is
// known: a start asks few, however many it was told of.
func (t *Table) pingPeers(n int) {
	for range min(n, len(t.Peers)) {
		t.peerCursor++
		t.sequence++
		t.sendToMember(t.Peers[t.peerCursor%len(t.Peers)].Name, Message{Kind: Ping, Sequence: t.sequence})
	}
}

// probeSoon has an instance probed next.
func (t *Table) probeSoon(name string) {
	if len(t.urgentProbes) < maxProbes && !slices.Contains(t.urgentProbes, name) && !t.probing(name) {
		t.urgentProbes = append(t.urgentProbes, name)
	}
}

func (t *Table) probing(name string) bool {
	return slices.ContainsFunc(t.probes, func(p *probe) bool { return p.name == name })
}

// probeNext begins the next probe: one that is wanted soon, else the next of the ring, and
// of both where both wait, so that a few that are in doubt do not keep the rest from theirs.
func (t *Table) probeNext() {
	for n := 0; n < 2 && len(t.urgentProbes) > 0; n++ {
		name := t.urgentProbes[0]
		t.urgentProbes = t.urgentProbes[1:]
		if m := t.members[name]; m != nil && m.State <= Suspect && !t.probing(name) {
			t.startProbe(m)
			break
		}
	}
	for range 2*len(t.names) + 2 {
		if len(t.probeOrder) == 0 {
			t.probeOrder = slices.Clone(t.names)
			t.rng.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
			if len(t.probeOrder) == 0 {
				break
			}
		}
		name := t.probeOrder[0]
		t.probeOrder = t.probeOrder[1:]
		if m := t.members[name]; m != nil && m.State <= Suspect && !t.probing(name) {
			t.startProbe(m)
			return
		}
	}
	if t.Size() == 1 {
		t.pingPeers(1)
	}
}

func (t *Table) startProbe(m *member) {
	if len(t.probes) >= maxProbes {
		return
	}
	t.sequence++
	m.probedAt = t.now
	t.probes = append(t.probes, &probe{name: m.Name, nonce: m.Life, sequence: t.sequence, startedAt: t.now})
	t.sendToMember(m.Name, Message{Kind: Ping, Sequence: t.sequence})
}

// probeDead asks one of the dead whether it lives: a cut that heals would else never show.
func (t *Table) probeDead() {
	var dead []string
	for _, name := range t.names {
		if t.members[name].State == Dead {
			dead = append(dead, name)
		}
	}
	for _, p := range t.Peers {
		if t.members[p.Name] == nil {
			dead = append(dead, p.Name)
		}
	}
	if len(dead) > 0 {
		t.sequence++
		t.sendToMember(dead[t.rng.IntN(len(dead))], Message{Kind: Ping, Sequence: t.sequence})
	}
	if len(t.names)-t.liveCount > maxDeadMembers {
		t.forgetDead()
	}
}

// forgetDead removes the dead or departed member that has been silent longest: one that fell
// silent lately may only be cut off, and must be tried to be found again.
func (t *Table) forgetDead() {
	oldest := -1
	for i, name := range t.names {
		m := t.members[name]
		if m.State >= Dead && (oldest < 0 || m.lastAliveAt < t.members[t.names[oldest]].lastAliveAt) {
			oldest = i
		}
	}
	delete(t.members, t.names[oldest])
	t.names = slices.Delete(t.names, oldest, oldest+1)
}

// directTimeout is how long an answer may take: longer the more this instance doubts itself, and
// for one that is known to be far.
func (t *Table) directTimeout(m *member) int64 {
	return min(t.ProbeTimeout/2, max(t.DirectTimeout, 4*m.rtt)) * int64(1+t.healthScore)
}

// expireProbes looks after the probes under way.
func (t *Table) expireProbes() {
	var over []*probe
	t.probes = slices.DeleteFunc(t.probes, func(p *probe) bool {
		m := t.members[p.name]
		if m == nil || m.Life != p.nonce || m.State >= Dead {
			return true
		}
		if p.indirectAt == 0 && !p.acked && t.now-p.startedAt >= t.directTimeout(m) {
			p.indirectAt, p.handshakeStarted = t.now, true
			for _, o := range t.chooseRelays(m) {
				t.sendToMember(o, Message{Kind: PingRequest, Sequence: p.sequence, Target: m.Name})
			}
			t.actions = append(t.actions, HandshakeProbe{Name: m.Name, Addr: t.addressOf(m.Name)})
		}
		done := p.acked && t.now-p.startedAt >= t.DirectTimeout-tickInterval/2 || p.handshakeRefused && t.now-p.indirectAt >= t.DirectTimeout/2 ||
			t.now-p.startedAt >= t.ProbeTimeout*int64(1+t.healthScore)
		if done {
			over = append(over, p)
		}
		return done
	})
	for _, p := range over {
		t.concludeProbe(p, t.members[p.name])
	}
	for _, a := range t.relayedProbes {
		if t.now >= a.deadline {
			t.sendToMember(a.requester, Message{Kind: PingRequestResult, Sequence: a.requestSequence, Target: a.target})
		}
	}
	t.relayedProbes = slices.DeleteFunc(t.relayedProbes, func(a *relayedProbe) bool { return t.now >= a.deadline })
}

// chooseRelays draws who is asked to reach a member: one of its zone, one of this zone, one of
// any other, so that a way round through a third zone is found where there is one.
func (t *Table) chooseRelays(m *member) (out []string) {
	var near, own, far []string
	for _, name := range t.names {
		o := t.members[name]
		if o == m || o.State != Alive {
			continue
		}
		switch o.Zone {
		case m.Zone:
			near = append(near, name)
		case t.Self.Zone:
			own = append(own, name)
		default:
			far = append(far, name)
		}
	}
	groups := [][]string{near, own, far}
	// Who got through to that zone last may be the only one who does.
	if o := t.members[t.lastRelays[m.Zone]]; o != nil && o != m && o.State == Alive {
		out = append(out, o.Name)
		for i := range groups {
			groups[i] = slices.DeleteFunc(groups[i], func(n string) bool { return n == o.Name })
		}
	}
	for len(out) < indirectProbeCount {
		before := len(out)
		for i, g := range groups {
			if len(g) > 0 && len(out) < indirectProbeCount {
				k := t.rng.IntN(len(g))
				if i == 0 { // of its zone the one that was heard last: it may be all that a cut left
					for n, name := range g {
						if t.members[name].lastDatagramAt > t.members[g[k]].lastDatagramAt {
							k = n
						}
					}
				}
				out = append(out, g[k])
				groups[i] = slices.Delete(g, k, k+1)
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}

// concludeProbe is the end of a probe.
func (t *Table) concludeProbe(p *probe, m *member) {
	switch {
	case p.acked:
		t.healthScore = max(0, t.healthScore-1)
		return
	case p.aliveIndirectly:
		// It lives; only the straight way is in doubt, in the direction that was told.
		if p.reachedByRelay && p.directPingReceived {
			t.pathFailed(m, &m.inbound, "in", p.handshakeTimedOut)
		} else if p.reachedByRelay {
			t.pathFailed(m, &m.outbound, "out", p.handshakeTimedOut)
		}
		t.probeSoon(m.Name)
		return
	case m.lastAliveAt > p.startedAt:
		return
	}
	if !p.unreachedByRelay && len(t.names) > 2 {
		t.healthScore = min(maxHealthScore, t.healthScore+1) // not even the proxies said a word
	}
	t.suspectUnreachable(m, p.handshakeRefused)
}

// receivePing answers a Ping.
func (t *Table) receivePing(m *Message, from *member) {
	if from != nil && from.Life == m.Sender.Life && m.OnBehalfOf == "" {
		from.lastPingSequence = max(from.lastPingSequence, m.Sequence)
	}
	a := Message{Kind: Ack, Sequence: m.Sequence, OnBehalfOf: m.OnBehalfOf, OnBehalfOfSequence: m.OnBehalfOfSequence}
	if o := t.members[m.OnBehalfOf]; o != nil {
		a.DirectPingReceived = o.lastPingSequence >= m.OnBehalfOfSequence
	}
	addr, shelves := t.addressOf(m.Sender.Name), t.differingBuckets(m)
	if (m.Joining || from != nil && from.Life != m.Sender.Life) && m.Sender.Addr != addr {
		t.sendToAddress(m.Sender.Addr, m.Sender.Name, a, shelves) // it may not be the one that is known
	}
	if addr == "" {
		return
	}
	t.sendToAddress(addr, m.Sender.Name, a, shelves)
	for range bits.OnesCount32(shelves) / 4 { // it knows little: a few pages more, and no stampede
		t.sendToAddress(addr, m.Sender.Name, Message{Kind: Ack}, shelves)
	}
}

// differingBuckets says of which shelves the sender of a Ping believes otherwise.
func (t *Table) differingBuckets(m *Message) (shelves uint32) {
	for i, d := range m.Digests {
		if i < DigestBuckets && d != t.digests[i] {
			shelves |= 1 << i
		}
	}
	return shelves
}

// receiveAck takes the answer to a Ping.
func (t *Table) receiveAck(m *Message, from *member) {
	if from == nil || from.Life != m.Sender.Life {
		return
	}
	for _, p := range t.probes {
		if p.sequence == m.Sequence && p.name == m.Sender.Name {
			p.acked = true
			took := t.now - p.startedAt
			from.rtt = (7*from.rtt + took) / 8
			t.pathWorks(from, &from.outbound)
			t.pathWorks(from, &from.inbound)
		}
	}
	for i, a := range t.relayedProbes {
		if a.sequence == m.Sequence && a.target == m.Sender.Name {
			t.relayedProbes = slices.Delete(t.relayedProbes, i, i+1)
			t.sendToMember(a.requester, Message{Kind: PingRequestResult, Sequence: a.requestSequence, Target: a.target, Reached: true, DirectPingReceived: m.DirectPingReceived})
			return
		}
	}
}

// receivePingRequest tries to reach an instance on another's behalf.
func (t *Table) receivePingRequest(m *Message) {
	o := t.members[m.Target]
	if o == nil || o.State >= Dead || len(t.relayedProbes) >= maxRelayedProbes {
		return
	}
	t.sequence++
	t.relayedProbes = append(t.relayedProbes, &relayedProbe{requester: m.Sender.Name, target: m.Target, requestSequence: m.Sequence, sequence: t.sequence, deadline: t.now + t.DirectTimeout})
	t.sendToMember(m.Target, Message{Kind: Ping, Sequence: t.sequence, OnBehalfOf: m.Sender.Name, OnBehalfOfSequence: m.Sequence})
}

// receivePingRequestResult takes what a proxy found.
func (t *Table) receivePingRequestResult(m *Message) {
	for _, p := range t.probes {
		if p.sequence != m.Sequence || p.name != m.Target {
			continue
		}
		if p.unreachedByRelay = p.unreachedByRelay || !m.Reached; m.Reached {
			p.aliveIndirectly, p.reachedByRelay, p.directPingReceived = true, true, p.directPingReceived || m.DirectPingReceived
			if o := t.members[m.Target]; o != nil && o.Life == p.nonce {
				o.lastAliveAt = t.now
				t.lastRelays[o.Zone] = m.Sender.Name
			}
		}
	}
}

// HandshakeResult is the outcome of a HandshakeProbe.
type HandshakeResult uint8

// The outcomes.
const (
	Silent   HandshakeResult = iota // nothing came in time
	Answered                        // the process greeted, with this life
	Refused                         // no process listens there
)

// HandshakeProbed takes the outcome of a HandshakeProbe, and the life of the process that
// greeted.
func (t *Table) HandshakeProbed(now int64, name string, nonce uint64, result HandshakeResult) []Act {
	t.now = now
	m := t.members[name]
	if m == nil || m.State >= Dead {
		return t.takeActions()
	}
	for _, p := range t.probes {
		if p.name != name || !p.handshakeStarted || p.nonce != m.Life {
			continue
		}
		switch {
		case result == Answered && nonce == m.Life:
			m.lastAliveAt, p.aliveIndirectly = now, true
		case result == Silent:
			p.handshakeTimedOut = true
		case result == Refused:
			p.handshakeRefused = true // others may reach it all the same: they have a moment to say so
		}
	}
	return t.takeActions()
}
