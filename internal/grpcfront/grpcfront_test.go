package grpcfront

import (
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/placement"
)

// still is a loop that runs what was posted when it is told to.
type still struct {
	posted []func()
	timers []func()
}

func (l *still) Post(f func()) { l.posted = append(l.posted, f) }
func (l *still) Now() int64    { return 1 }
func (l *still) After(_ int64, f func()) *eventloop.Timer {
	l.timers = append(l.timers, f)
	return nil
}

// none is a core that takes everything and answers nothing.
type none struct{}

func (none) Submit(int64, dispatch.Client, dispatch.Submission) error    { return nil }
func (none) Cancel(int64, dispatch.Client, string) dispatch.CancelResult { return dispatch.NotFound }
func (none) Class(string) (dispatch.Class, bool)                         { return dispatch.Class{TimeoutUs: 1000}, true }
func (none) IsResumable(string) bool                                     { return true }
func newStream() *stream {
	return &stream{out: make(chan *edgepb.ServerMessage, outMost), over: make(chan struct{})}
}
func newFront() (*Front, *still) { l := &still{}; return New(l, none{}, insecure.NewCredentials()), l }
func bound(s *session, id string) {
	s.Respond(dispatch.Response{Kind: dispatch.Started, RequestID: id, Worker: "a"})
}

// What waits for the loop is bounded; what comes over it is refused at once.
func TestQueueIsBounded(t *testing.T) {
	f, l := newFront()
	for i := range queueMost {
		if err := f.ask(func() {}); err != nil {
			t.Fatalf("call %d: %v", i, err)
		}
	}
	if err := f.ask(func() {}); status.Code(err) != codes.ResourceExhausted || len(l.posted) != queueMost {
		t.Fatalf("got %v with %d posted", err, len(l.posted))
	}
	for _, g := range l.posted {
		g()
	}
	if err := f.ask(func() {}); err != nil {
		t.Errorf("after the loop ran: %v", err)
	}
}

// A client that does not read loses its stream and none of its messages, as far
// as they are kept.
func TestSlowReader(t *testing.T) {
	f, _ := newFront()
	st := newStream()
	s := f.attach("s", 0, st)
	for range outMost + 1 {
		bound(s, "x")
	}
	if !st.ended || status.Code(st.err) != codes.ResourceExhausted {
		t.Fatalf("ended %v with %v", st.ended, st.err)
	}
	s.detach(st)
	again := newStream()
	f.attach("s", outMost-1, again)
	if len(again.out) != 2 || (<-again.out).Number != outMost {
		t.Errorf("%d messages came again", len(again.out)+1)
	}
	if again.ended {
		t.Error("the new stream ended")
	}
}

// Acknowledged messages are let go, a newer stream takes over, and a session
// without a stream is given up in the end.
func TestSessions(t *testing.T) {
	f, l := newFront()
	first, second := newStream(), newStream()
	s := f.attach("s", 0, first)
	bound(s, "x")
	s.Respond(dispatch.Response{Kind: dispatch.Completed, RequestID: "x", Outcome: placement.Reset, Cause: placement.CauseEvicted})
	if m := <-first.out; m.GetBinding().GetNode() != "a" {
		t.Errorf("got %v", m)
	}
	if m := <-first.out; m.GetEnded().GetHow() != edgepb.Ended_HOW_LOST || m.GetEnded().GetReason() == "" {
		t.Errorf("got %v", m)
	}
	s.acknowledge(1)
	if f.attach("s", 0, second) != s || status.Code(first.err) != codes.Aborted || len(second.out) != 1 {
		t.Errorf("the first stream ended with %v, %d messages came again", first.err, len(second.out))
	}
	s.detach(first) // late, and no longer its stream
	if s.at != second {
		t.Error("a stream that was replaced took the session along")
	}
	s.detach(second)
	if len(l.timers) != 1 {
		t.Fatalf("%d timers", len(l.timers))
	}
	l.timers[0]()
	if len(f.sessions) != 0 {
		t.Error("the session is still there")
	}
	for i := range sessionsMost {
		f.attach(string(rune('a'+i)), 0, newStream())
	}
	if over := newStream(); f.attach("one more", 0, over) != nil || status.Code(over.err) != codes.Unavailable {
		t.Errorf("over the limit: %v", over.err)
	}
}
