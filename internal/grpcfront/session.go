package grpcfront

// This file owns the sessions: the offers and tasks of each, and the messages that its client has not
// acknowledged. They belong to the loop and outlive their streams. A session must never send a message
// that it could not repeat on the next stream, as far as maxUnacknowledged goes.

import (
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/placement"
)

const (
	// maxSessions bounds the sessions, with and without a stream.
	maxSessions = 1024
	// maxOpenOffers bounds the offers of a session without a response.
	maxOpenOffers = 512
	// maxUnacknowledged bounds the messages that are stored for a client that has not acknowledged them.
	maxUnacknowledged = 512
	// maxSessionName bounds the name of a session, in bytes.
	maxSessionName = 64
	// sessionTimeoutUs is how long a session without a stream is stored, in microseconds.
	sessionTimeoutUs = int64(2 * time.Minute / time.Microsecond)
	// sessionBit is set in the numbers that name sessions to the dispatcher: no connection's number
	// reaches it.
	sessionBit = uint64(1) << 63
)

// session is the dispatch.Client of the offers made in it.
type session struct {
	front          *Front
	name           string
	number         uint64  // names the session to the dispatcher
	stream         *stream // nil while none is open
	lastMessage    uint64  // number of the last message, from 1
	unacknowledged []*edgepb.ServerMessage
	openOffers     map[string]openOffer // without a response, by request ID
	runningTasks   map[string]string    // names of tasks, by request ID
	clientClosed   bool                 // the client sends nothing more on the stream
	expiry         *eventloop.Timer     // runs while there is no stream
}

// openOffer is what an open offer requests.
type openOffer struct{ task, class string }

// push numbers a message, stores it until it is acknowledged, and sends it.
func (s *session) push(message *edgepb.ServerMessage) {
	s.lastMessage++
	message.Number = s.lastMessage
	if len(s.unacknowledged) >= maxUnacknowledged {
		s.unacknowledged = append(s.unacknowledged[:0], s.unacknowledged[1:]...)
	}
	s.unacknowledged = append(s.unacknowledged, message)
	if s.stream != nil {
		s.stream.send(message)
	}
}

// pushBinding notifies the client that its task was started.
func (s *session) pushBinding(binding *edgepb.Binding) {
	s.push(&edgepb.ServerMessage{Kind: &edgepb.ServerMessage_Binding{Binding: binding}})
}

// pushEnded notifies the client that its task is over.
func (s *session) pushEnded(ended *edgepb.Ended) {
	s.push(&edgepb.ServerMessage{Kind: &edgepb.ServerMessage_Ended{Ended: ended}})
}

// pushRejection notifies the client that its task was not started, with the status that Place would return.
func (s *session) pushRejection(requestID, task string, err error, token []byte) {
	st := status.Convert(err)
	s.push(&edgepb.ServerMessage{Kind: &edgepb.ServerMessage_Rejection{Rejection: &edgepb.Rejection{
		OfferId: requestID, Task: task, Code: uint32(st.Code()), Message: st.Message(), Ticket: token,
		RetryAfterMs: retryAfterMs(st)}}})
}

// acknowledge forgets the messages up to a number.
func (s *session) acknowledge(upTo uint64) {
	i := 0
	for i < len(s.unacknowledged) && s.unacknowledged[i].Number <= upTo {
		i++
	}
	s.unacknowledged = append(s.unacknowledged[:0], s.unacknowledged[i:]...)
}

// Respond implements dispatch.Client.
func (s *session) Respond(response dispatch.Response) {
	if response.Kind == dispatch.Completed || response.Kind == dispatch.Migrated {
		if task, running := s.runningTasks[response.RequestID]; running {
			delete(s.runningTasks, response.RequestID)
			s.pushEnded(endedOf(response, task))
			return
		}
	}
	offer := s.openOffers[response.RequestID]
	delete(s.openOffers, response.RequestID)
	if err := responseStatus(response); err != nil {
		s.pushRejection(response.RequestID, offer.task, err, s.front.issueToken(response, offer.task, offer.class))
	} else {
		s.runningTasks[response.RequestID] = offer.task
		s.pushBinding(newBinding(response.RequestID, offer.task, response))
	}
	s.endIfSettled()
}

