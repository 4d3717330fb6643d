package placement

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

var (
	coldSeeds = flag.Int("cold-seeds", 6, "slow starts played for each fleet size and kind of start")
	coldSeed  = flag.Int("cold-seed", -1, "the only slow start to play, as a failure names it")
)

const (
	warmingWorker = "cold"
	// maxOfferTime is the longest time that an offer takes to its worker.
	maxOfferTime = 45 * ms
	// maxPending is how many tasks wait at a scheduler: more than it may send at once.
	maxPending = 20
)

// A start is what schedulers know of the worker before they are notified of its start.
type start string

const (
	newWorker    start = "new worker"    // nothing: it is not on their list
	startedTwice start = "started twice" // that it started a little earlier
	wasWarm      start = "was warm"      // that it is warm
)

// arrival is one offer that reached the worker.
type arrival struct {
	at       int64
	informed bool // its scheduler knew of the start
}

// slowStartRun is one start of one worker, with constant demand at all schedulers.
type slowStartRun struct {
	t                *testing.T
	random           *rand.Rand
	settings         Settings
	start            start
	earlierStartUs   int64 // when the worker started before
	startUs          int64 // when it started now
	requestInterval  int64 // how often a task comes to each scheduler
	firstNotified    int64 // when the first scheduler is notified of the start
	notifiedWithinMs int   // within how many milliseconds all of them are notified
	arrivals         []arrival
}

func newSlowStartRun(t *testing.T, start start, schedulers, seed int) *slowStartRun {
	r := &slowStartRun{t: t, random: rand.New(rand.NewPCG(uint64(seed), uint64(schedulers))), settings: testSettings(), start: start}
	r.settings.FleetSize = schedulers
	switch seed % 3 { // evenly, evenly over the logarithm, and fewer than schedulers
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
	// Lists come to all at once, or to each at a time of its own.
	r.firstNotified, r.notifiedWithinMs = r.startUs+r.between(10, 3000), []int{20, 500, 4000}[r.random.IntN(3)]
	// One to six budgets a window are requested of the fleet.
	budgetsPerWindow := math.Pow(6, r.random.Float64())
	r.requestInterval = int64(float64(r.settings.SlowStartWindowUs) * float64(schedulers) / (budgetsPerWindow * r.settings.SlowStartOffers))
	return r
}

// between draws a time from least to most milliseconds.
func (r *slowStartRun) between(low, high int) int64 {
	return int64(low)*ms + r.random.Int64N(int64(high-low)*ms+1)
}

func (r *slowStartRun) entry(startUs int64) Entry {
	entry := smallWorker(warmingWorker, 0, 32)
	entry.StartedAtUs = startUs
	return entry
}

// initialList is the list that schedulers have until they are notified of the start.
func (r *slowStartRun) initialList() WorkerList {
	switch r.start {
	case newWorker:
		return WorkerList{Kind: ListCached}
	case startedTwice:
		return WorkerList{Kind: ListCached, Entries: []Entry{r.entry(r.earlierStartUs)}}
	}
	return WorkerList{Kind: ListCached, Entries: []Entry{r.entry(0)}}
}

// runScheduler runs one scheduler through the slow start, with restarts of its process. Schedulers
// share nothing, so they run one by one.
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
			notifiedAt = max(notifiedAt, now+r.between(10, 1000)) // it came up with an older list
		}
	}
}

