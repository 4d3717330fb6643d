package grpcfront

// This file owns the streams of sessions: it passes messages between a gRPC stream and the event loop.
// Invariant: a stream whose client does not read never blocks the event loop.

import (
	"errors"
	"io"
	"time"

	"google.golang.org/grpc/status"

	"ravenhitch/internal/grpcfront/edgepb"
)

// maxOutbox is the maximum number of messages that are queued for one stream.
const maxOutbox = 512

// stream is one gRPC stream of a session. Only the event loop adds messages to the outbox and calls end.
type stream struct {
	outbox chan *edgepb.ServerMessage
	done   chan struct{} // closed when the stream is ended
	err    error         // the status that was passed to end, set before done is closed

	// The following fields are accessed on the event loop only.
	ended   bool
	session *session // nil until the stream is attached, and after attach has refused the stream
}

func newStream() *stream {
	return &stream{outbox: make(chan *edgepb.ServerMessage, maxOutbox), done: make(chan struct{})}
}

// end ends the stream with the status err; nil stands for OK. If the stream has ended already, end does nothing.
func (st *stream) end(err error) {
	if !st.ended {
		st.ended, st.err = true, err
		close(st.done)
	}
}

// send queues a message for the stream without blocking. If the outbox is full because the client does not read,
// send ends the stream.
func (st *stream) send(message *edgepb.ServerMessage) {
	if st.ended {
		return
	}
	select {
	case st.outbox <- message:
	default:
		st.end(errSlowClient)
	}
}

// Session implements edgepb.OrchestratorServer. It serves one stream of a session until the stream ends.
func (f *Front) Session(server edgepb.Orchestrator_SessionServer) error {
	first, err := receiveFirst(server)
	if err != nil {
		return err
	}
	open := first.GetOpen()
	if open == nil || open.GetSession() == "" || len(open.GetSession()) > maxSessionName {
		return fieldStatus("open", "the first message must name a session in 1 to 64 bytes")
	}
	st := newStream()
	if err := f.post(func() { st.session = f.attach(open.GetSession(), open.GetSeen(), st) }); err != nil {
		return err
	}
	go f.receiveAll(server, st) // the goroutine ends when Session has returned, if not before: server.Recv fails then
	defer f.loop.Post(func() {
		if st.session != nil {
			st.session.detach(st)
		}
	})
	return st.write(server)
}

// receiveFirst returns the first message of a stream. It fails with errNotOpened after firstMessageTimeout:
// without this limit, a client that sends nothing would occupy the stream and its connection forever.
func receiveFirst(server edgepb.Orchestrator_SessionServer) (*edgepb.ClientMessage, error) {
	type received struct {
		message *edgepb.ClientMessage
		err     error
	}
	result := make(chan received, 1)
	go func() { // the goroutine ends when Session has returned, if not before: server.Recv fails then
		message, err := server.Recv()
		result <- received{message, err}
	}()
	select {
	case first := <-result:
		return first.message, first.err
	case <-time.After(firstMessageTimeout):
		return nil, errNotOpened
	}
}

// receiveAll passes the messages that are received on a stream to the event loop, until Recv or receive returns
// an error. An error of Recv is passed to receiveEnd, and an error of receive becomes the final status of the stream.
func (f *Front) receiveAll(server edgepb.Orchestrator_SessionServer, st *stream) {
	for {
		message, err := server.Recv()
		if err != nil {
			f.loop.Post(func() { st.receiveEnd(err) })
			return
		}
		if err := f.receive(message, st); err != nil {
			f.loop.Post(func() { st.end(err) })
			return
		}
	}
}

// receiveEnd handles the error with which receiving ended. io.EOF means that the client has closed its side of the
// stream. Any other error means that the stream is broken or has ended. receiveEnd runs on the event loop.
func (st *stream) receiveEnd(err error) {
	s := st.session
	switch {
	case s == nil:
	case !errors.Is(err, io.EOF):
		s.detach(st)
	case s.stream == st:
		s.clientClosed = true
		s.endIfAllResponded()
	}
}

// receive passes one message from the client to the event loop. The error is the status that the stream ends with.
func (f *Front) receive(message *edgepb.ClientMessage, st *stream) error {
	switch kind := message.GetKind().(type) {
	case *edgepb.ClientMessage_Offer:
		return f.receiveOffer(kind.Offer, st)
	case *edgepb.ClientMessage_Release:
		requestID := kind.Release.GetOfferId()
		return f.post(func() {
			if s := st.attachedSession(); s != nil {
				s.release(requestID)
			}
		})
	case *edgepb.ClientMessage_Ack:
		return f.post(func() {
			if s := st.session; s != nil { // an ack is valid even if a newer stream has replaced this one
				s.acknowledge(kind.Ack)
			}
		})
	}
	return errUnknownMessage
}

// receiveOffer validates an offer and its retry token, and passes the offer or its rejection to the event loop.
func (f *Front) receiveOffer(offer *edgepb.Offer, st *stream) error {
	submission, invalid := parseOffer(offer)
	token := f.verifyToken(offer)
	return f.post(func() {
		switch s := st.attachedSession(); {
		case s == nil:
		case invalid != nil:
			s.rejectOffer(offer, invalid)
		default:
			s.offer(offer, submission, token)
		}
	})
}

// attachedSession returns the session whose current stream is st, or nil if st was never attached, was detached or
// was replaced by a newer stream. It must be called on the event loop only.
func (st *stream) attachedSession() *session {
	if st.session == nil || st.session.stream != st {
		return nil
	}
	return st.session
}

// write sends the messages of the outbox until the stream ends, and returns the status that the stream ends
// with. If end has ended the stream, write first sends the messages that were queued before. If the context of the
// stream ends or a message cannot be sent, write returns at once and the queued messages are not sent.
func (st *stream) write(server edgepb.Orchestrator_SessionServer) error {
	for {
		if err := st.writePending(server); err != nil {
			return err
		}
		select {
		case message := <-st.outbox:
			if err := server.Send(message); err != nil {
				return err
			}
		case <-st.done:
			if err := st.writePending(server); err != nil {
				return err
			}
			return st.err
		case <-server.Context().Done():
			return status.FromContextError(server.Context().Err()).Err()
		}
	}
}

// writePending sends the messages that are queued in the outbox, without waiting for further ones.
func (st *stream) writePending(server edgepb.Orchestrator_SessionServer) error {
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
