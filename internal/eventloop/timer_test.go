package eventloop

import (
	"testing"

	"ravenhitch/internal/testbed"
)

// TestTimers checks that timers fire in the order of their times, and that a stopped timer does not fire.
func TestTimers(t *testing.T) {
	loop, onLoop := startLoop(t, 2)
	var order []int
	done := make(chan bool, 1)
	onLoop(func() {
		loop.After(3000, func() { order = append(order, 2); done <- true })
		loop.After(1000, func() { order = append(order, 1) })
		stopped := loop.After(2000, func() { order = append(order, 9) })
		stopped.Stop()
		if stopped.Pending() {
			t.Error("Pending of a stopped timer: got true, want false")
		}
	})
	testbed.Wait(t, "the last timer", done)
	onLoop(func() {
		if len(order) != 2 || order[0] != 1 {
			t.Errorf("timers fired in order %v, want [1 2]", order)
		}
	})
}
