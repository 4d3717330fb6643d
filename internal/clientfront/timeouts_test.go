package clientfront

import (
	"testing"
	"time"

	"ravenhitch/placement"
)

// Guards against a connection that is closed as idle while a task of its client runs: the client sends nothing until the
// completion, and a client that connects again and says nothing is not told of it.
func TestConnectionWithTaskIsNotIdle(t *testing.T) {
	const adopted = `{"verb":"START","tag":"000000000000000a","opts":{"class":"web","key":"k","extras":"cores:1;memory:1;at:w"},"blob":"d"}`
	front := startFront(t, 10)
	front.onLoop(func() {
		list := placement.WorkerList{Kind: placement.ListFull, Entries: []placement.Entry{{Worker: "w", Kind: "std"}}}
		front.dispatcher.UpdateWorkers(front.loop.Now(), list)
		front.idleTimeoutUs = 100 * millisecond
	})
	owner := front.dial(t)
	owner.send(t, adopted, echo)
	owner.expect(t, echoed)
	for range 2 { // each is closed as idle, later than the owner would be
		idle := front.dial(t)
		idle.send(t, echo)
		idle.expect(t, echoed)
		idle.expectEnd(t)
	}
	front.onLoop(func() {
		front.dispatcher.TaskEnded(front.loop.Now(), "w", "000000000000000a", placement.Completed, placement.CauseUnknown)
	})
	owner.expect(t, finish(10, 16))
	owner.expectEnd(t) // it has no task any more
	front.onLoop(func() {
		if len(front.tasks) > 0 {
			t.Errorf("%d tasks are recorded after the last has ended, want none", len(front.tasks))
		}
	})
}

// A client that never sends its first message is disconnected, but not within the 2 s that it may take to send one.
func TestSilentClientIsDisconnected(t *testing.T) {
	c := startFront(t, 10).dial(t)
	startedAt := time.Now()
	c.expectEnd(t)
	if d := time.Since(startedAt); d < 2*time.Second {
		t.Errorf("silent client was disconnected after %s, want 2 s or more", d)
	}
}
