// Package peer owns the sockets between orchestrators, on the one event loop: datagrams for the membership
// table, handshake probes, and streams of records. What comes it hands to the pure table (package
// membership), and does what the table wants done. It must never decide who is alive, never block, and never
// let an invalid message reach the table: a peer that sends one is disconnected with one log line.
//
// The loop owns the sockets and timers, and ends them with itself.
package peer

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/membership"
	"ravenhitch/internal/ratelog"
)

// Units of time on the loop.
const (
	millisecond = 1_000
	second      = 1_000 * millisecond
)

// maxPorts is how many ports are tried where any will do.
const maxPorts = 16

// Settings say who this orchestrator is among the others.
type Settings struct {
	Listen, Cluster, Name, Zone string
	Members                     []membership.Peer // who are pinged first
	Incarnation                 uint64            // of this start, greater than any before that is known of
}

// Counts are what passed between this orchestrator and the others.
type Counts struct {
	Sent, SentBytes, Received, ReceivedBytes     int64 // datagrams
	Lost                                         int64 // datagrams that could not be sent
	Refused                                      int64 // invalid messages
	HandshakeProbes                              int64
	RecordsSent, RecordsReceived, RecordsDropped int64 // dropped: lost before they were sent
}

// Peers joins the table with its sockets. All its methods belong on the loop.
type Peers struct {
	loop           *eventloop.Loop
	settings       Settings
	log            *slog.Logger
	rateLimitedLog *ratelog.Logger
	socket         *eventloop.PacketConn
	counts         Counts
	nonce          uint64 // the incarnation nonce of this process

	table        *membership.Table
	tickTimer    *eventloop.Timer
	tickAt       int64
	onView       func([]membership.Member) // or nil
	reportedView int64                     // number of the view that onView was called with last

	pendingInbound  int // inbound connections that have not announced records
	inboundStreams  map[streamKey]*inboundConn
	outboundStreams map[streamKey]*outboundStream
	recordHandlers  map[RecordKind]func(from string, record []byte)
	onWritable      func(to string, kind RecordKind)
}

// New opens the sockets. The table begins to ping with the first turn of the loop.
func New(loop *eventloop.Loop, settings Settings, log *slog.Logger) (*Peers, error) {
	p := &Peers{
		loop:            loop,
		settings:        settings,
		log:             log,
		rateLimitedLog:  ratelog.New(log),
		nonce:           rand.Uint64(),
		inboundStreams:  map[streamKey]*inboundConn{},
		outboundStreams: map[streamKey]*outboundStream{},
		recordHandlers:  map[RecordKind]func(string, []byte){},
		onWritable:      func(string, RecordKind) {},
	}
	address, err := p.listen()
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	p.settings.Listen = address
	p.table = membership.New(loop.Now(), membership.Config{
		Self: membership.Update{Name: settings.Name, Zone: settings.Zone, Addr: address, Nonce: p.nonce,
			Incarnation: settings.Incarnation},
		Peers: settings.Members,
		Seed:  rand.Uint64(),
	})
	p.tick()
	return p, nil
}

// listen takes connections and datagrams at one port. Where any port will do, the one that the system gives for
// connections may be in use for datagrams: then another is asked for.
func (p *Peers) listen() (address string, err error) {
	anyPort := strings.HasSuffix(p.settings.Listen, ":0")
	admission := eventloop.AdmissionFunc(func() bool { return p.pendingInbound < maxPendingInbound })
	handler := func() eventloop.Handler { return &inboundConn{peers: p} }
	for range maxPorts {
		address, err = p.loop.Listen(p.settings.Listen, admission, handler)
		if err != nil {
			return "", err
		}
		p.socket, err = p.loop.ListenPacket(address, p.receive)
		if err == nil {
			return address, nil
		}
		p.loop.Unlisten(address)
		if !anyPort || !errors.Is(err, unix.EADDRINUSE) {
			break
		}
	}
	return "", err
}

// Addr is where others reach this orchestrator.
func (p *Peers) Addr() string { return p.settings.Listen }

// Leave tells the others that this orchestrator leaves on purpose.
func (p *Peers) Leave() { p.perform(p.table.Leave(p.loop.Now())) }

// Counts returns what passed so far.
func (p *Peers) Counts() Counts { return p.counts }
