package clientfront

import (
	"fmt"
	"testing"
	"time"

	"ravenhitch/internal/dispatch"
	"ravenhitch/placement"
)

// complete reports the completion of a task whose client is no longer connected.
func (f testFront) complete(id int) {
	f.onLoop(func() {
		disconnected := &clientConn{front: f.Front}
		disconnected.Respond(dispatch.Response{Kind: dispatch.Completed, RequestID: fmt.Sprintf("%016x", id),
			Outcome: placement.Completed})
	})
}

// hasUndelivered calls HasUndelivered on the event loop, for use by other goroutines.
func (f testFront) hasUndelivered() (has bool) {
	f.onLoop(func() { has = f.HasUndelivered() })
	return has
}

// A completion for which no client is connected is stored until a client sends a ping. It is reported before the
// response to the ping.
func TestUnreportedCompletionsWait(t *testing.T) {
	front := startFront(t, 10)
	front.complete(1)
	front.complete(2)
	if !front.hasUndelivered() {
		t.Error("HasUndelivered: got false with unreported completions, want true")
	}
	c := front.dial(t)
	c.send(t, echo)
	c.expect(t, finish(1, 16), finish(2, 16), echoed)
	if front.hasUndelivered() {
		t.Error("HasUndelivered: got true after all completions were reported, want false")
	}
}

// If no client had a task and none sends a ping after the completion, the completion is reported after 500 ms. It is
// reported to a client that has sent a message, and not to one that has sent nothing.
func TestUnreportedCompletionGoesToAnyClientInTheEnd(t *testing.T) {
	front := startFront(t, 10)
	unused, active := front.dial(t), front.dial(t)
	active.send(t, echo)
	active.expect(t, echoed)
	completed := time.Now()
	front.complete(1)
	active.expect(t, finish(1, 16))
	if d := time.Since(completed); d < 500*time.Millisecond {
		t.Errorf("completion was reported after %s, want 500 ms or more", d)
	}
	unused.send(t, echo)
	unused.expect(t, echoed)
}
