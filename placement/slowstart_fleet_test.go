package placement

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// This file tests the slow start of one worker that gets offers from a whole fleet of schedulers.

var (
	coldSeeds = flag.Int("cold-seeds", 6, "number of slow starts to run for each number of schedulers and kind of start")
	coldSeed  = flag.Int("cold-seed", -1, "seed of the only slow starts to run, as a failure states it; -1 runs all seeds")
)

const (
	warmingWorker = "cold"
	// maxOfferTime is the maximum time from the sending of an offer to its arrival at the worker.
	maxOfferTime = 45 * ms
	// maxPending is the maximum number of tasks pending at a scheduler. It exceeds maxAttemptWindow, the
	// maximum number of unanswered offers to one worker.
	maxPending = 20
)

const (
	newWorker    start = "new worker"    // the worker is not on the schedulers' lists
	startedTwice start = "started twice" // the schedulers know a start shortly before the start under test
	wasWarm      start = "was warm"      // the schedulers know the worker as warm
)

// A start states what the schedulers know about the worker before they are notified of the start under test.
type start string

// arrival is one offer that reached the worker.
type arrival struct {
	at       int64
	informed bool // the sending scheduler knew of a start and considered the worker warming up
}

// slowStartRun simulates one start of one worker, with constant demand at all schedulers.
type slowStartRun struct {
	t                *testing.T
	random           *rand.Rand
	settings         Settings
	start            start
	earlierStartUs   int64 // time of the worker's previous start, in microseconds
	startUs          int64 // time of the start under test, in microseconds
	requestInterval  int64 // time between two requests at each scheduler, in microseconds
	firstNotified    int64 // earliest time at which a scheduler is notified of the start, in microseconds
	notifiedWithinMs int   // maximum delay after firstNotified, without restarts, in milliseconds
	arrivals         []arrival
}

func newSlowStartRun(t *testing.T, start start, schedulers, seed int) *slowStartRun {
	r := &slowStartRun{t: t, random: rand.New(rand.NewPCG(uint64(seed), uint64(schedulers))), settings: testSettings(), start: start}
	r.settings.FleetSize = schedulers
	// Depending on the seed, the budget is drawn uniformly, uniformly on a logarithmic scale, or uniformly
	// below the number of schedulers. In the last case, it is 4 for five or fewer schedulers.
	switch seed % 3 {
	case 0:
		r.settings.SlowStartOffers = float64(4 + r.random.IntN(197))
	case 1:
		r.settings.SlowStartOffers = math.Floor(4 * math.Pow(51, r.random.Float64()))
	case 2:
		r.settings.SlowStartOffers = float64(4 + r.random.IntN(max(1, schedulers-4)))
	}
	r.settings.SlowStartWindowUs = r.between(1000, 3000)
	r.settings.WarmUpUs = r.settings.SlowStartWindowUs*4 + 5*second
	r.startUs = 1_000_000_000 + r.between(0, 5000)
	r.earlierStartUs = r.startUs - r.between(50, 2000)
	// Each scheduler is notified of the start within 20 ms, 500 ms or 4 s after firstNotified, or later if
	// it restarts.
	r.firstNotified, r.notifiedWithinMs = r.startUs+r.between(10, 3000), []int{20, 500, 4000}[r.random.IntN(3)]
	// The demand on the fleet is one to six times the budget in each window.
	budgetsPerWindow := math.Pow(6, r.random.Float64())
	r.requestInterval = int64(float64(r.settings.SlowStartWindowUs) * float64(schedulers) / (budgetsPerWindow * r.settings.SlowStartOffers))
	return r
}

// between returns a random time from low to high milliseconds, in microseconds.
func (r *slowStartRun) between(low, high int) int64 {
	return int64(low)*ms + r.random.Int64N(int64(high-low)*ms+1)
}

func (r *slowStartRun) entry(startUs int64) Entry {
	entry := smallWorker(warmingWorker, 0, 32)
	entry.StartedAtUs = startUs
	return entry
}

// initialList returns the list that schedulers have until they are notified of the start.
func (r *slowStartRun) initialList() WorkerList {
	switch r.start {
	case newWorker:
		return WorkerList{Kind: ListCached}
	case startedTwice:
		return WorkerList{Kind: ListCached, Entries: []Entry{r.entry(r.earlierStartUs)}}
	}
	return WorkerList{Kind: ListCached, Entries: []Entry{r.entry(0)}}
}

