package grpcfront

import (
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/placement"
)

// respondStarted notifies a session that a worker has started a task.
func respondStarted(s *session, requestID string) {
	s.Respond(dispatch.Response{Kind: dispatch.Started, RequestID: requestID, Worker: "a"})
}

// A client that does not read loses its stream, and none of the messages that are stored for it.
func TestSlowReader(t *testing.T) {
	front, _ := newFront()
	slow := newStream()
	s := front.attach("s", 0, slow)
	for range maxOutbox + 1 {
		respondStarted(s, "x")
	}
	if !slow.ended || status.Code(slow.err) != codes.ResourceExhausted {
		t.Fatalf("ended %v with %v", slow.ended, slow.err)
	}
	s.detach(slow)
	next := newStream()
	front.attach("s", maxOutbox-1, next)
	if len(next.outbox) != 2 || (<-next.outbox).Number != maxOutbox {
		t.Errorf("%d messages came again", len(next.outbox)+1)
	}
	if next.ended {
		t.Error("the new stream ended")
	}
}

// Acknowledged messages are not sent again, and a newer stream replaces the one before.
func TestNewerStreamReplaces(t *testing.T) {
	front, loop := newFront()
	first, second := newStream(), newStream()
	s := front.attach("s", 0, first)
	respondStarted(s, "x")
	s.Respond(dispatch.Response{Kind: dispatch.Completed, RequestID: "x", Outcome: placement.Reset, Cause: placement.CauseEvicted})
	if m := <-first.outbox; m.GetBinding().GetNode() != "a" {
		t.Errorf("got %v", m)
	}
	if m := <-first.outbox; m.GetEnded().GetHow() != edgepb.Ended_HOW_LOST || m.GetEnded().GetReason() == "" {
		t.Errorf("got %v", m)
	}
	s.acknowledge(1)
	if front.attach("s", 0, second) != s || status.Code(first.err) != codes.Aborted || len(second.outbox) != 1 {
		t.Errorf("the first stream ended with %v, %d messages came again", first.err, len(second.outbox))
	}
	s.detach(first) // late, when it is not the session's stream any more
	if s.stream != second || len(loop.timers) != 0 {
		t.Error("a stream that was replaced detached the session")
	}
}

// A session without a stream expires.
func TestSessionExpires(t *testing.T) {
	front, loop := newFront()
	only := newStream()
	s := front.attach("s", 0, only)
	s.detach(only)
	if len(loop.timers) != 1 {
		t.Fatalf("%d timers", len(loop.timers))
	}
	loop.timers[0]()
	if len(front.sessions) != 0 {
		t.Error("the session is still there")
	}
}

// The sessions are bounded; a stream that opens one over that is ended.
func TestSessionsAreBounded(t *testing.T) {
	front, _ := newFront()
	for i := range maxSessions {
		front.attach(string(rune('a'+i)), 0, newStream())
	}
	if over := newStream(); front.attach("one more", 0, over) != nil || status.Code(over.err) != codes.Unavailable {
		t.Errorf("over the limit: %v", over.err)
	}
}
