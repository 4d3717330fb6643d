package clientfront

import (
	"fmt"
	"testing"
	"time"

	"ravenhitch/internal/dispatch"
	"ravenhitch/placement"
)

// complete ends a running task whose client is not connected any more.
func (f testFront) complete(id int) {
	f.onLoop(func() {
		disconnected := &clientConn{front: f.Front}
		disconnected.Respond(dispatch.Response{Kind: dispatch.Completed, RequestID: fmt.Sprintf("%016x", id), Outcome: placement.Completed})
	})
}

// hasUndelivered is HasUndelivered, from another goroutine than the loop's.
func (f testFront) hasUndelivered() (has bool) {
	f.onLoop(func() { has = f.HasUndelivered() })
	return has
}

// A completion for which no client is connected waits for one, and is reported before the answer to the
// message that shows that there is one.
func TestUnreportedCompletionsWait(t *testing.T) {
	front := startFront(t, 10)
	front.complete(1)
	front.complete(2)
	if !front.hasUndelivered() {
		t.Error("a completion was lost")
	}
	c := front.dial(t)
	c.send(t, echo)
	c.expect(t, finish(1, 16), finish(2, 16), echoed)
	if front.hasUndelivered() {
		t.Error("completions wait that were reported")
	}
}

// A completion goes to a client that never had a task only after it has waited for a better one.
func TestUnreportedCompletionGoesToAnyClientInTheEnd(t *testing.T) {
	front := startFront(t, 10)
	silent, speaker := front.dial(t), front.dial(t)
	speaker.send(t, echo)
	speaker.expect(t, echoed)
	completed := time.Now()
	front.complete(1)
	speaker.expect(t, finish(1, 16))
	if d := time.Since(completed); d < 500*time.Millisecond {
		t.Errorf("it was reported after %s", d)
	}
	silent.send(t, echo)
	silent.expect(t, echoed)
}

// A connection that did more is the better one for completions, and the last to be closed for another;
// among equals the one that was active later is.
func TestConnectionsByUsage(t *testing.T) {
	byUsage := []*clientConn{
		{lastActiveAt: 9},
		{lastActiveAt: 8, partialSince: 8},
		{lastActiveAt: 5, hasMessage: true},
		{lastActiveAt: 6, hasMessage: true, partialSince: 6},
		{lastActiveAt: 4, hasMessage: true, hasTask: true},
		{lastActiveAt: 3, hasMessage: true, hasTask: true, hasStarted: true},
	}
	for i, lower := range byUsage {
		for j, higher := range byUsage {
			if got, want := lower.evictsBefore(higher), i < j; got != want {
				t.Errorf("connection %d is closed before %d: %t, expected %t", i, j, got, want)
			}
			if got, want := higher.reportsBefore(lower), i < j; got != want {
				t.Errorf("connection %d reports before %d: %t, expected %t", j, i, got, want)
			}
		}
	}
}
