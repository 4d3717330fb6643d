package grpcfront

// This file owns the streams of sessions: what goes between one gRPC stream and the loop. A stream must
// never make the loop wait for its client to read.

import (
	"errors"
	"io"
	"time"

	"google.golang.org/grpc/status"

	"ravenhitch/internal/grpcfront/edgepb"
)

// maxOutbox bounds the messages that wait for one stream to be read.
const maxOutbox = 512

// stream is one stream of a session. The loop alone writes to its outbox and ends it.
type stream struct {
	outbox chan *edgepb.ServerMessage
	done   chan struct{} // closed when the stream is ended
	err    error         // the status that it ends with, set before done is closed

	// What follows belongs to the loop.
	ended   bool
	session *session // nil until it is attached, and where there are too many sessions
}

func newStream() *stream {
	return &stream{outbox: make(chan *edgepb.ServerMessage, maxOutbox), done: make(chan struct{})}
}

// end ends the stream with a status, unless it was ended before.
func (st *stream) end(err error) {
	if !st.ended {
		st.ended, st.err = true, err
		close(st.done)
	}
}

// send gives the stream a message, or ends it where its client does not read.
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

// Session implements edgepb.OrchestratorServer.
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
	go f.receiveAll(server, st) // its Recv returns once this call has
	defer f.loop.Post(func() {
		if st.session != nil {
			st.session.detach(st)
		}
	})
	return st.write(server)
}

// receiveFirst returns the first message of a stream. One that never comes would occupy a stream, and its
// connection, for ever.
func receiveFirst(server edgepb.Orchestrator_SessionServer) (*edgepb.ClientMessage, error) {
	type received struct {
		message *edgepb.ClientMessage
		err     error
	}
	result := make(chan received, 1)
	go func() { // its Recv returns once the call has, at the latest
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

// receiveAll passes what comes on a stream to the loop, until it ends.
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

// receiveEnd handles the end of what comes: the client has closed its side, or the stream is broken. It
// runs on the loop.
func (st *stream) receiveEnd(err error) {
	s := st.session
	switch {
	case s == nil:
	case !errors.Is(err, io.EOF):
		s.detach(st)
	case s.stream == st:
		s.clientClosed = true
		s.endIfSettled()
	}
}

// receive passes one message of a client to the loop. An error is the status that ends the stream.
func (f *Front) receive(message *edgepb.ClientMessage, st *stream) error {
	switch kind := message.GetKind().(type) {
	case *edgepb.ClientMessage_Offer:
		return f.receiveOffer(kind.Offer, st)
	case *edgepb.ClientMessage_Release:
		requestID := kind.Release.GetOfferId()
		return f.post(func() {
			if s := st.attached(); s != nil {
				s.release(requestID)
			}
		})
	case *edgepb.ClientMessage_Ack:
		return f.post(func() {
			if s := st.session; s != nil { // also where another stream has replaced this one
				s.acknowledge(kind.Ack)
			}
		})
	}
	return errUnknownMessage
}

// receiveOffer reads an offer and passes it to the loop.
func (f *Front) receiveOffer(offer *edgepb.Offer, st *stream) error {
	submission, invalid := parseOffer(offer)
	token := f.verifyToken(offer)
	return f.post(func() {
		switch s := st.attached(); {
		case s == nil:
		case invalid != nil:
			s.rejectOffer(offer, invalid)
		default:
			s.offer(offer, submission, token)
		}
	})
}

// attached is the session of which this is the stream, or nil. It is for the loop only.
func (st *stream) attached() *session {
	if st.session == nil || st.session.stream != st {
		return nil
	}
	return st.session
}

// write sends the messages of the outbox until the stream ends. Those from before its end are sent first.
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

// writePending sends the messages that are in the outbox now.
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
