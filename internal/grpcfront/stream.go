package grpcfront

// This file owns the streams of sessions: it passes messages between a gRPC stream and the event loop. The messages that a
// stream sends are in outbox.go.

import (
	"errors"
	"io"
	"sync"
	"time"

	"ravenhitch/internal/grpcfront/edgepb"
)

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
	return f.write(st, server)
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

// intake counts the messages that a stream takes from its client. It may be used from any goroutine.
type intake struct {
	mu       sync.Mutex
	accepted int64
	closed   bool
}

// accept counts a message, and reports whether the stream takes it. It takes none once the intake is closed.
func (in *intake) accept() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.closed {
		in.accepted++
	}
	return !in.closed
}

// withdraw uncounts a message that was accepted and is not handled.
func (in *intake) withdraw() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.accepted--
}

// closeAfter closes the intake if no more than handled messages were accepted, and reports whether it is closed.
func (in *intake) closeAfter(handled int64) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.closed = in.closed || in.accepted <= handled
	return in.closed
}

// receiveAll passes the messages that are received on a stream to the event loop, until Recv fails or a message is not
// accepted. An error of Recv is passed to receiveEnd, and any other error becomes the final status of the stream.
func (f *Front) receiveAll(server edgepb.Orchestrator_SessionServer, st *stream) {
	for {
		message, err := server.Recv()
		if err != nil {
			f.loop.Post(func() { st.receiveEnd(err) })
			return
		}
		if !st.intake.accept() {
			return // the stream has ended: the client offers again what has no response
		}
		handle := f.handlerOf(message, st)
		if handle == nil {
			err = errUnknownMessage
		} else {
			err = f.post(func() {
				st.handled++
				handle()
			})
		}
		if err != nil {
			st.intake.withdraw()
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

// handlerOf returns the function that handles a message from the client on the event loop, or nil if the kind of the
// message is unknown.
func (f *Front) handlerOf(message *edgepb.ClientMessage, st *stream) func() {
	switch kind := message.GetKind().(type) {
	case *edgepb.ClientMessage_Offer:
		return f.handlerOfOffer(kind.Offer, st)
	case *edgepb.ClientMessage_Release:
		requestID := kind.Release.GetOfferId()
		return func() {
			if s := st.attachedSession(); s != nil {
				s.release(requestID)
			}
		}
	case *edgepb.ClientMessage_Ack:
		return func() {
			if s := st.session; s != nil { // an ack is valid even if a newer stream has replaced this one
				s.acknowledge(kind.Ack)
			}
		}
	}
	return nil
}

// handlerOfOffer validates an offer and its retry token, and returns the function that submits or rejects the offer.
func (f *Front) handlerOfOffer(offer *edgepb.Offer, st *stream) func() {
	submission, invalid := parseOffer(offer)
	token := f.verifyToken(offer)
	return func() {
		s := st.attachedSession()
		f.tracer.Step("session offer received", offer.GetOfferId(), f.loop.Now(), "stream", st.number, "attached", s != nil,
			"stream_sends", st.accepts())
		switch {
		case s == nil:
		case invalid != nil:
			s.rejectOffer(offer, invalid)
		default:
			s.offer(offer, submission, token)
		}
	}
}

// attachedSession returns the session whose current stream is st, or nil if st was never attached, was detached or
// was replaced by a newer stream. It must be called on the event loop only.
func (st *stream) attachedSession() *session {
	if st.session == nil || st.session.stream != st {
		return nil
	}
	return st.session
}
