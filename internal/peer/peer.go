// Package peer owns the sockets between orchestrators, on the one loop: datagrams for the
// table of members, connections that greet each other. What it hears it hands to the pure
// table (package membership), and does what that wants done. It must never decide who is
// alive, never wait, and never let a peer's nonsense reach the table: one who sends it is
// cut off with one line.
package peer

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/membership"
	"ravenhitch/internal/peer/peerpb"
	"ravenhitch/internal/ratelog"
)

// Settings say who this orchestrator is among the others.
type Settings struct {
	Listen, Cluster, Name, Zone string
	Members                     []membership.Peer // that are asked first
	Incarnation                 uint64            // this start's, greater than any before that is known of
}

const (
	// handshakeTimeout is how long a connection opened here may take until both sides greeted.
	handshakeTimeout = 300_000
	// greetingTimeout is how long an inbound connection may take to greet.
	greetingTimeout = 2_000_000
	// maxInbound bounds the inbound connections that have not announced records.
	maxInbound = 32
	// maxPorts is how many ports are tried where any will do.
	maxPorts = 16
)

// Counts are what passed between this orchestrator and the others.
type Counts struct {
	Sent, SentBytes, Received, ReceivedBytes, Lost, Refused int64
	HandshakeProbes                                         int64
	Records, RecordsTaken, RecordsDropped                   int64
}

// Peers joins the table with its sockets.
type Peers struct {
	l      *eventloop.Loop
	s      Settings
	log    *slog.Logger
	warn   *ratelog.Logger
	table  *membership.Table
	socket *eventloop.PacketConn
	counts Counts
	// inboundCount is how many inbound connections have not announced records.
	inboundCount int
	life         uint64
	lanes        map[lane]*sender
	// carriers are the connections by which others send records.
	carriers map[lane]*inboundConn
	takes    map[Kind]func(from string, b []byte)
	room     func(to string, k Kind)
	timer    *eventloop.Timer          // the next turn
	due      int64                     // when that is
	viewed   func([]membership.Member) // or nil
	view     int64                     // number of the view that was told last
}

// New opens the sockets. The table begins to ask with the first turn.
func New(l *eventloop.Loop, s Settings, log *slog.Logger) (*Peers, error) {
	p := &Peers{l: l, s: s, log: log, warn: ratelog.New(log), life: rand.Uint64(),
		lanes: map[lane]*sender{}, carriers: map[lane]*inboundConn{}, takes: map[Kind]func(string, []byte){}, room: func(string, Kind) {}}
	addr, err := p.listen()
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	p.s.Listen = addr
	p.table = membership.New(l.Now(), membership.Config{Self: membership.Update{Name: s.Name, Zone: s.Zone, Addr: addr, Life: p.life,
		Incarnation: s.Incarnation}, Peers: s.Members, Seed: rand.Uint64()})
	p.turn()
	return p, nil
}

// listen takes connections and datagrams at one port. Where any port will do, the one that
// the system gives for connections may be in use for datagrams: then another is asked for.
func (p *Peers) listen() (addr string, err error) {
	for range maxPorts {
		addr, err = p.l.Listen(p.s.Listen, func() bool { return p.inboundCount < maxInbound }, func() eventloop.Handler { return &inboundConn{peers: p} })
		if err != nil {
			return "", err
		}
		if p.socket, err = p.l.ListenPacket(addr, p.take); err == nil {
			return addr, nil
		}
		p.l.Unlisten(addr)
		if !strings.HasSuffix(p.s.Listen, ":0") || !errors.Is(err, unix.EADDRINUSE) {
			break
		}
	}
	return "", err
}

// Addr is where others reach this one.
func (p *Peers) Addr() string { return p.s.Listen }

// turn has the table do what is due, and comes again.
func (p *Peers) turn() { p.do(p.table.Tick(p.l.Now())) }

// schedule has the next turn come when the table wants it.
func (p *Peers) schedule() {
	at := max(p.table.NextTick(), p.l.Now()+1)
	if p.timer.Pending() && p.due <= at {
		return
	}
	p.timer.Stop()
	p.timer, p.due = p.l.At(at, p.turn), at
}

// take hands a datagram to the table.
func (p *Peers) take(b []byte) {
	p.counts.Received++
	p.counts.ReceivedBytes += int64(len(b))
	m, err := Decode(p.s.Cluster, b)
	if err != nil {
		p.counts.Refused++
		p.warn.Warn("invalid peer datagram", "err", err)
		return
	}
	p.do(p.table.Receive(p.l.Now(), m))
}

