package peer

// This file owns the inbound connections: a greeting each, and the records that follow on
// some. It must never take a record from a peer that the table does not know by that name
// and life.

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/peer/peerpb"
)

// inboundConn is a connection that another orchestrator opened.
type inboundConn struct {
	peers *Peers
	timer *eventloop.Timer // ends the connection unless it greets in time
	conn  *eventloop.Conn
	from  string
	kind  Kind // of the records that come; 0 before the greeting, and where none do
}

// Opened implements loop.Handler.
func (in *inboundConn) Opened(conn *eventloop.Conn) {
	in.conn = conn
	in.peers.inboundCount++
	in.timer = in.peers.l.After(greetingTimeout, func() {
		in.release()
		conn.Close()
	})
}

// release gives back what the connection counts against: the limit of inbound connections,
// or its lane.
func (in *inboundConn) release() {
	if in.kind == 0 {
		in.timer.Stop()
		in.peers.inboundCount--
	} else if l := (lane{in.from, in.kind}); in.peers.carriers[l] == in {
		delete(in.peers.carriers, l)
	}
}

// carry makes it the one connection of its lane: the peer that opened an earlier one has
// given that up. It no longer counts against the limit of inbound connections, so that many
// lanes keep no other peer from connecting.
func (in *inboundConn) carry(from string, k Kind) {
	in.release()
	in.from, in.kind = from, k
	if old := in.peers.carriers[lane{from, k}]; old != nil {
		old.conn.Close()
	}
	in.peers.carriers[lane{from, k}] = in
}

// Closed implements loop.Handler.
func (in *inboundConn) Closed(*eventloop.Conn, error) { in.release() }

// Data implements loop.Handler.
func (in *inboundConn) Data(conn *eventloop.Conn, b []byte) (int, error) {
	used := 0
	for {
		m, n, err := unframe(b[used:], in.maxFrame())
		if err == nil && n > 0 {
			err = in.message(conn, m)
		}
		if err != nil {
			in.peers.counts.Refused++
			in.peers.warn.Warn("peer disconnected", "err", err)
			return 0, err
		}
		if used += n; n == 0 {
			return used, nil
		}
	}
}

// maxFrame is the size of the largest message that may come next.
func (in *inboundConn) maxFrame() uint64 {
	if in.kind > 0 {
		return recordMost + 64
	}
	return frameMost
}

// message takes one message: the greeting, or a record where the greeting announced them.
func (in *inboundConn) message(conn *eventloop.Conn, m []byte) error {
	if in.kind > 0 {
		return in.record(m)
	}
	h, _, err := Greet(in.peers.s.Cluster, m)
	if err != nil {
		return err
	}
	if h.GetKind() > 0 {
		if _, life, ok := in.peers.table.Locate(h.GetName()); !ok || life != h.GetLife() {
			return fmt.Errorf("%w: no member %s of that life is known here", ErrForm, h.GetName())
		}
		if waits[Kind(h.GetKind())] == 0 {
			return fmt.Errorf("%w: %s sends records of kind %d", ErrVersion, h.GetName(), h.GetKind())
		}
		in.carry(h.GetName(), Kind(h.GetKind()))
	}
	conn.Write(in.peers.hello(0))
	return nil
}

// record hands one record to whoever takes its kind.
func (in *inboundConn) record(m []byte) error {
	var r peerpb.Record
	if err := proto.Unmarshal(m, &r); err != nil {
		return fmt.Errorf("%w: a record of %s: %w", ErrForm, in.from, err)
	}
	in.peers.counts.RecordsTaken++
	if take := in.peers.takes[in.kind]; take != nil {
		take(in.from, r.GetData())
	}
	return nil
}
