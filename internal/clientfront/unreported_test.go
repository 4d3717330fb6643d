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
		disconnected.Respond(dispatch.Response{Kind: dispatch.Completed, RequestID: fmt.Sprintf("%016x", id),
			Outcome: placement.Completed})
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
	unused, active := front.dial(t), front.dial(t)
	active.send(t, echo)
	active.expect(t, echoed)
	completed := time.Now()
	front.complete(1)
	active.expect(t, finish(1, 16))
	if d := time.Since(completed); d < 500*time.Millisecond {
		t.Errorf("it was reported after %s", d)
	}
	unused.send(t, echo)
	unused.expect(t, echoed)
}