// runScheduler runs one scheduler through the slow start, with restarts of its process. Schedulers run one
// after the other, which is possible because they share no state.
func (r *slowStartRun) runScheduler(index int) {
	r.settings.SelfIndex = index
	end := r.startUs + r.settings.WarmUpUs
	notifiedAt := r.firstNotified + r.between(0, r.notifiedWithinMs)
	now := r.startUs - r.settings.SlowStartWindowUs - r.between(100, 1000)
	list := r.initialList()
	for process := 0; now < end; process++ {
		until := end
		if r.random.IntN(2) == 0 {
			until = min(end, r.startUs+r.between(0, int(r.settings.WarmUpUs/ms)))
		}
		if until > now {
			r.runProcess(now, until, notifiedAt, list)
		}
		now = max(now, until) + r.between(0, 200)
		if r.random.IntN(2) == 0 && now > notifiedAt {
			list = WorkerList{Kind: ListCached, Entries: []Entry{r.entry(r.startUs)}}
		} else {
			// The restarted process begins with the same list as the previous process did, and is notified
			// of the start later.
			notifiedAt = max(notifiedAt, now+r.between(10, 1000))
		}
	}
}

// runProcess runs one process of a scheduler between the times now and until.
func (r *slowStartRun) runProcess(now, until, notifiedAt int64, list WorkerList) {
	scheduler, err := New(r.settings, r.random.Uint64())
	if err != nil {
		r.t.Fatal(err)
	}
	var responses []delayedEvent
	var knownStartUs int64 // last start of the worker that this scheduler was notified of
	if len(list.Entries) > 0 {
		knownStartUs = list.Entries[0].StartedAtUs
	}
	events, requests, nextRequestAt := []Event{list}, 0, now+r.random.Int64N(r.requestInterval)
	for ; now < until; now += r.between(5, 15) {
		if knownStartUs < r.startUs && now >= notifiedAt {
			events = append(events, WorkerList{Kind: ListDelta, Entries: []Entry{r.entry(r.startUs)}})
			knownStartUs = r.startUs
		}
		responses = slices.DeleteFunc(responses, func(response delayedEvent) bool {
			if response.at <= now {
				events = append(events, response.Event)
			}
			return response.at <= now
		})
		for pending := len(scheduler.queue.pending); pending < maxPending && nextRequestAt <= now; pending++ {
			requests, nextRequestAt = requests+1, nextRequestAt+r.requestInterval
			events = append(events, Request{Task{
				RequestID: fmt.Sprint(requests), Class: "safe", Cores: .01, Memory: .01, DeadlineUs: now + 5000*ms,
			}})
		}
		informed := knownStartUs > 0 && now < knownStartUs+r.settings.WarmUpUs
		for _, place := range ofType[Place](scheduler.Handle(now, append(events, TimerFired{"wake"}))) {
			responses = append(responses, r.accept(now, place, informed)...)
		}
		events = events[:0]
	}
}

// delayedEvent is an event with the time of its delivery.
type delayedEvent struct {
	at int64
	Event
}

// accept records the arrival of an offer and returns the worker's responses: it accepts the offer and
// completes the task 1 ms later.
func (r *slowStartRun) accept(now int64, place Place, informed bool) []delayedEvent {
	arrivesAt := now + r.between(1, int(maxOfferTime/ms))
	if now >= r.startUs { // offers sent earlier were lost with the previous process of the worker
		r.arrivals = append(r.arrivals, arrival{arrivesAt, informed})
	}
	respondedAt := arrivesAt + r.between(1, 5)
	return []delayedEvent{
		{respondedAt, Accepted{RequestID: place.RequestID, Worker: warmingWorker, RTTUs: respondedAt - now}},
		{respondedAt + ms, AttemptEnded{RequestID: place.RequestID, Worker: warmingWorker, Outcome: Completed, Final: true}},
	}
}