// runProcess runs one process of a scheduler, from its first event until it is killed.
func (r *slowStartRun) runProcess(now, until, notifiedAt int64, list WorkerList) {
	scheduler, err := New(r.settings, r.random.Uint64())
	if err != nil {
		r.t.Fatal(err)
	}
	type answer struct {
		at int64
		Event
	}
	var responses []answer
	var knownStartUs int64 // the start that this scheduler was notified of
	if len(list.Entries) > 0 {
		knownStartUs = list.Entries[0].StartedAtUs
	}
	events, requests, nextRequestAt := []Event{list}, 0, now+r.random.Int64N(r.requestInterval)
	for ; now < until; now += r.between(5, 15) {
		if knownStartUs < r.startUs && now >= notifiedAt {
			events, knownStartUs = append(events, WorkerList{Kind: ListDelta, Entries: []Entry{r.entry(r.startUs)}}), r.startUs
		}
		responses = slices.DeleteFunc(responses, func(response answer) bool {
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
		for _, place := range ofType[Place](scheduler.Handle(now, append(events, TimerFired{"wake"}))) {
			arrivesAt := now + r.between(1, int(maxOfferTime/ms))
			if now >= r.startUs { // what was sent before is lost with the process that ended
				r.arrivals = append(r.arrivals, arrival{arrivesAt, knownStartUs > 0 && now < knownStartUs+r.settings.WarmUpUs})
			}
			respondedAt := arrivesAt + r.between(1, 5)
			responses = append(responses,
				answer{respondedAt, Accepted{RequestID: place.RequestID, Worker: warmingWorker, RTTUs: respondedAt - now}},
				answer{respondedAt + ms, AttemptEnded{RequestID: place.RequestID, Worker: warmingWorker, Outcome: Completed, Final: true}})
		}
		events = events[:0]
	}
}

// bound is how many offers within a window are put down to the budget and to chance.
func (r *slowStartRun) bound() float64 {
	return r.settings.SlowStartOffers + 2*math.Sqrt(r.settings.SlowStartOffers) + 2
}

// informedBudget is how many offers within a window schedulers that know of the start may send: then
// they sent no more than two thirds of those that overload the worker, whatever the others did.
func (r *slowStartRun) informedBudget() int {
	return int(min(r.settings.SlowStartOffers, r.bound()*2/3))
}

// checkWindows returns the most offers within any window from schedulers that know of the start, over
// what they may send, and the first window that breaks the rule: more offers from all than the bound,
// over two thirds of them from schedulers that know of the start.
func (r *slowStartRun) checkWindows() (maxUsed float64, broken string) {
	slices.SortFunc(r.arrivals, func(offer, b arrival) int { return cmp.Compare(offer.at, b.at) })
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
		if offers := i - oldest + 1; float64(offers) > r.bound() && 3*informed > 2*offers && broken == "" {
			broken = fmt.Sprintf("%d offers, %d from placers told of the start, within the %d ms before %.3f s",
				offers, informed, r.settings.SlowStartWindowUs/ms, float64(offer.at-r.startUs)/float64(second))
		}
	}
	return maxUsed, broken
}

// TestFleetKeepsSlowStartBudget runs slow starts of one worker under the demand of a whole fleet.
// Schedulers are notified of the start at times of their own, and some are restarted meanwhile.
func TestFleetKeepsSlowStartBudget(t *testing.T) {
	for _, start := range []start{newWorker, startedTwice, wasWarm} {
		for _, schedulers := range []int{3, 16, 24, 32} {
			t.Run(fmt.Sprintf("%s/%d schedulers", start, schedulers), func(t *testing.T) {
				failures, over, idle, maxUsed := 0, 0, 0, 0.0
				for seed := range *coldSeeds {
					if *coldSeed >= 0 && seed != *coldSeed {
						continue
					}
					run := newSlowStartRun(t, start, schedulers, seed)
					for i := range schedulers {
						run.runScheduler(i)
					}
					used, broken := run.checkWindows()
					if broken != "" {
						failures++
						t.Errorf("-cold-seed %d: FreshOffers %v, bound %.1f: %s", seed, run.settings.SlowStartOffers, run.bound(), broken)
					}
					if used > 1 {
						over++
						t.Errorf("-cold-seed %d: FreshOffers %v: %.2f of the %d offers that schedulers notified of the start may send",
							seed, run.settings.SlowStartOffers, used, run.informedBudget())
					}
					if used == 0 {
						idle++
						t.Errorf("-cold-seed %d: FreshOffers %v: the worker got nothing", seed, run.settings.SlowStartOffers)
					}
					maxUsed = max(maxUsed, used)
				}
				t.Logf("%d slow starts: %d over the bound, %d over the budget, %d with no offer; %.2f of the budget used at most",
					*coldSeeds, failures, over, idle, maxUsed)
			})
		}
	}
}

// TestOffersBeforeKnownStartCount notifies a scheduler late of a start: it has spent part of its
// budget already, as for a warm worker.
func TestOffersBeforeKnownStartCount(t *testing.T) {
	settings := testSettings() // 8 offers for 2 schedulers
	f := newFixture(t, settings, 1, smallWorker(warmingWorker, 0, 32))
	f.at(2 * second)
	offers := func(from, requests int) (count int) {
		for i := range requests {
			requestID := fmt.Sprint(from, "-", i)
			if len(ofType[Place](f.at(10*ms, f.request(requestID, "safe", .1, .1)))) == 0 {
				f.at(0, ClientCancelled{requestID})
				continue
			}
			count++
			f.at(0, Accepted{RequestID: requestID, Worker: warmingWorker, RTTUs: 1000})
		}
		return count
	}
	if count := offers(1, 2); count != 2 {
		t.Fatalf("%d offers to the worker before its start, want 2", count)
	}
	started := smallWorker(warmingWorker, 0, 32)
	started.StartedAtUs = f.now + ms
	f.at(100 * ms)
	if count := offers(2, 3); count != 3 {
		t.Fatalf("%d offers to a worker taken for warm, want 3", count)
	}
	f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{started}})
	if count := offers(3, 10); count != 1 {
		t.Errorf("%d offers once the start is known, want 1: 3 of 4 were sent since", count)
	}
	started.StartedAtUs = f.now // again, and what it got this time counts no more
	f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{started}})
	if count := offers(4, 10); count != 4 {
		t.Errorf("%d offers after the next start, want 4", count)
	}
}

