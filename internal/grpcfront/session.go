package grpcfront

// This file owns the sessions: the offers and tasks of each session, and the messages that its client has not
// acknowledged. Sessions are accessed on the event loop only. They outlive their streams. Invariant: a
// session stores each message before sending it, so that the next stream can resend what the client has not
// acknowledged.

import (
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/placement"
)

const (
	// maxSessions is the maximum number of sessions, with and without a stream.
	maxSessions = 1024
	// maxOpenOffers is the maximum number of offers of one session that have no response yet.
	maxOpenOffers = 512
	// maxUnacknowledged is the maximum number of unacknowledged messages that a session stores while it has a stream,
	// besides those that the stream sends again. A session without a stream stores all messages: they are responses to
	// its open offers and ends of its running tasks. The number is higher than the buffers of a stream hold messages,
	// so only messages that have reached the client's host are dropped.
	maxUnacknowledged = 4096
	// maxSessionName is the maximum length of the name of a session, in bytes.
	maxSessionName = 64
	// sessionTimeoutUs is the time after which a session without a stream is deleted, in microseconds.
	sessionTimeoutUs = int64(2 * time.Minute / time.Microsecond)
	// sessionBit is set in the number by which the dispatcher identifies a session. The dispatcher also identifies
	// the connections of package clientfront by numbers. These count up from 1 and never reach this bit, so they do
	// not collide with the numbers of sessions.
	sessionBit = uint64(1) << 63
)

// session is the state of one named session of a client. It is the dispatch.Client of the offers that are
// made in the session.
type session struct {
	front          *Front
	name           string
	number         uint64  // number by which the dispatcher identifies the session
	stream         *stream // the current stream, nil if there is none
	lastMessage    uint64  // number of the last message to the client; the first message has number 1
	unacknowledged []*edgepb.ServerMessage
	resent         int                  // number of messages that the current stream sends again
	openOffers     map[string]openOffer // offers without a response, by request ID
	runningTasks   map[string]string    // names of running tasks, by request ID
	clientClosed   bool                 // the client has closed its side of the current stream
	expiry         *eventloop.Timer     // deletes the session; runs while the session has no stream
}

// openOffer holds the names of the task and the class of an open offer.
type openOffer struct{ task, class string }

// push assigns the next number to a message, stores the message until the client acknowledges it, and sends it
// if the session has a stream.
func (s *session) push(message *edgepb.ServerMessage) {
	s.lastMessage++
	message.Number = s.lastMessage
	if s.stream != nil && (len(s.unacknowledged) >= maxUnacknowledged+s.resent || s.exceedsShare()) {
		s.front.stored--
		s.unacknowledged = append(s.unacknowledged[:0], s.unacknowledged[1:]...)
	}
	s.unacknowledged = append(s.unacknowledged, message)
	s.front.stored++
	if s.stream != nil {
		s.stream.send(message)
	}
}

// exceedsShare reports whether the sessions store as many messages as they may together, and this one its share of them.
func (s *session) exceedsShare() bool {
	return s.front.stored >= s.front.maxStored && len(s.unacknowledged) >= max(1, s.front.maxStored/len(s.front.sessions))
}

// pushBinding sends the client the binding of a task that was started.
func (s *session) pushBinding(binding *edgepb.Binding) {
	s.push(&edgepb.ServerMessage{Kind: &edgepb.ServerMessage_Binding{Binding: binding}})
}

// pushEnded notifies the client that a running task has ended.
func (s *session) pushEnded(ended *edgepb.Ended) {
	s.push(&edgepb.ServerMessage{Kind: &edgepb.ServerMessage_Ended{Ended: ended}})
}

// pushRejection sends the client a Rejection message, the final response to an offer that gets no binding. err is
// the gRPC status error that states the reason, and token is the retry token, nil if there is none.
func (s *session) pushRejection(requestID, task string, err error, token []byte) {
	st := status.Convert(err)
	s.push(&edgepb.ServerMessage{Kind: &edgepb.ServerMessage_Rejection{Rejection: &edgepb.Rejection{
		OfferId: requestID, Task: task, Code: uint32(st.Code()), Message: st.Message(), Ticket: token,
		RetryAfterMs: retryAfterMs(st)}}})
}

// acknowledge deletes the stored messages whose number is at most upTo.
func (s *session) acknowledge(upTo uint64) {
	i := 0
	for i < len(s.unacknowledged) && s.unacknowledged[i].Number <= upTo {
		i++
	}
	s.front.stored -= i
	s.unacknowledged = append(s.unacknowledged[:0], s.unacknowledged[i:]...)
}