// bound returns the number of offers within a window above which the worker counts as overloaded. It is the
// budget plus an allowance for random fluctuation.
func (r *slowStartRun) bound() float64 {
	return r.settings.SlowStartOffers + 2*math.Sqrt(r.settings.SlowStartOffers) + 2
}

// informedBudget returns the maximum number of offers within a window from informed schedulers (see arrival).
// If the informed schedulers keep to this maximum, they send at most two thirds of the offers in any window
// that has more offers than the bound. This holds however many offers the other schedulers send.
func (r *slowStartRun) informedBudget() int {
	return int(min(r.settings.SlowStartOffers, r.bound()*2/3))
}

// checkWindows returns the largest number of offers within any window from informed schedulers (see arrival),
// as a fraction of informedBudget. It also describes the first window that breaks the rule, or returns an
// empty string. A window breaks the rule if it has more offers than the bound and over two thirds of them
// come from informed schedulers.
func (r *slowStartRun) checkWindows() (maxUsed float64, violation string) {
	slices.SortFunc(r.arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	oldest, informed := 0, 0
	for i, offer := range r.arrivals {
		if offer.at >= r.startUs+r.settings.WarmUpUs {
			break
		}
		if offer.informed {
			informed++
		}
		for ; r.arrivals[oldest].at <= offer.at-r.settings.SlowStartWindowUs; oldest++ {
			if r.arrivals[oldest].informed {
				informed--
			}
		}
		maxUsed = max(maxUsed, float64(informed)/float64(r.informedBudget()))
		if offers := i - oldest + 1; float64(offers) > r.bound() && 3*informed > 2*offers && violation == "" {
			violation = fmt.Sprintf("got %d offers, %d from informed schedulers, within the %d ms until %.3f s after the worker's start",
				offers, informed, r.settings.SlowStartWindowUs/ms, float64(offer.at-r.startUs)/float64(second))
		}
	}
	return maxUsed, violation
}

// TestFleetKeepsSlowStartBudget runs slow starts of one worker under the demand of a whole fleet. The
// schedulers are notified of the start at different times, and some restart during the warm-up. The test
// fails if informed schedulers (see arrival) send more offers within a window than informedBudget, if no
// informed scheduler sends an offer, or if a window breaks the rule of checkWindows.
func TestFleetKeepsSlowStartBudget(t *testing.T) {
	for _, start := range []start{newWorker, startedTwice, wasWarm} {
		for _, schedulers := range []int{3, 16, 24, 32} {
			t.Run(fmt.Sprintf("%s/%d schedulers", start, schedulers), func(t *testing.T) {
				var outcome slowStartOutcome
				for seed := range *coldSeeds {
					if *coldSeed < 0 || seed == *coldSeed {
						outcome.check(t, seed, newSlowStartRun(t, start, schedulers, seed))
					}
				}
				t.Logf("%d slow starts: %d over the bound; informed schedulers: %d over their budget, %d with no offer, at most %.2f of their budget used",
					*coldSeeds, outcome.overBound, outcome.overBudget, outcome.idle, outcome.maxUsed)
			})
		}
	}
}

// slowStartOutcome counts, for each check, the slow starts that failed it.
type slowStartOutcome struct {
	overBound, overBudget, idle int
	maxUsed                     float64 // largest used fraction of informedBudget
}

// check runs a slow start with all schedulers and checks the offers to the worker.
func (o *slowStartOutcome) check(t *testing.T, seed int, run *slowStartRun) {
	t.Helper()
	for i := range run.settings.FleetSize {
		run.runScheduler(i)
	}
	used, violation := run.checkWindows()
	offers := run.settings.SlowStartOffers
	if violation != "" {
		o.overBound++
		t.Errorf("-cold-seed %d: FreshOffers %v: %s, want at most %.1f, or at most two thirds of them from informed schedulers",
			seed, offers, violation, run.bound())
	}
	if used > 1 {
		o.overBudget++
		t.Errorf("-cold-seed %d: FreshOffers %v: informed schedulers used a fraction of %.2f of their %d offers, want at most 1",
			seed, offers, used, run.informedBudget())
	}
	if used == 0 {
		o.idle++
		t.Errorf("-cold-seed %d: FreshOffers %v: got no offers from informed schedulers, want some", seed, offers)
	}
	o.maxUsed = max(o.maxUsed, used)
}
