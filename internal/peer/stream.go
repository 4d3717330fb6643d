package peer

// This file owns the outbound streams of records: one connection for each member and kind, opened when there
// is something to send, so that much of one kind never delays another, and nothing delays the datagrams. A
// record that was taken is sent, or counted as dropped; one that was in flight when a connection ended may
// have arrived or not: whoever sends records has to expect that.

import (
	"errors"
	"fmt"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/peer/peerpb"
)

// RecordKind says how soon a record must arrive. Its number is on the wire.
type RecordKind uint32

// The kinds of records.
const (
	Urgent     RecordKind = 1 + iota // what somebody waits for
	Background                       // copies of complete states, which may come late
)

const (
	// maxRecord bounds one record, in bytes.
	maxRecord = 256 << 10
	// maxRecordFrame bounds the message that carries one.
	maxRecordFrame = maxRecord + 64
	// maxBurst is how many bytes are written for one member and kind before others have their turn.
	maxBurst = 256 << 10
	// minRedialDelay is how long after the first failure a connection is opened again; the delay doubles with
	// each further one, up to maxRedialDelay.
	minRedialDelay = 100 * millisecond
	maxRedialDelay = 2 * second
	// idleTimeout is how long a connection is kept with nothing to send.
	idleTimeout = 30 * second
	// nextTurn is the shortest delay: whatever else is ready comes first.
	nextTurn = 1
)

// Why [Peers.Send] does not take a record.
var (
	ErrNotMember      = errors.New("peer: not a member of the cluster")
	ErrQueueFull      = errors.New("peer: the queue is full; OnWritable is called when there is space")
	ErrRecordTooLarge = fmt.Errorf("peer: a record of over %d bytes", maxRecord)
)

// maxQueued bounds what may wait of each kind for each member, in bytes.
var maxQueued = map[RecordKind]int{Urgent: 512 << 10, Background: 1 << 20}

// streamKey names a stream: records of one kind, to or from one member.
type streamKey struct {
	member string
	kind   RecordKind
}

// outboundStream sends the records of one stream. It owns its connection and its timer until end.
type outboundStream struct {
	streamKey
	peers       *Peers
	queue       recordQueue
	conn        *eventloop.Conn // nil where there is none
	nonce       uint64          // of the process that the records are for
	established bool            // both sides sent their hello
	redialDelay int64
	timer       *eventloop.Timer // for the next dial, or for the idle timeout
}

// OnRecord has handle called with each record of a kind, on the loop; it may not keep the bytes.
func (p *Peers) OnRecord(kind RecordKind, handle func(from string, record []byte)) {
	p.recordHandlers[kind] = handle
}

// OnWritable has notify called, on the loop, when there is space again after Send returned ErrQueueFull.
func (p *Peers) OnWritable(notify func(to string, kind RecordKind)) { p.onWritable = notify }

// Send takes a copy of a record for a member. With an error it was not taken: ErrRecordTooLarge, also for a kind
// that no record may be of, ErrNotMember or ErrQueueFull.
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

// endStreams ends the streams to a member that is gone, or back as another process.
func (p *Peers) endStreams(member string) {
	for kind := range maxQueued {
		if s := p.outboundStreams[streamKey{member, kind}]; s != nil {
			s.end("the member is gone")
		}
	}
}

// end closes the stream, and logs what is lost with it.
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

// dial opens the connection, unless the member is gone or is another process now.
func (s *outboundStream) dial() {
	address, nonce, ok := s.peers.table.Locate(s.member)
	if !ok || nonce != s.nonce {
		s.end("the member is gone")
		return
	}
	conn, err := s.peers.loop.Dial(address, handshakeTimeout, s)
	if err != nil {
		s.redialLater()
		return
	}
	s.conn, s.established = conn, false
}

// redialLater has the next connection opened after a delay, which doubles with each failure in a row.
func (s *outboundStream) redialLater() {
	s.conn, s.established = nil, false
	s.redialDelay = min(maxRedialDelay, max(minRedialDelay, 2*s.redialDelay))
	s.timer = s.peers.loop.After(s.redialDelay, s.dial)
}

// Opened implements eventloop.Handler.
func (s *outboundStream) Opened(conn *eventloop.Conn) { conn.Write(s.peers.hello(s.kind)) }

// Closed implements eventloop.Handler. What waits goes out on the next connection.
func (s *outboundStream) Closed(*eventloop.Conn, error) {
	s.timer.Stop()
	if len(s.queue.records) == 0 {
		delete(s.peers.outboundStreams, s.streamKey)
		return
	}
	s.redialLater()
}

// Data implements eventloop.Handler: all that comes is the other side's hello.
func (s *outboundStream) Data(_ *eventloop.Conn, b []byte) (int, error) {
	message, used, err := decodeFrame(b, maxHelloFrame)
	if err != nil || used == 0 {
		return 0, err
	}
	hello, _, err := CheckHello(s.peers.settings.Cluster, message)
	if err == nil && (hello.GetName() != s.member || hello.GetLife() != s.nonce) {
		err = malformed("%s of another incarnation nonce answers at the address of %s", hello.GetName(), s.member)
	}
	if err != nil {
		s.peers.counts.Refused++
		s.peers.rateLimitedLog.Warn("peer disconnected", "member", s.member, "err", err)
		return 0, err
	}
	s.established, s.redialDelay = true, 0
	s.flush()
	return used, nil
}

// Drained implements eventloop.Drainer.
func (s *outboundStream) Drained(*eventloop.Conn) { s.flush() }

// flush writes what waits, as long as the system takes it.
func (s *outboundStream) flush() {
	if s.conn == nil || !s.established {
		return
	}
	s.timer.Stop()
	for written := 0; written < maxBurst; {
		if s.conn.BytesWritten() > s.conn.BytesSent() && !s.conn.Flush() {
			return // Drained is called once the system took all
		}
		record, writable := s.queue.pop()
		if record == nil {
			s.timer = s.peers.loop.After(idleTimeout, func() { s.end("idle") })
			return
		}
		frame, err := encodeFrame(&peerpb.Record{Data: record}, maxRecordFrame)
		if err != nil { // Send bounds records: this can't happen
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
	s.timer = s.peers.loop.After(nextTurn, s.flush) // others have their turn
}
