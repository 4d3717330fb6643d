package backpressure

import "testing"

// During a surge, capacity is reserved for the requests of higher priority. No capacity is
// reserved without a surge, or if many requests come from only a few sources.
func TestHigherPriorityDemand(t *testing.T) {
	c := New(testSettings(), 1)
	now := testStart
	for i := range 100 {
		now += second / 10
		c.Requested(now, Request{Key: uint64(i), Class: i % 2, Units: 1})
		c.Tick(now)
	}
	if units := c.HigherPriorityDemand(now); units[0] != 0 {
		t.Errorf("at 10 requests per second, units %v are reserved, want 0 for class 0", units)
	}

	for i := range 100 {
		now += second / 400
		c.Requested(now, Request{Key: uint64(1000 + i), Class: i % 2, Units: 1})
	}
	if units := c.HigherPriorityDemand(now); units[0] < 60 || units[0] > 160 || units[2] != 0 {
		t.Errorf("at 200 live-relay requests per second, units %v are reserved, "+
			"want 60 to 160 for class 0 and 0 for class 2", units)
	}
	if units := c.HigherPriorityDemand(now + second); units[0] != 0 {
		t.Errorf("one second after the surge, units %v are reserved, want 0 for class 0", units)
	}

	now += second
	for i := range 300 { // from one source
		c.Requested(now, Request{Key: uint64(2000 + i), Class: 1, Units: 1, Connection: 5})
	}
	for i := range 300 { // from five sources
		c.Requested(now, Request{Key: uint64(3000 + i), Class: 1, Units: 1, Connection: uint64(6 + i%5)})
	}
	for range 10 {
		now += second / 50
		if units := c.HigherPriorityDemand(now); units[0] != 0 {
			t.Errorf("after 600 requests at once from few sources, units %v are reserved, want 0 for class 0", units)
		}
	}
}
