// Package peer connects orchestrators with each other. It opens the sockets between them, all on one event loop: a
// datagram socket for the membership table, connections for handshake probes, and streams of records. It passes
// received datagrams and the results of handshake probes to the membership table (package membership, which does no
// I/O), and carries out the actions that the table returns. It passes received records to the handlers of their kinds.
//
// Package peer must never decide which members are alive, never block the event loop, and never let an invalid message
// reach the table. An invalid datagram is dropped, and a connection that carries an invalid message is closed. Each of
// these events is logged in one line, at a limited rate, except an invalid frame on a connection that this orchestrator
// opened.
//
// The sockets and timers are registered with the event loop. Closing the loop closes the sockets, and no timer
// fires afterwards.
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

// Units of time in microseconds, the unit of the event loop.
const (
	millisecond = 1_000
	second      = 1_000 * millisecond
)

// maxPorts is the maximum number of ports that are tried if the settings let the system choose the port.
const maxPorts = 16

// Settings identify this orchestrator in the cluster. Listen is the address for datagrams and connections of other
// orchestrators; with port 0, the system chooses the port.
type Settings struct {
	Listen, Cluster, Name, Zone string
	Members                     []membership.Peer // members that this orchestrator pings to join or rejoin the cluster
	Incarnation                 uint64            // first incarnation of this process, see NextIncarnation
}

// Counts holds the number of messages exchanged with other orchestrators since the start.
type Counts struct {
	Sent, SentBytes, Received, ReceivedBytes     int64 // numbers of datagrams, and their total sizes
	Lost                                         int64 // datagrams that could not be sent
	Refused                                      int64 // invalid datagrams, hellos, records and inbound frames
	HandshakeProbes                              int64
	RecordsSent, RecordsReceived, RecordsDropped int64 // RecordsDropped: accepted by Send, but never sent
}

// Peers connects the membership table with its sockets. All its methods must be called on the event loop.
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
	tickAt       int64                     // time at which tickTimer fires, in microseconds
	onView       func([]membership.Member) // nil until OnView is called
	reportedView int64                     // number of the view that onView was last called with

	pendingInbound  int // number of inbound connections that have not announced records
	inboundStreams  map[streamKey]*inboundConn
	outboundStreams map[streamKey]*outboundStream
	recordHandlers  map[RecordKind]func(from string, record []byte)
	onWritable      func(to string, kind RecordKind)
}

// New opens the sockets and starts the membership table, which sends pings while the event loop runs.
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

// listen opens one port for both connections and datagrams, and returns its address. If the settings leave the port
// to the system, the port that the system chooses for connections may be in use for datagrams. listen then asks
// the system for another port, and tries at most maxPorts ports in total.
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

// Addr returns the address that this orchestrator listens on and announces to the others.
func (p *Peers) Addr() string { return p.settings.Listen }

// Leave announces to other members that this orchestrator leaves the cluster on purpose.
func (p *Peers) Leave() { p.perform(p.table.Leave(p.loop.Now())) }

// Counts returns the counts since the start.
func (p *Peers) Counts() Counts { return p.counts }
