package backpressure

import "testing"

// Given a surge, then capacity is reserved for its higher priorities; in a busy second
// without one, and for many requests of few sources, none is.
func TestHigherPriorityDemand(t *testing.T) {
	c := New(testSettings(), 1)
	now := testStart
	for i := range 100 {
		now += second / 10
		c.Requested(now, Request{Key: uint64(i), Class: i % 2, Units: 1})
		c.Tick(now)
	}
	if units := c.HigherPriorityDemand(now); units[0] != 0 {
		t.Errorf("at ten a second %v are reserved", units)
	}

	for i := range 100 {
		now += second / 400
		c.Requested(now, Request{Key: uint64(1000 + i), Class: i % 2, Units: 1})
	}
	if units := c.HigherPriorityDemand(now); units[0] < 60 || units[0] > 160 || units[2] != 0 {
		t.Errorf("with 200 live-relays a second %v are reserved", units)
	}
	if units := c.HigherPriorityDemand(now + second); units[0] != 0 {
		t.Errorf("a second later %v are reserved", units)
	}

	now += second
	for i := range 300 { // from one source
		c.Requested(now, Request{Key: uint64(2000 + i), Class: 1, Units: 1, Connection: 5})
	}
	for i := range 300 { // from a few
		c.Requested(now, Request{Key: uint64(3000 + i), Class: 1, Units: 1, Connection: uint64(6 + i%5)})
	}
	for range 10 {
		now += second / 50
		if units := c.HigherPriorityDemand(now); units[0] != 0 {
			t.Errorf("after hundreds at once from few sources %v are reserved", units)
		}
	}
}
