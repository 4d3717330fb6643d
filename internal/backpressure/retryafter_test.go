package backpressure

import "testing"

// If a thousand clients are rejected at once, their returns are spread over the time in
// which capacity for them is released. Except in the first slot, at most one more client
// returns in a slot than the release rate allows.
func TestReturnsSpread(t *testing.T) {
	c, now := saturated(withMaxRetryAfter(60*second), 50, 100)
	returns := map[int64]int{} // number of returns in each slot
	var last int64
	for i := range 1000 {
		wait := c.Rejected(now, Request{Key: uint64(i), Class: 0, Units: 1, TimeoutUs: 6 * second})
		returns[(now+wait)/slotUs]++
		last = max(last, wait)
	}
	for slot, count := range returns {
		if count > 6 && slot != now/slotUs+1 {
			t.Errorf("%d clients return in slot %d, want at most 6 at a release rate of 5 per slot", count, slot)
		}
	}
	if want := (1100/50 - 4) * second; last < want*8/10 || last > want*12/10 {
		t.Errorf("last client returns after %.1f s, want %.1f s within 20%%", seconds(last), seconds(want))
	}
}

// If all pending requests are rejected at once, each of them counts only once in the
// Retry-After of the last one: as reserved units, and not also as pending units.
func TestAllPendingRejected(t *testing.T) {
	c, now := saturated(withMaxRetryAfter(60*second), 50, 500)
	c.SetPending(now, []float64{0, 0, 0}) // as the dispatcher does before it rejects requests
	var last int64
	for i := range 500 {
		last = max(last, c.Rejected(now, Request{Key: uint64(i), Program: uint64(i % 50), Units: 1}))
	}
	if last < 9*second || last > 11*second {
		t.Errorf("with 500 clients at 50 per second, the last one returns after %.1f s, want 9 to 11 s", seconds(last))
	}
}

// A client that repeatedly returns too early keeps its place on the waitlist, and does not
// increase the number of reserved units.
func TestEarlyReturnKeepsPlace(t *testing.T) {
	c, now := saturated(withMaxRetryAfter(60*second), 50, 300)
	r := Request{Key: 7, Class: 0, Units: 1, TimeoutUs: second}
	first := now + c.Rejected(now, r)
	for i := range 500 {
		c.Rejected(now, Request{Key: uint64(100 + i), Class: 0, Units: 1, TimeoutUs: second})
	}
	before := c.calendar.total(0)
	for range 10 {
		now += second / 10
		c.SetPending(now, []float64{300, 0, 0})
		c.Started(now, Request{Key: uint64(now), Units: 5})
		if since := c.Requested(now, r); since > testStart+4*second {
			t.Errorf("client is queued since %.1f s after the start of the test, want at most 4 s", seconds(since-testStart))
		}
		if again := now + c.Rejected(now, r); again > first+2*slotUs {
			t.Errorf("client is to return %.2f s after the start of the test, want at most two slots after %.2f s, "+
				"its return time from the first rejection",
				seconds(again-testStart), seconds(first-testStart))
		}
	}
	if after := c.calendar.total(0); after > before+0.01 {
		t.Errorf("%.1f units are reserved, want at most %.1f as before", after, before)
	}
}

// If clients stay away for a third of Retry-After, the compliance of their class becomes
// a third, and the compliance of other classes does not change.
func TestComplianceLearned(t *testing.T) {
	c, now := saturated(testSettings(), 20, 200)
	for i := range 300 {
		r := Request{Key: uint64(i), Class: 0, Units: 1, TimeoutUs: 6 * second}
		wait := c.Rejected(now, r)
		c.Requested(now+wait/3, r)
	}
	if got := c.compliance[0]; got < 0.28 || got > 0.4 {
		t.Errorf("compliance is %.2f, want 0.28 to 0.40", got)
	}
	if c.compliance[1] != 1 {
		t.Errorf("compliance of another class is %.2f, want 1", c.compliance[1])
	}
}

// If two classes have different priorities, clients of the class with the higher priority
// return first. The other class still gets floorShare of the release rate.
func TestPrioritiesAndFloor(t *testing.T) {
	s := withMaxRetryAfter(90 * second)
	c, now := saturated(s, 50, 100)
	for i := range 2000 {
		c.Rejected(now, Request{Key: uint64(i), Class: 1, Units: 1})
	}
	if web := c.Rejected(now, Request{Key: 1 << 30, Class: 0, Units: 1}); web > 16*second || web < 10*second {
		t.Errorf("first guide-web client behind 2,000 live-relay clients returns after %.1f s, want 10 to 16 s "+
			"for 101 units at the floor of 7.5 units per second", seconds(web))
	}

	c, now = saturated(s, 50, 100)
	for i := range 1000 {
		c.Rejected(now, Request{Key: uint64(i), Class: 0, Units: 1})
	}
	if relay := c.Rejected(now, Request{Key: 1 << 30, Class: 1, Units: 1}); relay > second/2 {
		t.Errorf("live-relay client rejected after 1,000 guide-web clients returns after %.1f s, want at most 0.5 s",
			seconds(relay))
	}
}

// If one program has nine tenths of the rejections, the other programs do not have to wait
// until all of its requests are served. The program still gets the capacity that the other
// programs do not use.
func TestFairShareOfPrograms(t *testing.T) {
	c, now := saturated(withMaxRetryAfter(90*second), 50, 100)
	const heavyProgram = uint64(1)
	var heavy, light int64
	for i := range 1000 {
		program := heavyProgram
		if i%10 == 0 {
			program = uint64(2 + i/10%20)
		}
		wait := c.Rejected(now, Request{Key: uint64(i), Program: program, Units: 1, TimeoutUs: second})
		if program == heavyProgram {
			heavy = max(heavy, wait)
		} else {
			light = max(light, wait)
		}
	}
	if light > heavy/2 || heavy > 26*second {
		t.Errorf("last client of the heavy program returns after %.1f s, want at most 26 s; "+
			"last client of the others after %.1f s, want at most half of the heavy program's time",
			seconds(heavy), seconds(light))
	}
}

// If a second retry storm begins during a first one, the clients of the second storm return
// after the clients of the first storm.
func TestSecondStormReturnsBehindFirst(t *testing.T) {
	c, now := saturated(withMaxRetryAfter(90*second), 50, 100)
	var first, later int64
	for i := range 500 {
		r := Request{Key: uint64(i), Program: uint64(i % 50), Units: 1, TimeoutUs: second}
		first = max(first, now+c.Rejected(now, r))
	}
	for i := range 100 { // tasks of the first storm continue to start
		now += second / 50
		c.SetPending(now, []float64{100, 0, 0})
		c.Started(now, Request{Key: uint64(1<<41 + i), Units: 1})
	}
	for i := range 500 {
		r := Request{Key: uint64(1000 + i), Program: uint64(i % 50), Units: 1, TimeoutUs: second}
		later = max(later, now+c.Rejected(now, r))
	}
	if gap := later - first; gap < 7*second || gap > 15*second {
		t.Errorf("last return of the second storm is %.1f s after that of the first, want 7 to 15 s", seconds(gap))
	}
}
