package peer

// This file owns the connections that carry records to others: one for each member and
// kind, opened when there is something to send, so that much of one kind never delays
// another, and nothing delays the datagrams. What is handed over is sent, or counted as
// dropped; what was on its way when a connection ended may have come or not: whoever sends
// records has to know of that.

import (
	"errors"
	"fmt"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/peer/peerpb"
)

// Kind is what a record is.
type Kind uint32

// The kinds.
const (
	Urgent Kind = 1 + iota // what somebody waits for
	Bulk                   // whole copies
)

const (
	// recordMost bounds one record.
	recordMost = 256 << 10
	// pumpMost is written for one member and kind before others have their turn.
	pumpMost   = 256 << 10
	redialLead = 100_000
	redialMost = 2_000_000
	// idleMost is how long a connection is kept with nothing to send.
	idleMost = 30_000_000
)

// waits bounds what may wait of each kind for each member, in bytes.
var waits = map[Kind]int{Urgent: 512 << 10, Bulk: 1 << 20}

// The errors of Send.
var (
	ErrAway = errors.New("peer: not a member that is there")
	ErrFull = errors.New("peer: too much waits; there is a call when there is room")
	ErrSize = fmt.Errorf("peer: a record of over %d bytes", recordMost)
)

type lane struct {
	to   string
	kind Kind
}

// sender is one lane.
type sender struct {
	lane
	p       *Peers
	out     outbox
	c       *eventloop.Conn // nil where there is none
	life    uint64          // of the process that it goes to
	greeted bool
	wait    int64
	timer   *eventloop.Timer // for the next dial, or for an idle end
}

// OnRecord has f called with each record of a kind, on the loop; f may not keep the bytes.
func (p *Peers) OnRecord(k Kind, f func(from string, b []byte)) { p.takes[k] = f }

// OnWritable has f called where Send said ErrFull and there is room again.
func (p *Peers) OnWritable(f func(to string, k Kind)) { p.room = f }

// Send hands over a record for a member. An error means that it was not taken.
func (p *Peers) Send(to string, k Kind, b []byte) error {
	if len(b) > recordMost || waits[k] == 0 {
		return ErrSize
	}
	_, life, ok := p.table.Locate(to)
	if !ok {
		return ErrAway
	}
	s := p.lanes[lane{to, k}]
	if s == nil {
		s = &sender{lane: lane{to, k}, p: p, life: life, out: outbox{most: waits[k]}}
		p.lanes[s.lane] = s
	}
	if !s.out.push(append([]byte(nil), b...)) {
		return ErrFull
	}
	if s.c == nil && !s.timer.Pending() {
		s.dial()
	}
	s.pump()
	return nil
}

// hangUp ends the lanes to a member that is gone, or back as another process.
func (p *Peers) hangUp(name string) {
	for k := range waits {
		if s := p.lanes[lane{name, k}]; s != nil {
			s.end("the member is gone")
		}
	}
}

// end gives the lane up, and says what is lost with it.
func (s *sender) end(why string) {
	s.timer.Stop()
	n := s.out.clear()
	if s.c != nil && n > 0 {
		s.c.Abort()
	} else if s.c != nil {
		s.c.Close()
	}
	if n > 0 {
		s.p.counts.RecordsDropped += int64(n)
		s.p.log.Warn("peer records dropped", "member", s.to, "kind", uint32(s.kind), "records", n, "cause", why)
	}
	delete(s.p.lanes, s.lane)
}

func (s *sender) dial() {
	addr, life, ok := s.p.table.Locate(s.to)
	if !ok || life != s.life {
		s.end("the member is gone")
		return
	}
	c, err := s.p.l.Dial(addr, handshakeTimeout, s)
	if err != nil {
		s.later()
		return
	}
	s.c, s.greeted = c, false
}

func (s *sender) later() {
	s.c, s.greeted = nil, false
	s.wait = min(redialMost, max(redialLead, 2*s.wait))
	s.timer = s.p.l.After(s.wait, s.dial)
}

// Opened implements loop.Handler.
func (s *sender) Opened(c *eventloop.Conn) { c.Write(s.p.hello(s.kind)) }

// Closed implements loop.Handler. What waits goes out on the next connection.
func (s *sender) Closed(*eventloop.Conn, error) {
	if s.timer.Stop(); len(s.out.queue) == 0 {
		delete(s.p.lanes, s.lane)
		return
	}
	s.later()
}

// Data implements loop.Handler.
func (s *sender) Data(_ *eventloop.Conn, b []byte) (int, error) {
	m, used, err := Unframe(b)
	if err != nil || used == 0 {
		return 0, err
	}
	h, _, err := Greet(s.p.s.Cluster, m)
	if err == nil && (h.GetName() != s.to || h.GetLife() != s.life) {
		err = fmt.Errorf("%w: %s of another life answers at the address of %s", ErrForm, h.GetName(), s.to)
	}
	if err != nil {
		s.p.counts.Refused++
		s.p.warn.Warn("peer disconnected", "member", s.to, "err", err)
		return 0, err
	}
	s.greeted, s.wait = true, 0
	s.pump()
	return used, nil
}

// Drained implements loop.Drainer.
func (s *sender) Drained(*eventloop.Conn) { s.pump() }

// pump writes what waits, as long as the system takes it.
func (s *sender) pump() {
	if s.c == nil || !s.greeted {
		return
	}
	s.timer.Stop()
	for written := 0; written < pumpMost; {
		if s.c.BytesWritten() > s.c.BytesSent() && !s.c.Flush() {
			return // Drained comes
		}
		b, room := s.out.pop()
		if b == nil {
			s.timer = s.p.l.After(idleMost, func() { s.end("idle") })
			return
		}
		f, err := frame(&peerpb.Record{Data: b}, recordMost+64)
		if err != nil { // records are bounded as they come in: this can't happen
			s.p.counts.RecordsDropped++
			continue
		}
		s.p.counts.Records++
		s.c.Write(f)
		written += len(f)
		if room {
			s.p.room(s.to, s.kind)
		}
	}
	s.timer = s.p.l.After(1, s.pump) // others have their turn
}