// Respond implements dispatch.Client. It converts the response to a message and pushes it to the client.
func (s *session) Respond(response dispatch.Response) {
	if response.Kind == dispatch.Completed || response.Kind == dispatch.Migrated {
		if task, running := s.runningTasks[response.RequestID]; running {
			delete(s.runningTasks, response.RequestID)
			s.pushEnded(newEnded(response, task))
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
	s.endIfAllResponded()
}

// endReasons maps the cause of the end of a task to the reason text in the Ended message. The texts are part
// of the protocol.
var endReasons = map[placement.Cause]string{placement.CauseEvicted: "evicted for memory",
	placement.CausePreempted: "pushed out", placement.CauseDrained: "sent away"}

// newEnded returns the Ended message for a completion or a migration.
func newEnded(response dispatch.Response, task string) *edgepb.Ended {
	how := edgepb.Ended_HOW_LOST
	switch {
	case response.Kind == dispatch.Migrated:
		how = edgepb.Ended_HOW_MOVED
	case response.Outcome == placement.Completed:
		how = edgepb.Ended_HOW_DONE
	}
	return &edgepb.Ended{OfferId: response.RequestID, Task: task, How: how, Reason: endReasons[response.Cause]}
}

// endIfAllResponded ends the stream if the client has closed its side and every offer of the session has a
// response.
func (s *session) endIfAllResponded() {
	if s.clientClosed && len(s.openOffers) == 0 && s.stream != nil {
		s.stream.end(nil)
	}
}

// attach makes st the stream of the session with the given name, and creates the session if it does not
// exist. A stream that the session already has is ended. seen is the number of the last message that the
// client has read; attach resends the stored messages with higher numbers. If the front is closing, or if a
// new session would exceed maxSessions, attach ends st and returns nil.
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
	f.streamsOpened++
	st.number = f.streamsOpened
	f.log.Debug("session stream opened", "session", name, "stream", st.number, "seen", seen)
	s.stream, s.clientClosed = st, false
	s.continueAfter(seen)
	s.acknowledge(seen)
	s.resent = len(s.unacknowledged)
	st.resend(s.unacknowledged)
	return s
}

// continueAfter numbers the messages from seen on, if the client has read more messages than this session has sent. It has
// read them from an earlier process. Its numbers must not acknowledge messages of this process, nor come twice.
func (s *session) continueAfter(seen uint64) {
	if seen <= s.lastMessage {
		return
	}
	s.lastMessage = seen
	for i, message := range s.unacknowledged {
		s.lastMessage++
		renumbered := proto.CloneOf(message) // an earlier stream may still be sending the message
		renumbered.Number = s.lastMessage
		s.unacknowledged[i] = renumbered
	}
}

// newSession creates and registers a session without a stream.
func (f *Front) newSession(name string) *session {
	f.sessionsOpened++
	s := &session{front: f, name: name, number: sessionBit | f.sessionsOpened,
		openOffers: map[string]openOffer{}, runningTasks: map[string]string{}}
	f.sessions[name] = s
	return s
}

// detach ends the stream st. If st is the current stream of the session, the session then has no stream, and is
// deleted after sessionTimeoutUs unless another stream is attached before. Its open offers stay open until they get
// a response, at the latest at their deadlines, and its tasks keep running.
func (s *session) detach(st *stream) {
	st.end(nil)
	if s.stream != st {
		return
	}
	s.stream = nil
	s.expiry = s.front.loop.After(sessionTimeoutUs, func() {
		if s.front.sessions[s.name] == s {
			s.front.stored -= len(s.unacknowledged)
			delete(s.front.sessions, s.name)
		}
	})
}

// offer submits an offer that was received in the session. If the front is closing, too many offers are open, or the
// submission fails, it sends the client a rejection. A repeat of an offer that is open in the session is ignored.
func (s *session) offer(offer *edgepb.Offer, submission dispatch.Submission, token presentedToken) {
	if open, found := s.openOffers[submission.RequestID]; found && open.task == submission.Key {
		return // the response to the open offer also answers the repeat
	}
	if s.front.closing {
		s.pushRejection(submission.RequestID, submission.Key,
			retryStatus(codes.ResourceExhausted, "the orchestrator ends", defaultRetryAfter), nil)
		return
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

// rejectOffer sends the client a rejection of an offer that is invalid or that the dispatcher did not accept.
func (s *session) rejectOffer(offer *edgepb.Offer, err error) {
	s.pushRejection(offer.GetOfferId(), offer.GetTask(), err, nil)
	s.endIfAllResponded()
}

// release cancels an open offer or ends a running task of the session, and notifies the client itself, because the
// dispatcher sends no response to a cancel. If there is no such offer or task, the client gets no message.
func (s *session) release(requestID string) {
	switch s.front.dispatcher.Cancel(s.front.loop.Now(), s, requestID) {
	case dispatch.WasOpen:
		task := s.openOffers[requestID].task
		delete(s.openOffers, requestID)
		s.pushRejection(requestID, task, errCancelled, nil)
		s.endIfAllResponded()
	case dispatch.WasRunning:
		task := s.runningTasks[requestID]
		delete(s.runningTasks, requestID)
		s.pushEnded(&edgepb.Ended{OfferId: requestID, Task: task, How: edgepb.Ended_HOW_RELEASED})
	}
}
