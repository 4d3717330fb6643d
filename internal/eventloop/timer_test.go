package eventloop

import (
	"testing"

	"ravenhitch/internal/testbed"
)

// Timers fire in the order of their times, and not once they were stopped.
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
			t.Error("a stopped timer is pending")
		}
	})
	testbed.Wait(t, "the timers", done)
	onLoop(func() {
		if len(order) != 2 || order[0] != 1 {
			t.Errorf("called in order %v", order)
		}
	})
}
