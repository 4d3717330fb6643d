package peer

// This file owns the outbound streams of records. Each pair of member and record kind has its own connection, which
// is opened when there is a record to send. Records of one kind therefore do not wait behind records of another kind.
// Datagrams have their own socket and do not wait behind records.
//
// A record that Send accepted is either sent or counted as dropped. A record that was in flight when its connection
// ended may or may not have arrived; the senders of records must handle both cases.

import (
	"errors"
	"fmt"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/peer/peerpb"
)

// RecordKind is the urgency of a record. Its number is part of the wire protocol.
type RecordKind uint32

// The kinds of records.
const (
	Urgent     RecordKind = 1 + iota // records that should arrive soon
	Background                       // full copies of state, which may arrive late
)

const (
	// maxRecord is the maximum size of a record, in bytes.
	maxRecord = 256 << 10
	// maxRecordFrame is the maximum size of the encoded message that carries a record, in bytes.
	maxRecordFrame = maxRecord + 64
	// maxBurst is the number of bytes after which a stream stops writing until the next turn of the event loop, to
	// let other connections proceed. The last frame is sent in full, even if the burst then exceeds maxBurst.
	maxBurst = 256 << 10
	// minRedialDelay is the delay before a connection is opened again after a first failure. The delay doubles with
	// each further failure in a row, up to maxRedialDelay.
	minRedialDelay = 100 * millisecond
	maxRedialDelay = 2 * second
	// idleTimeout is the time after which a connection without records to send is closed.
	idleTimeout = 30 * second
	// nextTurn is a timer delay in microseconds. A timer with this delay does not fire in the current turn of the
	// event loop, but in the next one, after the events of that turn have been handled.
	nextTurn = 1
)

// Reasons why [Peers.Send] rejects a record. ErrRecordTooLarge is also returned for an unknown kind.
var (
	ErrNotMember      = errors.New("peer: not a member of the cluster")
	ErrQueueFull      = errors.New("peer: the queue is full; the OnWritable handler is called when there is space")
	ErrRecordTooLarge = fmt.Errorf("peer: the record is over %d bytes or its kind is unknown", maxRecord)
)

// maxQueued is the maximum size of the queue for each member, in bytes, by record kind. A kind that is not in the map
// is unknown.
var maxQueued = map[RecordKind]int{Urgent: 512 << 10, Background: 1 << 20}

// streamKey identifies a stream, which carries records of one kind to or from one member.
type streamKey struct {
	member string
	kind   RecordKind
}

// outboundStream is the stream that sends the records of one kind to one member. It implements eventloop.Handler
// and eventloop.Drainer.
type outboundStream struct {
	streamKey
	peers       *Peers
	queue       recordQueue
	conn        *eventloop.Conn  // nil while no connection is open or being opened
	nonce       uint64           // incarnation nonce of the process that the records are for
	established bool             // whether the peer's hello has arrived and is valid
	redialDelay int64            // last redial delay in microseconds; 0 before the first failure and after a valid hello
	timer       *eventloop.Timer // fires when the next dial, the next burst or the idle timeout is due
}

// OnRecord registers handle, which is called on the event loop with each received record of the given kind. handle must
// not retain the bytes of the record.
func (p *Peers) OnRecord(kind RecordKind, handle func(from string, record []byte)) {
	p.recordHandlers[kind] = handle
}

// OnWritable registers notify, which is called on the event loop after Send returned ErrQueueFull, once at most half of
// the queue is used. notify is not called if the stream ends first, for example because the member died.
func (p *Peers) OnWritable(notify func(to string, kind RecordKind)) { p.onWritable = notify }

// Send queues a copy of a record for a member. If the record is rejected, Send returns ErrNotMember, ErrQueueFull or
// ErrRecordTooLarge.
func (p *Peers) Send(to string, kind RecordKind, record []byte) error {
	if len(record) > maxRecord || maxQueued[kind] == 0 {
		return ErrRecordTooLarge
	}
	_, nonce, ok := p.table.Locate(to)
	if !ok {
		return ErrNotMember
	}
	key := streamKey{to, kind}
	s := p.outboundStreams[key]
	if s == nil {
		s = &outboundStream{streamKey: key, peers: p, nonce: nonce, queue: recordQueue{limit: maxQueued[kind]}}
		p.outboundStreams[key] = s
	}
	if !s.queue.push(append([]byte(nil), record...)) {
		return ErrQueueFull
	}
	if s.conn == nil && !s.timer.Pending() {
		s.dial()
	}
	s.flush()
	return nil
}