// do carries out what the table wants, and says what it found.
func (p *Peers) do(acts []membership.Act) {
	for _, a := range acts {
		switch a := a.(type) {
		case membership.Send:
			b, err := Encode(p.s.Cluster, &a.Message)
			if err == nil {
				err = p.socket.Send(a.Addr, b)
			}
			if err != nil {
				p.counts.Lost++
				p.warn.Warn("peer datagram lost", "to", a.Message.To, "err", err)
				continue
			}
			p.counts.Sent++
			p.counts.SentBytes += int64(len(b))
		case membership.HandshakeProbe:
			p.probe(a)
		}
	}
	for _, e := range p.table.Events() {
		if e.Kind == membership.Died || e.Kind == membership.LeftCluster || e.Kind == membership.Rejoined {
			p.hangUp(e.Name)
		}
		p.log.Info("membership", "event", e.Kind.String(), "member", e.Name, "zone", e.Zone, "evidence", e.Evidence)
	}
	p.tellView()
	p.schedule()
}

// OnView names what is told the members of each stable view from now on, on the loop.
func (p *Peers) OnView(f func([]membership.Member)) {
	p.viewed = f
	p.tellView()
}

// tellView tells a view that is new.
func (p *Peers) tellView() {
	v := p.table.View()
	if p.viewed == nil || v.Number == p.view {
		return
	}
	p.view = v.Number
	p.viewed(slices.DeleteFunc(p.table.Members(), func(m membership.Member) bool { return !slices.Contains(v.Names, m.Name) }))
}

// Leave tells the others that this one goes on purpose.
func (p *Peers) Leave() { p.do(p.table.Leave(p.l.Now())) }

// Counts returns what passed so far.
func (p *Peers) Counts() Counts { return p.counts }

// hello greets, and says which records follow.
func (p *Peers) hello(k Kind) []byte {
	b, err := Frame(&peerpb.Hello{Cluster: p.s.Cluster, Name: p.s.Name, Life: p.life, Lowest: Lowest, Highest: Highest, Kind: uint32(k)})
	if err != nil { // names are bounded by the settings: this can't happen
		p.log.Error("peer hello not encoded", "err", err)
	}
	return b
}

// probe tries whether a process listens, and which one greets.
func (p *Peers) probe(a membership.HandshakeProbe) {
	p.counts.HandshakeProbes++
	h := &handshakeProbe{peers: p, name: a.Name}
	c, err := p.l.Dial(a.Addr, handshakeTimeout, h)
	if err != nil {
		p.probed(a.Name, 0, err)
		return
	}
	h.timer = p.l.After(handshakeTimeout, func() {
		c.Close()
		p.probed(a.Name, 0, eventloop.ErrTimeout)
	})
}

// probed hands the outcome to the table: a refusal comes from the system of the other
// machine, and all else that is no greeting is silence.
func (p *Peers) probed(name string, life uint64, err error) {
	result := membership.Answered
	switch {
	case errors.Is(err, unix.ECONNREFUSED):
		result = membership.Refused
	case err != nil:
		result = membership.Silent
	}
	p.do(p.table.HandshakeProbed(p.l.Now(), name, life, result))
}

// handshakeProbe is a connection that this orchestrator opened to see who greets.
type handshakeProbe struct {
	peers *Peers
	name  string
	timer *eventloop.Timer
}

// Opened implements loop.Handler.
func (h *handshakeProbe) Opened(c *eventloop.Conn) { c.Write(h.peers.hello(0)) }

// Closed implements loop.Handler.
func (h *handshakeProbe) Closed(_ *eventloop.Conn, err error) {
	h.timer.Stop()
	h.peers.probed(h.name, 0, err)
}

// Data implements loop.Handler.
func (h *handshakeProbe) Data(c *eventloop.Conn, b []byte) (int, error) {
	m, used, err := Unframe(b)
	if err != nil || used == 0 {
		return 0, err
	}
	hello, _, err := Greet(h.peers.s.Cluster, m)
	if err == nil && hello.GetName() != h.name {
		err = fmt.Errorf("%w: %s answers at the address of %s", ErrForm, hello.GetName(), h.name)
	}
	if err != nil {
		h.peers.counts.Refused++
		h.peers.warn.Warn("peer disconnected", "member", h.name, "err", err)
		return 0, err
	}
	h.timer.Stop()
	c.Close()
	h.peers.probed(h.name, hello.GetLife(), nil)
	return used, nil
}
