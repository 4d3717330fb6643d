package peer

// This file owns the inbound connections: a hello each, and the records that follow on some. It must never
// take a record from a peer that is not a member by that name and incarnation nonce.

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/peer/peerpb"
)

const (
	// helloTimeout is how long an inbound connection may take to send its hello.
	helloTimeout = 2 * second
	// maxPendingInbound bounds the inbound connections that have not announced records.
	maxPendingInbound = 32
)

// inboundConn is a connection that another orchestrator opened.
type inboundConn struct {
	peers      *Peers
	helloTimer *eventloop.Timer // ends the connection unless its hello comes in time
	conn       *eventloop.Conn
	stream     streamKey // whose records come; its kind is noRecords before the hello, and where none do
}

// Opened implements eventloop.Handler.
func (in *inboundConn) Opened(conn *eventloop.Conn) {
	in.conn = conn
	in.peers.pendingInbound++
	in.helloTimer = in.peers.loop.After(helloTimeout, func() {
		in.release()
		conn.Close()
	})
}

// release gives back what the connection counts against: the limit of inbound connections, or its stream.
func (in *inboundConn) release() {
	if in.stream.kind == noRecords {
		in.helloTimer.Stop()
		in.peers.pendingInbound--
	} else if in.peers.inboundStreams[in.stream] == in {
		delete(in.peers.inboundStreams, in.stream)
	}
}

// startStream makes it the one connection of its stream: the peer that opened an earlier one has abandoned
// that. It no longer counts against the limit of inbound connections, so that many streams keep no other peer
// from connecting.
func (in *inboundConn) startStream(stream streamKey) {
	in.release()
	in.stream = stream
	if previous := in.peers.inboundStreams[stream]; previous != nil {
		previous.conn.Close()
	}
	in.peers.inboundStreams[stream] = in
}

// Closed implements eventloop.Handler.
func (in *inboundConn) Closed(*eventloop.Conn, error) { in.release() }

// Data implements eventloop.Handler.
func (in *inboundConn) Data(conn *eventloop.Conn, b []byte) (int, error) {
	used := 0
	for {
		message, length, err := decodeFrame(b[used:], in.maxFrame())
		if err == nil && length > 0 {
			err = in.receive(conn, message)
		}
		if err != nil {
			in.peers.counts.Refused++
			in.peers.rateLimitedLog.Warn("peer disconnected", "err", err)
			return 0, err
		}
		used += length
		if length == 0 {
			return used, nil
		}
	}
}

// maxFrame is the size of the largest message that may come next, in bytes.
func (in *inboundConn) maxFrame() uint64 {
	if in.stream.kind == noRecords {
		return maxHelloFrame
	}
	return maxRecordFrame
}

// receive takes one message: the hello, or a record where the hello announced them.
func (in *inboundConn) receive(conn *eventloop.Conn, message []byte) error {
	if in.stream.kind != noRecords {
		return in.receiveRecord(message)
	}
	hello, _, err := CheckHello(in.peers.settings.Cluster, message)
	if err != nil {
		return err
	}
	stream := streamKey{hello.GetName(), RecordKind(hello.GetKind())}
	if stream.kind != noRecords {
		if _, nonce, ok := in.peers.table.Locate(stream.member); !ok || nonce != hello.GetLife() {
			return malformed("no member %s of that incarnation nonce is known here", stream.member)
		}
		if maxQueued[stream.kind] == 0 {
			return noCommonVersion("%s sends records of kind %d", stream.member, stream.kind)
		}
		in.startStream(stream)
	}
	conn.Write(in.peers.hello(noRecords))
	return nil
}

// receiveRecord hands one record to the handler of its kind.
func (in *inboundConn) receiveRecord(message []byte) error {
	var record peerpb.Record
	if err := proto.Unmarshal(message, &record); err != nil {
		return &MessageError{Reason: ErrMalformed, Detail: fmt.Sprintf("a record of %s", in.stream.member), Cause: err}
	}
	in.peers.counts.RecordsReceived++
	if handle := in.peers.recordHandlers[in.stream.kind]; handle != nil {
		handle(in.stream.member, record.GetData())
	}
	return nil
}
