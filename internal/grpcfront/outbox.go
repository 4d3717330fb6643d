package grpcfront

// This file owns the messages that a stream sends. Invariant: a stream whose client does not read never blocks the event
// loop.

import (
	"sync/atomic"

	"google.golang.org/grpc/status"

	"ravenhitch/internal/grpcfront/edgepb"
)

// maxOutbox is the maximum number of messages that are queued for one stream, without the backlog.
const maxOutbox = 512

// stream is one gRPC stream of a session. Only the event loop adds messages to the outbox and calls end.
type stream struct {
	number     uint64 // number among the streams since the start, from 1
	outbox     chan *edgepb.ServerMessage
	done       chan struct{} // closed when the stream is ended
	err        error         // the status that was passed to end, set before done is closed
	hasBacklog atomic.Bool   // the backlog is not empty
	intake     intake        // messages from the client

	// The following fields are accessed on the event loop only.
	handled int64 // number of messages from the client that the event loop has handled
	ended   bool
	// graceful is true from endGracefully until the stream sends its last message.
	graceful bool
	session  *session // nil until the stream is attached, and after attach has refused the stream
	// backlog holds the messages behind those of the outbox. It is not empty only while the client reads the messages
	// that the session has stored for it.
	backlog []*edgepb.ServerMessage
	// maxBacklog is the maximum length of the backlog.
	maxBacklog int
}

func newStream() *stream {
	return &stream{outbox: make(chan *edgepb.ServerMessage, maxOutbox), done: make(chan struct{})}
}

// accepts reports whether messages can still be queued for the stream.
func (st *stream) accepts() bool { return !st.ended || st.graceful }

// end ends the stream with the status err; nil stands for OK. If the stream has ended already, end does nothing.
func (st *stream) end(err error) {
	if !st.ended {
		st.ended, st.err = true, err
		close(st.done)
	}
}

// endGracefully ends the stream like end, but messages can be queued until the client has been sent all others.
func (st *stream) endGracefully(err error) {
	if !st.ended {
		st.graceful = true
		st.end(err)
	}
}

// resend queues the messages that the session has stored, however many there are. It is called once, before send.
func (st *stream) resend(messages []*edgepb.ServerMessage) {
	st.backlog = append(st.backlog, messages...)
	st.maxBacklog = len(messages)
	st.refill()
}

// send queues a message for the stream without blocking. If the queue is full because the client does not read,
// send ends the stream.
func (st *stream) send(message *edgepb.ServerMessage) {
	switch {
	case !st.accepts():
	case len(st.backlog) > 0 && len(st.backlog) < st.maxBacklog:
		st.backlog = append(st.backlog, message)
	case len(st.backlog) > 0 || !st.queue(message):
		st.graceful = false
		st.end(errSlowClient)
	}
}

// queue adds a message to the outbox and reports whether there was room.
func (st *stream) queue(message *edgepb.ServerMessage) bool {
	select {
	case st.outbox <- message:
		return true
	default:
		return false
	}
}

// refill moves messages from the backlog to the outbox.
func (st *stream) refill() {
	for len(st.backlog) > 0 && st.queue(st.backlog[0]) {
		st.backlog = st.backlog[1:]
	}
	st.hasBacklog.Store(len(st.backlog) > 0)
}

// stopQueueing reports whether a stream, which has ended, has sent all messages. After that, none can be queued. While a
// message of the client was read and not handled, its response may be the last message.
func (f *Front) stopQueueing(st *stream) bool {
	st.refill()
	if len(st.outbox) > 0 || !st.intake.closeAfter(st.handled) {
		return false
	}
	st.graceful = false
	f.log.Debug("session stream closed", "stream", st.number, "at_us", f.loop.Now(), "err", st.err)
	return true
}

// write sends the messages of a stream until the stream ends, and returns the status that the stream ends
// with. If end has ended the stream, write first sends the messages that were queued before. If the context of the
// stream ends or a message cannot be sent, write returns at once and the queued messages are not sent.
func (f *Front) write(st *stream, server edgepb.Orchestrator_SessionServer) error {
	for {
		if err := st.writeOutbox(server); err != nil {
			return err
		}
		if st.hasBacklog.Load() {
			f.loop.Post(st.refill)
		}
		select {
		case message := <-st.outbox:
			if err := server.Send(message); err != nil {
				return err
			}
		case <-st.done:
			return f.writeRest(st, server)
		case <-server.Context().Done():
			return status.FromContextError(server.Context().Err()).Err()
		}
	}
}

// writeOutbox sends the messages that are in the outbox, without waiting for further ones.
func (st *stream) writeOutbox(server edgepb.Orchestrator_SessionServer) error {
	for {
		select {
		case message := <-st.outbox:
			if err := server.Send(message); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// writeRest sends the messages that are left when the stream has ended, and returns the status that it ends with. The
// event loop decides which message is the last.
func (f *Front) writeRest(st *stream, server edgepb.Orchestrator_SessionServer) error {
	for {
		if err := st.writeOutbox(server); err != nil {
			return err
		}
		stopped := make(chan bool, 1)
		f.loop.Post(func() { stopped <- f.stopQueueing(st) })
		select {
		case isLast := <-stopped:
			if isLast {
				return st.err
			}
		case <-server.Context().Done():
			return status.FromContextError(server.Context().Err()).Err()
		}
	}
}