// TestTurnsAtWarmingWorker takes a fleet larger than the budget. Turns are the same whichever
// start of the worker a scheduler knows, and one that was restarted in its turn leaves it out.
func TestTurnsAtWarmingWorker(t *testing.T) {
	settings := testSettings()
	settings.FleetSize, settings.SlowStartOffers = 24, 10
	for settings.SelfIndex = range settings.FleetSize {
		var fixtures []*fixture
		for _, ago := range []int64{100 * ms, 730 * ms} {
			entry := smallWorker(warmingWorker, 0, 32)
			entry.StartedAtUs = 1_000_000_000 - ago
			fixtures = append(fixtures, newFixture(t, settings, 1, entry))
		}
		turns, before := 0, false
		for range 800 {
			permitted := make([]bool, len(fixtures))
			for i, f := range fixtures {
				f.at(10 * ms)
				permitted[i] = f.scheduler.slowStart.permits(f.scheduler.fleet.workers[warmingWorker])
			}
			if permitted[0] != permitted[1] {
				t.Fatalf("scheduler %d at %d us: %v by the two starts", settings.SelfIndex, fixtures[0].now, permitted)
			}
			if permitted[0] && !before {
				turns++
			}
			if restarted := newFixture(t, settings, 2, fixtures[0].scheduler.fleet.workers[warmingWorker].Entry); permitted[0] {
				restarted.scheduler.now, restarted.scheduler.startedAt = fixtures[0].now, fixtures[0].now
				if restarted.scheduler.slowStart.permits(restarted.scheduler.fleet.workers[warmingWorker]) {
					t.Fatalf("scheduler %d offers in the turn in which it was restarted", settings.SelfIndex)
				}
			}
			before = permitted[0]
		}
		if turns == 0 {
			t.Errorf("scheduler %d has no turn within 8 s", settings.SelfIndex)
		}
	}
}

