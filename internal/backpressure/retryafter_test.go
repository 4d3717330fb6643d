package backpressure

import "testing"

// Given a thousand clients that are rejected at once, then they return over the time in
// which their capacity is released, and no slot is reserved beyond the release rate.
func TestReturnsSpread(t *testing.T) {
	c, now := saturated(withMaxRetryAfter(60*second), 50, 100)
	returns := map[int64]int{} // by slot
	var last int64
	for i := range 1000 {
		wait := c.Rejected(now, Request{Key: uint64(i), Class: 0, Units: 1, TimeoutUs: 6 * second})
		returns[(now+wait)/slotUs]++
		last = max(last, wait)
	}
	for slot, count := range returns {
		if count > 6 && slot != now/slotUs+1 {
			t.Errorf("%d in one slot at 5 a slot", count)
		}
	}
	if want := (1100/50 - 4) * second; last < want*8/10 || last > want*12/10 {
		t.Errorf("the last one returns after %.1f s, expected about %.1f", seconds(last), seconds(want))
	}
}

// Given that all pending requests are rejected at once, then the last one waits for the
// others, and for them once only.
func TestAllPendingRejected(t *testing.T) {
	c, now := saturated(withMaxRetryAfter(60*second), 50, 500)
	c.SetPending(now, []float64{0, 0, 0}) // as the dispatcher does before it rejects
	var last int64
	for i := range 500 {
		last = max(last, c.Rejected(now, Request{Key: uint64(i), Program: uint64(i % 50), Units: 1}))
	}
	if last < 9*second || last > 11*second {
		t.Errorf("500 at 50 a second: the last one returns after %.1f s", seconds(last))
	}
}

// Given a client that returns too early again and again, then it keeps its place, and the
// others keep theirs.
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
			t.Errorf("it is queued since %.1f s", seconds(since-testStart))
		}
		if again := now + c.Rejected(now, r); again > first+2*slotUs {
			t.Errorf("to return at %.2f s, then at %.2f s", seconds(first-testStart), seconds(again-testStart))
		}
	}
	if after := c.calendar.total(0); after > before+0.01 {
		t.Errorf("%.1f units are reserved, %.1f before", after, before)
	}
}

// Given clients that stay away for a third of Retry-After, then the compliance of their
// class becomes a third, and that of other classes stays.
func TestComplianceLearned(t *testing.T) {
	c, now := saturated(testSettings(), 20, 200)
	for i := range 300 {
		r := Request{Key: uint64(i), Class: 0, Units: 1, TimeoutUs: 6 * second}
		wait := c.Rejected(now, r)
		c.Requested(now+wait/3, r)
	}
	if got := c.compliance[0]; got < 0.28 || got > 0.4 {
		t.Errorf("learned a compliance of %.2f, expected 0.33", got)
	}
	if c.compliance[1] != 1 {
		t.Error("another class learned from it")
	}
}

// Given classes of different priority, then the higher one returns first, and the lower
// one still gets its floor.
func TestPrioritiesAndFloor(t *testing.T) {
	s := withMaxRetryAfter(90 * second)
	c, now := saturated(s, 50, 100)
	for i := range 2000 {
		c.Rejected(now, Request{Key: uint64(i), Class: 1, Units: 1})
	}
	if web := c.Rejected(now, Request{Key: 1 << 30, Class: 0, Units: 1}); web > 16*second || web < 10*second {
		t.Errorf("the first guide-web behind 2,000 live-relays returns after %.1f s; its floor is 7.5 a second behind 101",
			seconds(web))
	}

	c, now = saturated(s, 50, 100)
	for i := range 1000 {
		c.Rejected(now, Request{Key: uint64(i), Class: 0, Units: 1})
	}
	if relay := c.Rejected(now, Request{Key: 1 << 30, Class: 1, Units: 1}); relay > second/2 {
		t.Errorf("a live-relay behind 1,000 guide-webs returns after %.1f s", seconds(relay))
	}
}

// Given one program with nine tenths of the rejections, then the other programs do not wait
// for all of these, and it still gets what they leave.
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
		t.Errorf("the last one of the heavy program returns after %.1f s, of the others after %.1f s",
			seconds(heavy), seconds(light))
	}
}

// Given a second retry storm amid the first, then its clients return behind those of the first.
func TestSecondStormReturnsBehindFirst(t *testing.T) {
	c, now := saturated(withMaxRetryAfter(90*second), 50, 100)
	var first, later int64
	for i := range 500 {
		r := Request{Key: uint64(i), Program: uint64(i % 50), Units: 1, TimeoutUs: second}
		first = max(first, now+c.Rejected(now, r))
	}
	for i := range 100 { // tasks of the first go on starting
		now += second / 50
		c.SetPending(now, []float64{100, 0, 0})
		c.Started(now, Request{Key: uint64(1<<41 + i), Units: 1})
	}
	for i := range 500 {
		r := Request{Key: uint64(1000 + i), Program: uint64(i % 50), Units: 1, TimeoutUs: second}
		later = max(later, now+c.Rejected(now, r))
	}
	if gap := later - first; gap < 7*second || gap > 15*second {
		t.Errorf("the second ends %.1f s after the first, expected about 10", seconds(gap))
	}
}
