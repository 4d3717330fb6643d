package backpressure

import (
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// This file owns the figures of a storm: how they are taken from results, clients, recorder and
// workers.

// figures are what one storm showed.
type figures struct {
	lastStartBound    float64 // seconds from the storm's begin, at least
	relaysInTimeBound float64 // share, at most
	settledAt         float64 // seconds from the storm's begin

	submissionsPerStart float64
	relaysInTime        float64 // share
	offersPerStart      float64
	peakColdLoad        float64 // of a worker that has just started, over what it can take
	utilization         float64 // while tasks were pending

	lateResponses      int
	maxLate            time.Duration
	duplicateResponses int
	duplicateStarts    int
	unanswered         int
	neverStarted       int
	history            porcupine.CheckResult
}

// take takes the figures of a storm that has settled.
func (f *figures) take(t *testing.T, r *rig, c *clients, results []*result, usualRate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	submissions, starts := f.takeResults(r, c, results)
	f.takeArrivals(c, usualRate)
	f.lateResponses, f.duplicateResponses, f.unanswered = len(c.lateBy), c.duplicateResponses, c.unanswered
	for _, late := range c.lateBy {
		f.maxLate = max(f.maxLate, late)
	}
	f.takeOffers(t, r)
	logStarts(t, c, results)
	var retryAfterSum time.Duration
	for _, retryAfter := range c.retryAfters {
		retryAfterSum += retryAfter
	}
	t.Logf("bound %.1f s, settled %.1f s; %d submissions for %d starts, %d never; %d rejections, Retry-After %s in the mean; "+
		"late %d, most %s; relays in time %.3f of %.3f",
		f.lastStartBound, f.settledAt, submissions, starts, f.neverStarted, len(c.retryAfters),
		retryAfterSum/time.Duration(max(1, len(c.retryAfters))), f.lateResponses, f.maxLate, f.relaysInTime, f.relaysInTimeBound)
}

// takeResults counts submissions and starts, and the relays that started in time.
func (f *figures) takeResults(r *rig, c *clients, results []*result) (submissions, starts int) {
	relays, inTime := 0, 0
	for _, res := range results {
		submissions += res.submissions
		if res.abandoned {
			f.neverStarted++
			continue
		}
		starts++
		f.settledAt = max(f.settledAt, res.startedAt.Sub(c.stormAt).Seconds())
		if !res.isRelay() {
			continue
		}
		relays++
		if r.recorder.startedWithin(res.key, res.submittedAt, res.class.latencyObjective) {
			inTime++
		}
	}
	f.submissionsPerStart = float64(submissions) / float64(max(1, starts))
	f.relaysInTime = float64(inTime) / float64(max(1, relays))
	return submissions, starts
}

// takeArrivals finds when the arrivals are back at the usual rate: from the end of the last
// second above it.
func (f *figures) takeArrivals(c *clients, usualRate float64) {
	arrivals := slices.SortedFunc(slices.Values(c.submittedAt), time.Time.Compare)
	for i := range arrivals {
		end := i
		for end < len(arrivals) && arrivals[end].Sub(arrivals[i]) < time.Second {
			end++
		}
		if float64(end-i) > 1.2*usualRate+15 {
			f.settledAt = max(f.settledAt, arrivals[end-1].Sub(c.stormAt).Seconds())
		}
	}
}

// takeOffers counts what workers did with offers.
func (f *figures) takeOffers(t *testing.T, r *rig) {
	f.duplicateStarts = r.recorder.duplicateStartCount()
	acceptances, copies := r.recorder.acceptanceCounts()
	rejections, byCause := 0, map[string]int{}
	for _, model := range r.models {
		f.peakColdLoad = max(f.peakColdLoad, model.PeakLoad())
		for cause, n := range model.Rejections() {
			rejections += n
			byCause[cause] += n
		}
	}
	f.offersPerStart = float64(acceptances+rejections) / float64(max(1, acceptances))
	t.Logf("offers rejected: %v; %d copies", byCause, copies)
}

// logStarts logs how long tasks of the storm took to start.
func logStarts(t *testing.T, c *clients, results []*result) {
	for _, at := range []time.Duration{200 * ms, 400 * ms, 600 * ms, 800 * ms, 1000 * ms, 2 * time.Second} {
		byClass := map[string]int{}
		for _, res := range results {
			if !res.abandoned && res.startedAt.Sub(c.stormAt) <= at {
				byClass[res.Class]++
			}
		}
		t.Logf("started by %s: %v", at, byClass)
	}
	for _, class := range classes {
		var took []float64
		for _, res := range results {
			if res.class.name == class.name && !res.abandoned {
				took = append(took, res.startedAt.Sub(res.submittedAt).Seconds())
			}
		}
		slices.Sort(took)
		if n := len(took); n > 0 {
			t.Logf("%s: %d started, after %.2f s (median), %.2f s (95 of 100), %.2f s (last)", class.name, n, took[n/2], took[n*95/100], took[n-1])
		}
	}
}

// utilizationUntil is the share of all capacity that was requested while tasks were pending,
// until stop is closed.
func (r *rig) utilizationUntil(stop <-chan struct{}, c *clients) float64 {
	const minPending, period, settling = 50, 50 * ms, 2 * time.Second
	var sum, n float64
	for {
		select {
		case <-stop:
			return sum / max(1, n)
		case <-time.After(period):
		}
		if c.inFlight() < minPending || time.Since(c.stormAt) < settling {
			continue
		}
		sum, n = sum+r.utilization(), n+1
	}
}

// utilization is the share of the cores that was requested, or that other requests leave no
// memory for.
func (r *rig) utilization() float64 {
	var free, total float64
	for _, model := range r.models {
		cores, memory := model.FreeCapacity()
		free += max(0, min(cores/model.Cores, memory/model.Memory)) * model.Cores
		total += model.Cores
	}
	return 1 - free/total
}
