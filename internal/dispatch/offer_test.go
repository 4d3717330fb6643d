package dispatch

import (
	"errors"
	"testing"

	"ravenhitch/placement"
)

// An offer that breaks a rule is not sent, whatever the scheduler chooses.
func TestOfferRules(t *testing.T) {
	h := newHarness(t)
	h.updateWorkers(placement.ListFull, placement.Ready, "a", "b")
	h.mustSubmit("t1", "cut", "k1", 5000)
	h.advance(10 * millisecond)
	r := h.find("t1")
	h.execute(placement.Place{RequestID: "t1", Worker: "b"}) // an attempt is open
	h.endAttempt("t1", placement.Failed)
	h.execute(placement.Place{RequestID: "t1", Worker: "b"}) // t1 may have started
	h.execute(placement.Reject{RequestID: "t1"})             // t1 may have started, so t1 fails
	h.execute(placement.Place{RequestID: "t1", Worker: "b"}) // t1 is over

	h.mustSubmit("t2", "web", "k2", 5000)
	h.updateWorkers(placement.ListDelta, placement.Draining, "b")
	h.now += 1900 * millisecond
	h.Dispatcher.now = h.now
	h.execute(placement.Place{RequestID: "t2", Worker: "b"}) // b has been draining for too long

	if len(h.offers) != 1 || h.finalResponses["t1"] != Failed || r.state != stateRemoved || h.Counts().Blocked != 3 {
		t.Errorf("offers %v, response kind of t1 %v, counts %+v; want 1 offer, Failed, 3 blocked and t1 removed",
			h.offers, h.finalResponses["t1"], h.Counts())
	}
}

// checkPlacement returns the error of the rule that is broken, or nil if none is.
func TestCheckPlacement(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   string
		prepare func(h *harness, r *request)
		want    error
	}{
		{"no rule broken", "web", func(*harness, *request) {}, nil},
		{"not pending", "web", func(h *harness, r *request) { h.transition(r, eventOffered) }, ErrNotPending},
		{"no attempts left", "web", func(h *harness, r *request) { r.attemptCount = h.settings.MaxAttempts }, ErrNoAttemptsLeft},
		{"may have started", "cut", func(_ *harness, r *request) { r.mayHaveRun = true }, ErrSecondStart},
		{"may have started, harmless", "web", func(_ *harness, r *request) { r.mayHaveRun = true }, nil},
		{"deadline", "web", func(h *harness, r *request) { h.Dispatcher.now = r.deadline }, ErrDeadlinePassed},
		{"just before the deadline", "web", func(h *harness, r *request) { h.Dispatcher.now = r.deadline - 1 }, nil},
		{"draining up to the limit", "web", func(h *harness, _ *request) {
			h.drainingSince["a"] = h.now - drainGrace + drainMargin
		}, ErrWorkerDraining},
		{"draining until just before the limit", "web", func(h *harness, _ *request) {
			h.drainingSince["a"] = h.now - drainGrace + drainMargin + 1
		}, nil},
		{"after the window", "all", func(h *harness, r *request) {
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
			t.Errorf("%s: checkPlacement returned %v, want %v", c.name, err, c.want)
		}
	}
}

// An offer of a request that is not in the table is not sent.
func TestCheckOfferOfUnknownRequest(t *testing.T) {
	h := newHarness(t)
	if err := h.CheckOffer(h.now, "a", "t1"); !errors.Is(err, ErrRequestOver) {
		t.Errorf("CheckOffer returned %v, want ErrRequestOver", err)
	}
}

// A keyed task that may have started is offered only to workers in the group of the worker that may have started
// it, and only if they will still recognise a repeat when the offer is sent. The request is rejected only if every
// worker would recognise a repeat, because the client's retry may go to any worker. Otherwise the request fails.
func TestKeyedRepeats(t *testing.T) {
	for _, c := range []struct {
		class    string
		allowed  map[string]bool // whether CheckOffer allows an offer within Class.WindowUs, by worker
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

		for worker, allowed := range c.allowed {
			if err := h.CheckOffer(offeredAt+699*millisecond, worker, "t1"); (err == nil) != allowed {
				t.Errorf("class %s, offer to %s within the window: CheckOffer returned %v", c.class, worker, err)
			}
			if err := h.CheckOffer(offeredAt+700*millisecond, worker, "t1"); (err == nil) != (allowed && !isKeyed) {
				t.Errorf("class %s, offer to %s after the window: CheckOffer returned %v", c.class, worker, err)
			}
		}
		h.ObserveTurn(200 * millisecond) // from now on, an offer counts as sent 200 ms after its check
		for passed, inTime := range map[int64]bool{499 * millisecond: true, 500 * millisecond: !isKeyed} {
			if err := h.CheckOffer(offeredAt+passed, "a", "t1"); (err == nil) != (inTime && c.allowed["a"]) {
				t.Errorf("class %s, offer after %d ms with turns of 200 ms: CheckOffer returned %v",
					c.class, passed/millisecond, err)
			}
		}
		if h.rejectOrFail(h.requests["t1"]); h.finalResponses["t1"] != c.response {
			t.Errorf("class %s: wrong kind of response: %v", c.class, h.finalResponses["t1"])
		}
	}
}

// givenResetAttempt submits request t1 of a class, which is offered to worker a. It then lists workers in the same
// cell (near), in another cell of the same zone (zone) and in another zone (far), ends the attempt with the outcome
// Reset, and returns the time of the offer.
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
		h.t.Fatalf("class %s: t1 is not offered to worker a; offers %v", class, h.offers)
	}
	h.TaskEnded(h.now, "a", "t1", placement.Reset, 0)
	return offeredAt
}
