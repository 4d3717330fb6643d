package peer

// This file owns the inbound connections. Each connection begins with a hello, which may be followed by records. A
// hello that announces records must only be accepted if a known member has its name and its incarnation nonce.

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/peer/peerpb"
)

const (
	// helloTimeout is the time after which an inbound connection is closed unless its hello has announced records.
	helloTimeout = 2 * second
	// maxPendingInbound is the maximum number of inbound connections that have not announced records.
	maxPendingInbound = 32
)

// inboundConn is a connection that another orchestrator opened.
type inboundConn struct {
	peers      *Peers
	helloTimer *eventloop.Timer // closes the connection unless its hello announces records in time
	conn       *eventloop.Conn
	stream     streamKey // stream that the hello announced; its kind is noRecords until a hello announces records
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

// release removes the connection from the count of pending inbound connections, or from the inbound streams if its
// hello announced records.
func (in *inboundConn) release() {
	if in.stream.kind == noRecords {
		in.helloTimer.Stop()
		in.peers.pendingInbound--
	} else if in.peers.inboundStreams[in.stream] == in {
		delete(in.peers.inboundStreams, in.stream)
	}
}

// startStream makes the connection the only one of its stream. If the stream has an earlier connection, the peer no
// longer uses it, and startStream closes it. The new connection no longer counts as pending, so that many streams do
// not prevent other peers from connecting.
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
			in.peers.rateLimitedLog.Warn("peer connection closed, invalid message", "err", err)
			return 0, err
		}
		used += length
		if length == 0 {
			return used, nil
		}
	}
}

// maxFrame returns the maximum size of the next message, in bytes.
func (in *inboundConn) maxFrame() uint64 {
	if in.stream.kind == noRecords {
		return maxHelloFrame
	}
	return maxRecordFrame
}

// receive handles one message: a record if a hello announced records, otherwise a hello.
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
			return malformed("%s is not a known member with the incarnation nonce of its hello", stream.member)
		}
		if maxQueued[stream.kind] == 0 {
			return noCommonVersion("%s announced records of the unknown kind %d", stream.member, stream.kind)
		}
		in.startStream(stream)
	}
	conn.Write(in.peers.hello(noRecords))
	return nil
}

// receiveRecord counts one record as received and passes it to the handler of its kind. If there is no handler, the
// record is dropped.
func (in *inboundConn) receiveRecord(message []byte) error {
	var record peerpb.Record
	if err := proto.Unmarshal(message, &record); err != nil {
		return &MessageError{Reason: ErrMalformed, Detail: fmt.Sprintf("a record from %s", in.stream.member), Cause: err}
	}
	in.peers.counts.RecordsReceived++
	if handle := in.peers.recordHandlers[in.stream.kind]; handle != nil {
		handle(in.stream.member, record.GetData())
	}
	return nil
}
