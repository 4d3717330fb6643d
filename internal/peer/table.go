package peer

// This file drives the membership table: it hands the time and datagrams to the table, carries out the actions
// of the table, and reports events and views.

import (
	"slices"

	"ravenhitch/internal/membership"
)

// tick has the table run its next step: probes, timeouts, a view that has settled.
func (p *Peers) tick() { p.perform(p.table.Tick(p.loop.Now())) }

// scheduleTick has the next tick come when the table wants it.
func (p *Peers) scheduleTick() {
	at := max(p.table.NextTick(), p.loop.Now()+1)
	if p.tickTimer.Pending() && p.tickAt <= at {
		return
	}
	p.tickTimer.Stop()
	p.tickTimer, p.tickAt = p.loop.At(at, p.tick), at
}

// receive hands a datagram to the table.
func (p *Peers) receive(b []byte) {
	p.counts.Received++
	p.counts.ReceivedBytes += int64(len(b))
	m, err := Decode(p.settings.Cluster, b)
	if err != nil {
		p.counts.Refused++
		p.rateLimitedLog.Warn("invalid peer datagram", "err", err)
		return
	}
	p.perform(p.table.Receive(p.loop.Now(), m))
}

// perform carries out what the table wants done, and reports what it found.
func (p *Peers) perform(actions []membership.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case membership.Send:
			p.send(&action)
		case membership.HandshakeProbe:
			p.startHandshakeProbe(action.Addr, action.Name)
		}
	}
	p.reportEvents()
	p.reportView()
	p.scheduleTick()
}

// send sends a datagram, or counts it as lost.
func (p *Peers) send(s *membership.Send) {
	b, err := Encode(p.settings.Cluster, &s.Message)
	if err == nil {
		err = p.socket.Send(s.Addr, b)
	}
	if err != nil {
		p.counts.Lost++
		p.rateLimitedLog.Warn("peer datagram lost", "to", s.Message.To, "err", err)
		return
	}
	p.counts.Sent++
	p.counts.SentBytes += int64(len(b))
}

// reportEvents logs the events of the table, and ends the streams to members that are gone.
func (p *Peers) reportEvents() {
	for _, e := range p.table.Events() {
		switch e.Kind {
		case membership.Died, membership.LeftCluster, membership.Rejoined:
			p.endStreams(e.Name)
		}
		p.log.Info("membership", "event", e.Kind.String(), "member", e.Name, "zone", e.Zone, "evidence", e.Evidence)
	}
}

// OnView has notify called with the members of each stable view from now on, on the loop.
func (p *Peers) OnView(notify func([]membership.Member)) {
	p.onView = notify
	p.reportView()
}

// reportView reports a view that is new.
func (p *Peers) reportView() {
	view := p.table.View()
	if p.onView == nil || view.Number == p.reportedView {
		return
	}
	p.reportedView = view.Number
	p.onView(slices.DeleteFunc(p.table.Members(), func(m membership.Member) bool {
		return !slices.Contains(view.Names, m.Name)
	}))
}
