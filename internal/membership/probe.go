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
	life, seq       uint64
	at              int64
	askedAt         int64 // when others were asked, 0 while they were not
	acked, reached  bool  // by itself; by another
	heard, nacks    bool  // its own ping came there; a proxy said that it could not
	handshake       bool  // a handshake probe was asked for
	refused, silent bool  // of that: no process listens there; nothing came in time
	told            bool  // by a proxy that reached it
}

// ask is what another asked for.
type ask struct {
	from, target string
	seq, mine    uint64
	until        int64
}

// Tick does what is due.
func (t *Table) Tick(now int64) []Act {
	due, gap := t.NextTick(), now-t.ticked
	t.now, t.ticked = now, now
	if now-due > lateTick {
		t.heldUp(gap)
	}
	switch {
	case t.barred > 0:
		if now-t.barred > 3*joinFor {
			t.barred = 0 // nobody says any more that another holds the name
		}
		if now >= t.probeAt {
			t.probeAt = now + joinFor
			t.askPeers(2)
		}
		return t.take()
	case t.joining:
		if now-t.began > joinFor {
			t.join() // nobody is there to object
			break
		}
		if now >= t.probeAt {
			t.probeAt = now + t.Every
			t.askPeers(3)
		}
		return t.take()
	}
	t.overdue()
	if now >= t.probeAt {
		if t.probeAt += t.Every; t.probeAt < now {
			t.probeAt = now + t.Every
		}
		t.probeNext()
	}
	if now >= t.deadAt {
		t.deadAt = now + deadEvery
		t.tryDead()
	}
	t.judge()
	t.settle()
	return t.take()
}

// askPeers sends a Ping to the next few instances of the settings, and to one that is
// known: a start asks few, however many it was told of.
func (t *Table) askPeers(n int) {
	for range min(n, len(t.Peers)) {
		t.asked++
		t.seq++
		t.send(t.Peers[t.asked%len(t.Peers)].Name, Message{Kind: Ping, Seq: t.seq})
	}
}

// hurry has an instance probed next.
func (t *Table) hurry(name string) {
	if len(t.soon) < probesMost && !slices.Contains(t.soon, name) && !t.probed(name) {
		t.soon = append(t.soon, name)
	}
}

func (t *Table) probed(name string) bool {
	return slices.ContainsFunc(t.probes, func(p *probe) bool { return p.name == name })
}

// probeNext begins the next probe: one that is wanted soon, else the next of the ring, and
// of both where both wait, so that a few that are in doubt do not keep the rest from theirs.
func (t *Table) probeNext() {
	for n := 0; n < 2 && len(t.soon) > 0; n++ {
		name := t.soon[0]
		t.soon = t.soon[1:]
		if m := t.members[name]; m != nil && m.State <= Suspect && !t.probed(name) {
			t.begin(m)
			break
		}
	}
	for range 2*len(t.names) + 2 {
		if len(t.ring) == 0 {
			t.ring = slices.Clone(t.names)
			t.rng.Shuffle(len(t.ring), func(i, j int) { t.ring[i], t.ring[j] = t.ring[j], t.ring[i] })
			if len(t.ring) == 0 {
				break
			}
		}
		name := t.ring[0]
		t.ring = t.ring[1:]
		if m := t.members[name]; m != nil && m.State <= Suspect && !t.probed(name) {
			t.begin(m)
			return
		}
	}
	if t.Size() == 1 {
		t.askPeers(1)
	}
}

func (t *Table) begin(m *member) {
	if len(t.probes) >= probesMost {
		return
	}
	t.seq++
	m.lookedAt = t.now
	t.probes = append(t.probes, &probe{name: m.Name, life: m.Life, seq: t.seq, at: t.now})
	t.send(m.Name, Message{Kind: Ping, Seq: t.seq})
}

// tryDead asks one of the dead whether it lives: a cut that heals would else never show.
func (t *Table) tryDead() {
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
		t.seq++
		t.send(dead[t.rng.IntN(len(dead))], Message{Kind: Ping, Seq: t.seq})
	}
	if len(t.names)-t.live > deadMost {
		t.forget()
	}
}

// forget removes the dead or departed member that has been silent longest: one that fell
// silent lately may only be cut off, and must be tried to be found again.
func (t *Table) forget() {
	oldest := -1
	for i, name := range t.names {
		m := t.members[name]
		if m.State >= Dead && (oldest < 0 || m.contact < t.members[t.names[oldest]].contact) {
			oldest = i
		}
	}
	delete(t.members, t.names[oldest])
	t.names = slices.Delete(t.names, oldest, oldest+1)
}

// direct is how long an answer may take: longer the more this instance doubts itself, and
// for one that is known to be far.
func (t *Table) direct(m *member) int64 {
	return min(t.Whole/2, max(t.Direct, 4*m.rtt)) * int64(1+t.health)
}

// overdue looks after the probes under way.
func (t *Table) overdue() {
	var over []*probe
	t.probes = slices.DeleteFunc(t.probes, func(p *probe) bool {
		m := t.members[p.name]
		if m == nil || m.Life != p.life || m.State >= Dead {
			return true
		}
		if p.askedAt == 0 && !p.acked && t.now-p.at >= t.direct(m) {
			p.askedAt, p.handshake = t.now, true
			for _, o := range t.proxies(m) {
				t.send(o, Message{Kind: Ask, Seq: p.seq, Target: m.Name})
			}
			t.acts = append(t.acts, HandshakeProbe{Name: m.Name, Addr: t.reach(m.Name)})
		}
		done := p.acked && t.now-p.at >= t.Direct-tickEvery/2 || p.refused && t.now-p.askedAt >= t.Direct/2 ||
			t.now-p.at >= t.Whole*int64(1+t.health)
		if done {
			over = append(over, p)
		}
		return done
	})
	for _, p := range over {
		t.conclude(p, t.members[p.name])
	}
	for _, a := range t.asks {
		if t.now >= a.until {
			t.send(a.from, Message{Kind: Told, Seq: a.seq, Target: a.target})
		}
	}
	t.asks = slices.DeleteFunc(t.asks, func(a *ask) bool { return t.now >= a.until })
}

