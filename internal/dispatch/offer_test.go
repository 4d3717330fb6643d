package dispatch

import (
	"errors"
	"testing"

	"ravenhitch/placement"
)

// The rules hold whatever the scheduler asks for.
func TestOfferRules(t *testing.T) {
	h := newHarness(t)
	h.updateWorkers(placement.ListFull, placement.Ready, "a", "b")
	h.mustSubmit("t1", "cut", "k1", 5000)
	h.advance(10 * millisecond)
	r := h.find("t1")
	h.execute(placement.Place{RequestID: "t1", Worker: "b"}) // an attempt is open
	h.endAttempt("t1", placement.Failed)
	h.execute(placement.Place{RequestID: "t1", Worker: "b"}) // it may have started
	h.execute(placement.Reject{RequestID: "t1"})             // and can't be rejected
	h.execute(placement.Place{RequestID: "t1", Worker: "b"}) // it is over

	h.mustSubmit("t2", "web", "k2", 5000)
	h.updateWorkers(placement.ListDelta, placement.Draining, "b")
	h.now += 1900 * millisecond
	h.Dispatcher.now = h.now
	h.execute(placement.Place{RequestID: "t2", Worker: "b"}) // draining for long

	if len(h.offers) != 1 || h.finalResponses["t1"] != Failed || r.state != stateRemoved || h.Counts().Blocked != 3 {
		t.Errorf("offers %v, response %v, counts %+v", h.offers, h.finalResponses["t1"], h.Counts())
	}
}

// Each rule has an error of its own.
func TestCheckPlacement(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   string
		prepare func(h *harness, r *request)
		want    error
	}{
		{"nothing against it", "web", func(*harness, *request) {}, nil},
		{"not pending", "web", func(h *harness, r *request) { h.transition(r, eventOffered) }, ErrNotPending},
		{"no attempts left", "web", func(h *harness, r *request) { r.attemptCount = h.settings.MaxAttempts }, ErrNoAttemptsLeft},
		{"may have started", "cut", func(_ *harness, r *request) { r.mayHaveRun = true }, ErrSecondStart},
		{"may have started, harmless", "web", func(_ *harness, r *request) { r.mayHaveRun = true }, nil},
		{"deadline", "web", func(h *harness, r *request) { h.Dispatcher.now = r.deadline }, ErrDeadlinePassed},
		{"just before the deadline", "web", func(h *harness, r *request) { h.Dispatcher.now = r.deadline - 1 }, nil},
		{"draining for long", "web", func(h *harness, _ *request) {
			h.drainingSince["a"] = h.now - drainLimit + drainMargin
		}, ErrWorkerDraining},
		{"just draining", "web", func(h *harness, _ *request) {
			h.drainingSince["a"] = h.now - drainLimit + drainMargin + 1
		}, nil},
		{"out of the window", "all", func(h *harness, r *request) {
			r.mayHaveRun, r.firstRun.at = true, h.now-700*millisecond
		}, ErrRepeatUnknown},
		{"another zone", "zone", func(h *harness, r *request) {
			r.mayHaveRun, r.firstRun = true, firstAttempt{zone: "h2", at: h.now}
		}, ErrOutsideGroup},
		{"another cell", "cell", func(h *harness, r *request) {
			r.mayHaveRun, r.firstRun = true, firstAttempt{cell: 2, at: h.now}
		}, ErrOutsideGroup},
	} {
		h := newHarness(t)
		h.updateWorkers(placement.ListFull, placement.Ready, "a")
		h.mustSubmit("t1", c.class, "k1", 2000)
		r := h.find("t1")
		c.prepare(h, r)
		if err := h.checkPlacement(r, "a"); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}

// An offer whose request is over does not leave.
func TestCheckOfferOfUnknownRequest(t *testing.T) {
	h := newHarness(t)
	if err := h.CheckOffer(h.now, "a", "t1"); !errors.Is(err, ErrRequestOver) {
		t.Errorf("got %v", err)
	}
}

// A keyed task that may have started goes only to workers of its group, and only while they
// know its repeats, whenever its offer leaves; its client is rejected only where any worker
// would know it.
func TestKeyedRepeats(t *testing.T) {
	for _, c := range []struct {
		class    string
		leaves   map[string]bool // in the window, by worker
		response ResponseKind
	}{
		{"all", map[string]bool{"a": true, "near": true, "zone": true, "far": true}, Rejected},
		{"zone", map[string]bool{"a": true, "near": true, "zone": true, "far": false, "unlisted": false}, Failed},
		{"cell", map[string]bool{"a": true, "near": true, "zone": false, "far": false, "unlisted": false}, Failed},
		{"web", map[string]bool{"a": true, "far": true, "unlisted": true}, Rejected},
		{"cut", map[string]bool{"a": true}, Failed},
	} {
		h := newHarness(t)
		isKeyed := h.effects[c.class] == placement.Keyed
		offeredAt := h.givenResetAttempt(c.class)

		for worker, leaves := range c.leaves {
			if err := h.CheckOffer(offeredAt+699*millisecond, worker, "t1"); (err == nil) != leaves {
				t.Errorf("%s to %s in the window: %v", c.class, worker, err)
			}
			if err := h.CheckOffer(offeredAt+700*millisecond, worker, "t1"); (err == nil) != (leaves && !isKeyed) {
				t.Errorf("%s to %s past the window: %v", c.class, worker, err)
			}
		}
		h.ObserveTurn(200 * millisecond) // an offer leaves at the end of a turn
		for passed, open := range map[int64]bool{499 * millisecond: true, 500 * millisecond: !isKeyed} {
			if err := h.CheckOffer(offeredAt+passed, "a", "t1"); (err == nil) != (open && c.leaves["a"]) {
				t.Errorf("%s after %d ms, under long turns: %v", c.class, passed/millisecond, err)
			}
		}
		if h.rejectOrFail(h.requests["t1"]); h.finalResponses["t1"] != c.response {
			t.Errorf("%s: response %v", c.class, h.finalResponses["t1"])
		}
	}
}

// givenResetAttempt submits t1 of a class, whose attempt at worker a is reset, and lists workers in its
// cell (near), in its zone (zone) and elsewhere (far). It returns when t1 was offered.
func (h *harness) givenResetAttempt(class string) (offeredAt int64) {
	h.t.Helper()
	ready := func(worker, zone string, cell int) placement.Entry {
		return placement.Entry{Worker: worker, Kind: "std", Zone: zone, Cell: cell, FreeCores: 32, FreeMemory: 64}
	}
	h.UpdateWorkers(h.now, placement.WorkerList{Kind: placement.ListFull, Entries: []placement.Entry{ready("a", "h1", 1)}})
	h.mustSubmit("t1", class, "k1", 2000)
	offeredAt = h.now
	h.advance(10 * millisecond)
	h.UpdateWorkers(h.now, placement.WorkerList{Entries: []placement.Entry{
		ready("near", "h1", 1), ready("zone", "h1", 2), ready("far", "h2", 3)}})
	h.withholdConfirm = true
	if h.offered["t1"] != "a" {
		h.t.Fatalf("%s: offers %v", class, h.offers)
	}
	h.TaskEnded(h.now, "a", "t1", placement.Reset, 0)
	return offeredAt
}
