package backpressure

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"ravenhitch/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "20261201") }

// testStart is the time at which tests begin, in microseconds.
const testStart = int64(1_700_000_000_000_000)

// testSettings returns settings with three classes of increasing priority.
func testSettings() Settings {
	return Settings{
		Classes:         []Class{{"guide-web", 1}, {"live-relay", 3}, {"archive-cut", 5}},
		MaxRetryAfterUs: 3 * second,
	}
}

// withMaxRetryAfter returns testSettings with the given upper bound of Retry-After.
func withMaxRetryAfter(maxRetryAfterUs int64) Settings {
	s := testSettings()
	s.MaxRetryAfterUs = maxRetryAfterUs
	return s
}

// saturated returns a Controller after three seconds of starts at the given rate, in units
// per second, with the given number of units pending. It also returns the time at the end.
func saturated(s Settings, rate, pending float64) (*Controller, int64) {
	c := New(s, 1)
	now := testStart
	for i := range int(rate * 3) {
		now = testStart + int64(float64(i)/rate*float64(second))
		c.SetPending(now, []float64{pending, 0, 0})
		c.Started(now, Request{Key: uint64(1<<40 + i), Units: 1})
	}
	return c, now
}

// seconds converts microseconds to seconds.
func seconds(us int64) float64 { return float64(us) / float64(second) }

// A client that arrives at an orchestrator for the first time and has a retry token is queued
// since the time that its token proves, also after another rejection. A token with a time in
// the future has no effect.
func TestQueuedSinceOfRetryToken(t *testing.T) {
	c, now := saturated(testSettings(), 50, 300)
	since := now - 4*second
	r := Request{Key: 9, Units: 1, TimeoutUs: 6 * second, QueuedSinceUs: since}
	if at := c.Requested(now, r); at != since {
		t.Errorf("client is queued since %d us after the time in its token, want 0", at-since)
	}
	c.Rejected(now, r)
	if at := c.Requested(now+second, Request{Key: 9, Units: 1}); at > since+tickUs {
		t.Errorf("after another rejection, client is queued since %d us after the time in its token, want at most %d",
			at-since, tickUs)
	}
	if at := c.Requested(now, Request{Key: 10, Units: 1, QueuedSinceUs: now + second}); at != now {
		t.Errorf("with a token time in the future, client is queued since now%+d us, want now", at-now)
	}
}

// For any order of events, even if the clock goes back, results stay within their bounds
// and the calendar's totals equal the sums over its slots.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testSettings()
		s.MaxClients = 64
		c := New(s, rapid.Uint64().Draw(t, "seed"))
		now := testStart
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Int64Range(-second, 3*second).Draw(t, "time")
			sendRandomEvent(t, c, now)
			checkCalendarSums(t, c)
		}
	})
}

// sendRandomEvent calls randomly selected methods of c with random arguments, and checks the
// results of Requested and Rejected.
func sendRandomEvent(t *rapid.T, c *Controller, now int64) {
	t.Helper()
	r := Request{
		Key:       rapid.Uint64Range(0, 300).Draw(t, "key"),
		Class:     rapid.IntRange(-1, 4).Draw(t, "class"),
		Units:     rapid.Float64Range(0.01, 20).Draw(t, "units"),
		TimeoutUs: rapid.Int64Range(0, 10*second).Draw(t, "timeout"),
	}
	switch rapid.IntRange(0, 6).Draw(t, "event") {
	case 0:
		if since := c.Requested(now, r); since > now {
			t.Fatalf("client is queued since %d, want at most the current time %d", since, now)
		}
	case 1:
		c.Started(now, r)
	case 2, 3:
		if wait := c.Rejected(now, r); wait < 0 || wait > c.settings.MaxRetryAfterUs {
			t.Fatalf("Retry-After is %d us, want between 0 and %d", wait, c.settings.MaxRetryAfterUs)
		}
	case 4:
		c.SetPending(now, []float64{r.Units, 0, r.Units})
	case 5:
		c.Ended(now, r)
		c.Adopted(now, r)
		c.Cancelled(now, r)
	case 6:
		c.Tick(now)
	}
}

// checkCalendarSums checks that the calendar's total of each class equals the sum over its
// slots.
func checkCalendarSums(t *rapid.T, c *Controller) {
	t.Helper()
	for class := range c.settings.Classes {
		var sum float64
		for slot := range int64(calendarSlots) {
			sum += float64(*c.calendar.at(slot, class))
		}
		if difference := sum - c.calendar.total(class); difference > 0.1 || difference < -0.1 {
			t.Fatalf("class %d: total is %.2f units, want %.2f, the sum over the slots", class, c.calendar.total(class), sum)
		}
	}
}

// If clients request many times more units than fit into the calendar, Retry-After stays
// within its bounds. The reserved units are dropped after their slots have passed.
func TestEverySlotReserved(t *testing.T) {
	c, now := saturated(testSettings(), 10, 100)
	for i := range 50_000 {
		r := Request{Key: uint64(i), Program: uint64(i), Units: 4, TimeoutUs: second}
		if wait := c.Rejected(now, r); wait < 0 || wait > 3*second {
			t.Fatalf("Retry-After is %.1f s, want between 0 and 3 s", seconds(wait))
		}
	}
	if f := c.Figures(now); f.ReservedUnits < 100_000 {
		t.Errorf("%.0f units are reserved, want at least 100000", f.ReservedUnits)
	}
	now += 200 * second
	c.SetPending(now, nil)
	if f := c.Figures(now); f.ReservedUnits != 0 {
		t.Errorf("%.0f units are still reserved 200 s later, want 0", f.ReservedUnits)
	}
}

// The waitlist keeps its size when a million clients are rejected.
func TestMemoryOfAMillionClients(t *testing.T) {
	s := testSettings()
	s.MaxClients = 4096
	c, now := saturated(s, 100, 10)
	entries := len(c.waitlist.entries)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 1_000_000 {
		now += 20
		r := Request{Key: rng.Uint64(), Class: rng.IntN(3), Units: 1, TimeoutUs: 6 * second}
		c.Requested(now, r)
		if wait := c.Rejected(now, r); wait > s.MaxRetryAfterUs {
			t.Fatalf("Retry-After is %d us, want at most %d", wait, s.MaxRetryAfterUs)
		}
	}
	if len(c.waitlist.entries) != entries {
		t.Errorf("waitlist has %d entries, want %d", len(c.waitlist.entries), entries)
	}
}