// proxies draws who is asked to reach a member: one of its zone, one of this zone, one of
// any other, so that a way round through a third zone is found where there is one.
func (t *Table) proxies(m *member) (out []string) {
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
	if o := t.members[t.through[m.Zone]]; o != nil && o != m && o.State == Alive {
		out = append(out, o.Name)
		for i := range groups {
			groups[i] = slices.DeleteFunc(groups[i], func(n string) bool { return n == o.Name })
		}
	}
	for len(out) < proxies {
		before := len(out)
		for i, g := range groups {
			if len(g) > 0 && len(out) < proxies {
				k := t.rng.IntN(len(g))
				if i == 0 { // of its zone the one that was heard last: it may be all that a cut left
					for n, name := range g {
						if t.members[name].heard > t.members[g[k]].heard {
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

// conclude is the end of a probe.
func (t *Table) conclude(p *probe, m *member) {
	switch {
	case p.acked:
		t.health = max(0, t.health-1)
		return
	case p.reached:
		// It lives; only the straight way is in doubt, in the direction that was told.
		if p.told && p.heard {
			t.fails(m, &m.in, "in", p.silent)
		} else if p.told {
			t.fails(m, &m.out, "out", p.silent)
		}
		t.hurry(m.Name)
		return
	case m.contact > p.at:
		return
	}
	if !p.nacks && len(t.names) > 2 {
		t.health = min(healthMost, t.health+1) // not even the proxies said a word
	}
	t.accuse(m, p.refused)
}

// pinged answers a Ping.
func (t *Table) pinged(m *Message, from *member) {
	if from != nil && from.Life == m.Self.Life && m.For == "" {
		from.ping = max(from.ping, m.Seq)
	}
	a := Message{Kind: Ack, Seq: m.Seq, For: m.For, ForSeq: m.ForSeq}
	if o := t.members[m.For]; o != nil {
		a.Heard = o.ping >= m.ForSeq
	}
	addr, shelves := t.reach(m.Self.Name), t.differs(m)
	if (m.Joining || from != nil && from.Life != m.Self.Life) && m.Self.Addr != addr {
		t.sendTo(m.Self.Addr, m.Self.Name, a, shelves) // it may not be the one that is known
	}
	if addr == "" {
		return
	}
	t.sendTo(addr, m.Self.Name, a, shelves)
	for range bits.OnesCount32(shelves) / 4 { // it knows little: a few pages more, and no stampede
		t.sendTo(addr, m.Self.Name, Message{Kind: Ack}, shelves)
	}
}

// differs says of which shelves the sender of a Ping believes otherwise.
func (t *Table) differs(m *Message) (shelves uint32) {
	for i, d := range m.Digests {
		if i < Shelves && d != t.digests[i] {
			shelves |= 1 << i
		}
	}
	return shelves
}

// acked takes the answer to a Ping.
func (t *Table) acked(m *Message, from *member) {
	if from == nil || from.Life != m.Self.Life {
		return
	}
	for _, p := range t.probes {
		if p.seq == m.Seq && p.name == m.Self.Name {
			p.acked = true
			took := t.now - p.at
			from.rtt = (7*from.rtt + took) / 8
			t.carries(from, &from.out)
			t.carries(from, &from.in)
		}
	}
	for i, a := range t.asks {
		if a.mine == m.Seq && a.target == m.Self.Name {
			t.asks = slices.Delete(t.asks, i, i+1)
			t.send(a.from, Message{Kind: Told, Seq: a.seq, Target: a.target, Reached: true, Heard: m.Heard})
			return
		}
	}
}

// askedFor tries to reach an instance on another's behalf.
func (t *Table) askedFor(m *Message) {
	o := t.members[m.Target]
	if o == nil || o.State >= Dead || len(t.asks) >= asksMost {
		return
	}
	t.seq++
	t.asks = append(t.asks, &ask{from: m.Self.Name, target: m.Target, seq: m.Seq, mine: t.seq, until: t.now + t.Direct})
	t.send(m.Target, Message{Kind: Ping, Seq: t.seq, For: m.Self.Name, ForSeq: m.Seq})
}

// wasTold takes what a proxy found.
func (t *Table) wasTold(m *Message) {
	for _, p := range t.probes {
		if p.seq != m.Seq || p.name != m.Target {
			continue
		}
		if p.nacks = p.nacks || !m.Reached; m.Reached {
			p.reached, p.told, p.heard = true, true, p.heard || m.Heard
			if o := t.members[m.Target]; o != nil && o.Life == p.life {
				o.contact = t.now
				t.through[o.Zone] = m.Self.Name
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
func (t *Table) HandshakeProbed(now int64, name string, life uint64, result HandshakeResult) []Act {
	t.now = now
	m := t.members[name]
	if m == nil || m.State >= Dead {
		return t.take()
	}
	for _, p := range t.probes {
		if p.name != name || !p.handshake || p.life != m.Life {
			continue
		}
		switch {
		case result == Answered && life == m.Life:
			m.contact, p.reached = now, true
		case result == Silent:
			p.silent = true
		case result == Refused:
			p.refused = true // others may reach it all the same: they have a moment to say so
		}
	}
	return t.take()
}
