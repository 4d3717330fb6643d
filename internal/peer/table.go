package peer

// This file drives the membership table. It passes the time and received datagrams to the table, carries out the
// actions that the table returns, and reports the table's events and views.

import (
	"slices"

	"ravenhitch/internal/membership"
)

// tick runs the next step of the table, which sends probes, handles timeouts and rebuilds the stable view.
func (p *Peers) tick() { p.perform(p.table.Tick(p.loop.Now())) }

// scheduleTick sets the timer for the next tick to the time that the table requests, unless the timer is already set
// to an earlier time.
func (p *Peers) scheduleTick() {
	at := max(p.table.NextTick(), p.loop.Now()+1)
	if p.tickTimer.Pending() && p.tickAt <= at {
		return
	}
	p.tickTimer.Stop()
	p.tickTimer, p.tickAt = p.loop.At(at, p.tick), at
}

// receive decodes a datagram and passes it to the table. An invalid datagram is counted, logged and dropped.
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

// perform carries out the actions that the table returned, reports its events and view, and schedules the next tick.
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

// send sends a datagram. If that fails, send counts the datagram as lost and logs the error.
func (p *Peers) send(s *membership.Send) {
	b, err := Encode(p.settings.Cluster, &s.Message)
	if err == nil {
		err = p.socket.Send(s.Addr, b)
	}
	if err != nil {
		p.counts.Lost++
		p.rateLimitedLog.Warn("peer datagram not sent", "to", s.Message.To, "err", err)
		return
	}
	p.counts.Sent++
	p.counts.SentBytes += int64(len(b))
}

// reportEvents logs the events of the table. It ends the streams to members that died, left or restarted.
func (p *Peers) reportEvents() {
	for _, e := range p.table.Events() {
		switch e.Kind {
		case membership.Died, membership.LeftCluster, membership.Rejoined:
			p.endStreams(e.Name)
		}
		p.log.Info("membership", "event", e.Kind.String(), "member", e.Name, "zone", e.Zone, "evidence", e.Evidence)
	}
}

// OnView registers notify. Before OnView returns, it calls notify with the members of the current stable view, which
// may be empty. Later, notify is called on the event loop with the members of each new view.
func (p *Peers) OnView(notify func([]membership.Member)) {
	p.onView = notify
	p.reportView()
}

// reportView calls the handler set by OnView if the stable view has changed since the last call of the handler.
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
