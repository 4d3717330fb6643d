package backpressure

import (
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// This file owns the figures of a storm, which are computed from the results of the jobs and from the
// counts of clients, recorder and emulated workers.

// figures holds the measurements of one storm.
type figures struct {
	// lastStartBound is a lower bound of the time when the last task of the storm is accepted, in seconds since the
	// start of the storm.
	lastStartBound    float64
	relaysInTimeBound float64 // upper bound of relaysInTime
	// settledAt is the time when the storm's last task has started and submissions are back at the usual rate, in
	// seconds since the start of the storm.
	settledAt float64

	submissionsPerStart float64
	relaysInTime        float64 // fraction of the storm's started live-relay tasks that started within their latency objective
	offersPerStart      float64 // offers that workers accepted or rejected, divided by the number of acceptances
	peakColdLoad        float64 // maximum PeakLoad of all workers; above 1 if a worker in slow start was overloaded
	utilization         float64 // mean utilization of the workers, from 0 to 1, see utilizationUntil

	lateResponses      int
	maxLate            time.Duration
	duplicateResponses int
	duplicateStarts    int // number of acceptances of archive-cut tasks after the first acceptance of each key
	unanswered         int // number of requests whose client stopped waiting for a response
	neverStarted       int // number of tasks of the storm that never started
	history            porcupine.CheckResult
}

// collect computes all figures except the bounds, the utilization and the result of the history check, and logs a
// summary. All clients of the storm must have ended.
func (f *figures) collect(t *testing.T, r *rig, c *clients, results []*result, usualRate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	submissions, starts := f.collectResults(r, c, results)
	f.collectArrivals(c, usualRate)
	f.lateResponses, f.duplicateResponses, f.unanswered = len(c.lateBy), c.duplicateResponses, c.unanswered
	for _, late := range c.lateBy {
		f.maxLate = max(f.maxLate, late)
	}
	f.collectOffers(t, r)
	logStarts(t, c, results)
	var retryAfterSum time.Duration
	for _, retryAfter := range c.retryAfters {
		retryAfterSum += retryAfter
	}
	t.Logf("lower bound of the last start %.1f s, settled at %.1f s; %d submissions for %d starts, %d tasks never started; %d rejections, "+
		"mean Retry-After %s; %d late responses, at most %s late; relays in time %.3f, upper bound %.3f",
		f.lastStartBound, f.settledAt, submissions, starts, f.neverStarted, len(c.retryAfters),
		retryAfterSum/time.Duration(max(1, len(c.retryAfters))), f.lateResponses, f.maxLate, f.relaysInTime, f.relaysInTimeBound)
}

// collectResults counts the submissions and starts of the storm's tasks, and the live-relay tasks that
// started within their latency objective. It sets settledAt to the time of the last start.
func (f *figures) collectResults(r *rig, c *clients, results []*result) (submissions, starts int) {
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

// collectArrivals sets settledAt to the time at which submissions are back at the usual rate, if that is later
// than settledAt. To find this time, it looks for the last one-second period with more than 1.2*usualRate+15
// submissions. The time is that of the last submission in this period.
func (f *figures) collectArrivals(c *clients, usualRate float64) {
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

// collectOffers counts the acceptances and rejections of offers by the workers, and finds the peak load
// of workers in slow start.
func (f *figures) collectOffers(t *testing.T, r *rig) {
	f.duplicateStarts = r.recorder.duplicateStartCount()
	acceptances, duplicates := r.recorder.acceptanceCounts()
	rejections, byCause := 0, map[string]int{}
	for _, model := range r.models {
		f.peakColdLoad = max(f.peakColdLoad, model.PeakLoad())
		for cause, n := range model.Rejections() {
			rejections += n
			byCause[cause] += n
		}
	}
	f.offersPerStart = float64(acceptances+rejections) / float64(max(1, acceptances))
	t.Logf("offers rejected, by cause: %v; %d duplicate acceptances", byCause, duplicates)
}

// logStarts logs, for several times after the start of the storm, how many of the storm's tasks had started by then.
// It also logs, for each class, the delay from the first submission to the start.
func logStarts(t *testing.T, c *clients, results []*result) {
	for _, at := range []time.Duration{200 * ms, 400 * ms, 600 * ms, 800 * ms, 1000 * ms, 2 * time.Second} {
		byClass := map[string]int{}
		for _, res := range results {
			if !res.abandoned && res.startedAt.Sub(c.stormAt) <= at {
				byClass[res.Class]++
			}
		}
		t.Logf("tasks started by %s, by class: %v", at, byClass)
	}
	for _, class := range classes {
		var startDelays []float64
		for _, res := range results {
			if res.class.name == class.name && !res.abandoned {
				startDelays = append(startDelays, res.startedAt.Sub(res.submittedAt).Seconds())
			}
		}
		slices.Sort(startDelays)
		if n := len(startDelays); n > 0 {
			t.Logf("%s: %d tasks started; start delay %.2f s (median), %.2f s (95th percentile), %.2f s (maximum)",
				class.name, n, startDelays[n/2], startDelays[n*95/100], startDelays[n-1])
		}
	}
}

// utilizationUntil samples the utilization every 50 ms until stop is closed and returns the mean of the samples,
// or 0 without samples. It takes no sample until 2 s after the start of the storm, nor while fewer than 50 requests
// are in flight.
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

// utilization returns the fraction of the workers' cores that are not free. The free fraction of a
// worker is that of its cores or that of its memory, whichever is smaller, because a task needs both.
func (r *rig) utilization() float64 {
	var free, total float64
	for _, model := range r.models {
		cores, memory := model.FreeCapacity()
		free += max(0, min(cores/model.Cores, memory/model.Memory)) * model.Cores
		total += model.Cores
	}
	return 1 - free/total
}