// TestPartsAddUpToSlowStartBudget gives all schedulers more than their parts at once.
func TestPartsAddUpToSlowStartBudget(t *testing.T) {
	for _, test := range []struct {
		placers int
		fresh   float64
		want    int
	}{
		{1, 8, 8}, {3, 8, 8}, {3, 20, 20}, {16, 20, 20}, {16, 50, 44}, {24, 200, 153}, {32, 200, 153},
	} {
		settings := testSettings()
		settings.FleetSize, settings.SlowStartOffers = test.placers, test.fresh
		sent := 0
		for settings.SelfIndex = range test.placers {
			f := newFixture(t, settings, 1, smallWorker("warm", 0, -50))
			warming := smallWorker(warmingWorker, 0, 32)
			f.at(2 * second)
			warming.StartedAtUs = f.now
			f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{warming}})
			for i := range test.want + 1 {
				requestID := fmt.Sprint(i)
				sent += len(ofType[Place](f.at(0, f.request(requestID, "safe", .1, .1))))
				f.at(0, Accepted{RequestID: requestID, Worker: warmingWorker, RTTUs: 1000})
			}
		}
		if sent != test.want {
			t.Errorf("%d schedulers, FreshOffers %v: %d offers at once, want %d", test.placers, test.fresh, sent, test.want)
		}
	}
}

// TestWarmWorkersHaveNoSlowStartBudget plays one drawn history with settings and starts
// of which none makes a worker warm up: the same actions have to follow.
func TestWarmWorkersHaveNoSlowStartBudget(t *testing.T) {
	play := func(seed uint64, startUs int64, change func(*Settings)) (all []Action) {
		settings := testSettings()
		change(&settings)
		random := rand.New(rand.NewPCG(seed, 0))
		var entries []Entry
		for i := range 6 {
			entry := smallWorker(fmt.Sprint("m", i), i/2, float64(16+random.IntN(16)))
			entry.StartedAtUs = startUs
			entries = append(entries, entry)
		}
		f := newFixture(t, settings, seed, entries...)
		var running []Place
		attempts := map[string]int{} // for each request, ended
		for i := range 300 {
			request := f.request(fmt.Sprint(i), settings.Classes[random.IntN(4)].Name, 0.5+random.Float64(), 1)
			request.Program = uint64(random.IntN(40))
			events := []Event{request, TimerFired{"wake"}}
			for len(running) > 0 && random.IntN(3) > 0 {
				status := Completed
				if random.IntN(20) == 0 {
					status = []Outcome{Failed, Rejected, TimedOut, Reset}[random.IntN(4)]
				}
				end := running[0]
				events = append(events, AttemptEnded{
					RequestID: end.RequestID, Attempt: attempts[end.RequestID], Worker: end.Worker, Outcome: status, RTTUs: 2000,
				})
				attempts[end.RequestID]++
				running = running[1:]
			}
			if i%40 == 39 {
				for j := range entries {
					entries[j].FreeCores = float64(16 + random.IntN(16))
				}
				events = append(events, WorkerList{Kind: ListFull, Entries: entries})
			}
			actions := f.at(int64(1+random.IntN(20))*ms, events...)
			all, running = append(all, actions...), append(running, ofType[Place](actions)...)
		}
		return all
	}
	for seed := range uint64(5) {
		want := play(seed, 0, func(*Settings) {})
		if len(ofType[Place](want)) < 150 {
			t.Fatalf("seed %d: only %d offers", seed, len(ofType[Place](want)))
		}
		for name, got := range map[string][]Action{
			"no budget for workers that warm up": play(seed, 0, func(settings *Settings) { settings.SlowStartOffers = 0 }),
			"a fleet with small parts":           play(seed, 0, func(settings *Settings) { settings.SlowStartOffers, settings.SlowStartWindowUs = 1, 60*second }),
			"no cold time":                       play(seed, 1_000_000_000-second, func(settings *Settings) { settings.WarmUpUs = 0 }),
			"started long ago":                   play(seed, 1, func(*Settings) {}),
		} {
			if !reflect.DeepEqual(got, want) {
				t.Errorf("seed %d: %s: other actions than without a start", seed, name)
			}
		}
	}
}