// endReasons are the texts of the protocol for why a task was ended.
var endReasons = map[placement.Cause]string{placement.CauseEvicted: "evicted for memory",
	placement.CausePreempted: "pushed out", placement.CauseDrained: "sent away"}

// endedOf is the message of a completion or a migration.
func endedOf(response dispatch.Response, task string) *edgepb.Ended {
	how := edgepb.Ended_HOW_LOST
	switch {
	case response.Kind == dispatch.Migrated:
		how = edgepb.Ended_HOW_MOVED
	case response.Outcome == placement.Completed:
		how = edgepb.Ended_HOW_DONE
	}
	return &edgepb.Ended{OfferId: response.RequestID, Task: task, How: how, Reason: endReasons[response.Cause]}
}

// endIfSettled ends the stream of a client that has closed its side, once all its offers have responses.
func (s *session) endIfSettled() {
	if s.clientClosed && len(s.openOffers) == 0 && s.stream != nil {
		s.stream.end(nil)
	}
}

// attach makes st the stream of a session, and repeats the messages behind the number that its client has
// read. It returns nil, and ends the stream, where there are too many sessions.
func (f *Front) attach(name string, seen uint64, st *stream) *session {
	s := f.sessions[name]
	if f.closing || s == nil && len(f.sessions) >= maxSessions {
		st.end(retryStatus(codes.Unavailable, "no room for another session", defaultRetryAfter))
		return nil
	}
	if s == nil {
		s = f.newSession(name)
	}
	if s.stream != nil {
		s.stream.end(errStreamReplaced)
	}
	s.expiry.Stop()
	s.stream, s.clientClosed = st, false
	s.acknowledge(seen)
	for _, message := range s.unacknowledged {
		st.send(message)
	}
	return s
}

// newSession adds a session without a stream.
func (f *Front) newSession(name string) *session {
	f.sessionsOpened++
	s := &session{front: f, name: name, number: sessionBit | f.sessionsOpened,
		openOffers: map[string]openOffer{}, runningTasks: map[string]string{}}
	f.sessions[name] = s
	return s
}

// detach leaves the session without a stream, unless it has another. Open offers go on until their
// deadlines, and tasks run on.
func (s *session) detach(st *stream) {
	st.end(nil)
	if s.stream != st {
		return
	}
	s.stream = nil
	s.expiry = s.front.loop.After(sessionTimeoutUs, func() {
		if s.front.sessions[s.name] == s {
			delete(s.front.sessions, s.name)
		}
	})
}

// offer submits an offer of the session.
func (s *session) offer(offer *edgepb.Offer, submission dispatch.Submission, token presentedToken) {
	if open, found := s.openOffers[submission.RequestID]; found && open.task == submission.Key {
		return // its response will come in this session
	}
	if len(s.openOffers) >= maxOpenOffers {
		s.pushRejection(submission.RequestID, submission.Key,
			retryStatus(codes.ResourceExhausted, "too many offers of the session are open", defaultRetryAfter), nil)
		return
	}
	s.openOffers[submission.RequestID] = openOffer{submission.Key, submission.Class}
	s.front.redeem(&submission, token)
	submission.Connection = s.number
	if err := s.front.submit(s, submission); err != nil {
		delete(s.openOffers, submission.RequestID)
		s.rejectOffer(offer, err)
	}
}

// rejectOffer rejects an offer that was not submitted.
func (s *session) rejectOffer(offer *edgepb.Offer, err error) {
	s.pushRejection(offer.GetOfferId(), offer.GetTask(), err, nil)
	s.endIfSettled()
}

// release ends an offer or a task of the session. Either way the client is notified of it once.
func (s *session) release(requestID string) {
	switch s.front.dispatcher.Cancel(s.front.loop.Now(), s, requestID) {
	case dispatch.WasOpen:
		task := s.openOffers[requestID].task
		delete(s.openOffers, requestID)
		s.pushRejection(requestID, task, errCancelled, nil)
		s.endIfSettled()
	case dispatch.WasRunning:
		task := s.runningTasks[requestID]
		delete(s.runningTasks, requestID)
		s.pushEnded(&edgepb.Ended{OfferId: requestID, Task: task, How: edgepb.Ended_HOW_RELEASED})
	}
}