// endStreams ends the outbound streams to a member that died, left, or restarted as another process.
func (p *Peers) endStreams(member string) {
	for kind := range maxQueued {
		if s := p.outboundStreams[streamKey{member, kind}]; s != nil {
			s.end("the member died, left or restarted")
		}
	}
}

// end closes the stream. It counts and logs the records that are dropped from the queue. If there are any, it resets
// the connection.
func (s *outboundStream) end(cause string) {
	s.timer.Stop()
	dropped := s.queue.clear()
	if s.conn != nil && dropped > 0 {
		s.conn.Abort()
	} else if s.conn != nil {
		s.conn.Close()
	}
	if dropped > 0 {
		s.peers.counts.RecordsDropped += int64(dropped)
		s.peers.log.Warn("peer records dropped",
			"member", s.member, "kind", uint32(s.kind), "records", dropped, "cause", cause)
	}
	delete(s.peers.outboundStreams, s.streamKey)
}

// dial opens the connection. If the member has died, has left the cluster or has restarted as another process, dial
// ends the stream instead.
func (s *outboundStream) dial() {
	address, nonce, ok := s.peers.table.Locate(s.member)
	if !ok || nonce != s.nonce {
		s.end("the member died, left or restarted")
		return
	}
	conn, err := s.peers.loop.Dial(address, handshakeTimeout, s)
	if err != nil {
		s.redialLater()
		return
	}
	s.conn, s.established = conn, false
}

// redialLater schedules the next dial after a delay that doubles with each failure in a row.
func (s *outboundStream) redialLater() {
	s.conn, s.established = nil, false
	s.redialDelay = min(maxRedialDelay, max(minRedialDelay, 2*s.redialDelay))
	s.timer = s.peers.loop.After(s.redialDelay, s.dial)
}

// Opened implements eventloop.Handler.
func (s *outboundStream) Opened(conn *eventloop.Conn) { conn.Write(s.peers.hello(s.kind)) }

// Closed implements eventloop.Handler. Queued records are sent on the next connection.
func (s *outboundStream) Closed(*eventloop.Conn, error) {
	s.timer.Stop()
	if len(s.queue.records) == 0 {
		delete(s.peers.outboundStreams, s.streamKey)
		return
	}
	s.redialLater()
}

// Data implements eventloop.Handler. The only message expected on an outbound stream is the peer's hello.
func (s *outboundStream) Data(_ *eventloop.Conn, b []byte) (int, error) {
	message, used, err := decodeFrame(b, maxHelloFrame)
	if err != nil || used == 0 {
		return 0, err
	}
	hello, _, err := CheckHello(s.peers.settings.Cluster, message)
	if err == nil && (hello.GetName() != s.member || hello.GetLife() != s.nonce) {
		err = malformed("%s answers at the address of %s, but its name or incarnation nonce is not that of the member",
			hello.GetName(), s.member)
	}
	if err != nil {
		s.peers.counts.Refused++
		s.peers.rateLimitedLog.Warn("peer connection closed, invalid message", "member", s.member, "err", err)
		return 0, err
	}
	s.established, s.redialDelay = true, 0
	s.flush()
	return used, nil
}

// Drained implements eventloop.Drainer.
func (s *outboundStream) Drained(*eventloop.Conn) { s.flush() }

// flush writes queued records until the queue is empty, the system accepts no more bytes, or maxBurst is reached.
func (s *outboundStream) flush() {
	if s.conn == nil || !s.established {
		return
	}
	s.timer.Stop()
	for written := 0; written < maxBurst; {
		if s.conn.BytesWritten() > s.conn.BytesSent() && !s.conn.Flush() {
			return // Drained continues once the system has accepted all bytes
		}
		record, writable := s.queue.pop()
		if record == nil {
			s.timer = s.peers.loop.After(idleTimeout, func() { s.end("idle") })
			return
		}
		frame, err := encodeFrame(&peerpb.Record{Data: record}, maxRecordFrame)
		if err != nil { // cannot happen: Send limits the size of records
			s.peers.counts.RecordsDropped++
			continue
		}
		s.peers.counts.RecordsSent++
		s.conn.Write(frame)
		written += len(frame)
		if writable {
			s.peers.onWritable(s.member, s.kind)
		}
	}
	s.timer = s.peers.loop.After(nextTurn, s.flush) // let other connections proceed first
}
