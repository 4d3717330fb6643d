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
	coldSeeds = flag.Int("cold-seeds", 6, "ramps played for each fleet size and kind of start")
	coldSeed  = flag.Int("cold-seed", -1, "the only ramp to play, as a failure names it")
)

const (
	coldWorker = "cold"
	// longestWay is the longest time that an offer takes to its worker.
	longestWay = 45 * ms
	// heldMost is how many tasks wait at a placer: more than it may send at once.
	heldMost = 20
)

// A start is what placers know of the worker before they hear that it started.
type start string

const (
	newWorker    start = "new worker"    // nothing: it is not on their list
	startedTwice start = "started twice" // that it started a little earlier
	wasWarm      start = "was warm"      // that it is warm
)

// arrival is one offer that reached the worker.
type arrival struct {
	at   int64
	told bool // its placer was told that the worker is cold
}

// ramp is one cold start of one worker, with constant demand at all placers.
type ramp struct {
	t        *testing.T
	rng      *rand.Rand
	s        Settings
	start    start
	earlier  int64 // when the worker started before
	startUs  int64 // when it started now
	every    int64 // how often a task comes to each placer
	heard    int64 // when the first placer hears of the start
	apart    int   // within how many milliseconds all of them hear of it
	arrivals []arrival
}

func newRamp(t *testing.T, start start, placers, seed int) *ramp {
	r := &ramp{t: t, rng: rand.New(rand.NewPCG(uint64(seed), uint64(placers))), s: testSettings(), start: start}
	r.s.FleetSize = placers
	switch seed % 3 { // evenly, evenly over the logarithm, and fewer than placers
	case 0:
		r.s.SlowStartOffers = float64(4 + r.rng.IntN(197))
	case 1:
		r.s.SlowStartOffers = math.Floor(4 * math.Pow(51, r.rng.Float64()))
	case 2:
		r.s.SlowStartOffers = float64(4 + r.rng.IntN(max(1, placers-4)))
	}
	r.s.SlowStartWindowUs = r.between(1000, 3000)
	r.s.WarmUpUs = r.s.SlowStartWindowUs*4 + 5*second
	r.startUs = 1_000_000_000 + r.between(0, 5000)
	r.earlier = r.startUs - r.between(50, 2000)
	// Lists come to all at once, or to each at a time of its own.
	r.heard, r.apart = r.startUs+r.between(10, 3000), []int{20, 500, 4000}[r.rng.IntN(3)]
	// The fleet is asked for one to six budgets a span.
	budgets := math.Pow(6, r.rng.Float64())
	r.every = int64(float64(r.s.SlowStartWindowUs) * float64(placers) / (budgets * r.s.SlowStartOffers))
	return r
}

// between draws a time from least to most milliseconds.
func (r *ramp) between(least, most int) int64 {
	return int64(least)*ms + r.rng.Int64N(int64(most-least)*ms+1)
}

func (r *ramp) entry(startUs int64) Entry {
	entry := small(coldWorker, 0, 32)
	entry.StartedAtUs = startUs
	return entry
}

// before is the list that placers hold until they hear of the start.
func (r *ramp) before() WorkerList {
	switch r.start {
	case newWorker:
		return WorkerList{Kind: ListCached}
	case startedTwice:
		return WorkerList{Kind: ListCached, Entries: []Entry{r.entry(r.earlier)}}
	}
	return WorkerList{Kind: ListCached, Entries: []Entry{r.entry(0)}}
}

// play runs one placer through the ramp. Placers share nothing, so they run one by one.
func (r *ramp) play(index int) {
	r.s.SelfIndex = index
	end := r.startUs + r.s.WarmUpUs
	hears := r.heard + r.between(0, r.apart)
	now := r.startUs - r.s.SlowStartWindowUs - r.between(100, 1000)
	list := r.before()
	for life := 0; now < end; life++ {
		until := end
		if r.rng.IntN(2) == 0 {
			until = min(end, r.startUs+r.between(0, int(r.s.WarmUpUs/ms)))
		}
		if until > now {
			r.live(now, until, hears, list)
		}
		now = max(now, until) + r.between(0, 200)
		if r.rng.IntN(2) == 0 && now > hears {
			list = WorkerList{Kind: ListCached, Entries: []Entry{r.entry(r.startUs)}}
		} else {
			hears = max(hears, now+r.between(10, 1000)) // it came up with an older list
		}
	}
}

// live is one life of a placer's process: from its first event until it is killed.
func (r *ramp) live(now, until, hears int64, list WorkerList) {
	scheduler, err := New(r.s, r.rng.Uint64())
	if err != nil {
		r.t.Fatal(err)
	}
	type answer struct {
		at int64
		Event
	}
	var answers []answer
	var known int64 // the start that this placer was told of
	if len(list.Entries) > 0 {
		known = list.Entries[0].StartedAtUs
	}
	events, next, due := []Event{list}, 0, now+r.rng.Int64N(r.every)
	for ; now < until; now += r.between(5, 15) {
		if known < r.startUs && now >= hears {
			events, known = append(events, WorkerList{Kind: ListDelta, Entries: []Entry{r.entry(r.startUs)}}), r.startUs
		}
		answers = slices.DeleteFunc(answers, func(a answer) bool {
			if a.at <= now {
				events = append(events, a.Event)
			}
			return a.at <= now
		})
		for held := len(scheduler.queue.pending); held < heldMost && due <= now; held++ {
			next, due = next+1, due+r.every
			events = append(events, Request{Task{
				RequestID: fmt.Sprint(next), Class: "safe", Cores: .01, Memory: .01, DeadlineUs: now + 5000*ms,
			}})
		}
		for _, sent := range of[Place](scheduler.Handle(now, append(events, TimerFired{"wake"}))) {
			arrives := now + r.between(1, int(longestWay/ms))
			if now >= r.startUs { // what was sent before is lost with the process that ended
				r.arrivals = append(r.arrivals, arrival{arrives, known > 0 && now < known+r.s.WarmUpUs})
			}
			answered := arrives + r.between(1, 5)
			answers = append(answers,
				answer{answered, Accepted{RequestID: sent.RequestID, Worker: coldWorker, RTTUs: answered - now}},
				answer{answered + ms, AttemptEnded{RequestID: sent.RequestID, Worker: coldWorker, Outcome: Completed, Final: true}})
		}
		events = events[:0]
	}
}

// bound is how many offers within a span are put down to the budget and to chance.
func (r *ramp) bound() float64 { return r.s.SlowStartOffers + 2*math.Sqrt(r.s.SlowStartOffers) + 2 }

// toldBudget is how many offers within a span those told of the start may send: then they
// sent no more than two thirds of any fall, whatever the others did.
func (r *ramp) toldBudget() int { return int(min(r.s.SlowStartOffers, r.bound()*2/3)) }

// spans returns the most offers from placers that were told within any span, over what they
// may send, and the first span that breaks the rule: more offers from all than its bound,
// over two thirds of them from placers that were told.
func (r *ramp) spans() (most float64, broken string) {
	slices.SortFunc(r.arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	first, told := 0, 0
	for i, a := range r.arrivals {
		if a.at >= r.startUs+r.s.WarmUpUs {
			break
		}
		if a.told {
			told++
		}
		for ; r.arrivals[first].at <= a.at-r.s.SlowStartWindowUs; first++ {
			if r.arrivals[first].told {
				told--
			}
		}
		most = max(most, float64(told)/float64(r.toldBudget()))
		if n := i - first + 1; float64(n) > r.bound() && 3*told > 2*n && broken == "" {
			broken = fmt.Sprintf("%d offers, %d from placers told of the start, within the %d ms before %.3f s",
				n, told, r.s.SlowStartWindowUs/ms, float64(a.at-r.startUs)/float64(second))
		}
	}
	return most, broken
}

// TestFleetKeepsTheColdBudget plays cold starts of one worker under the demand of a whole
// fleet. Placers hear of the start at times of their own, and some are restarted amid the ramp.
func TestFleetKeepsTheColdBudget(t *testing.T) {
	for _, start := range []start{newWorker, startedTwice, wasWarm} {
		for _, placers := range []int{3, 16, 24, 32} {
			t.Run(fmt.Sprintf("%s/%d placers", start, placers), func(t *testing.T) {
				falls, over, idle, used := 0, 0, 0, 0.0
				for seed := range *coldSeeds {
					if *coldSeed >= 0 && seed != *coldSeed {
						continue
					}
					r := newRamp(t, start, placers, seed)
					for i := range placers {
						r.play(i)
					}
					most, broken := r.spans()
					if broken != "" {
						falls++
						t.Errorf("-cold-seed %d: FreshOffers %v, bound %.1f: %s", seed, r.s.SlowStartOffers, r.bound(), broken)
					}
					if most > 1 {
						over++
						t.Errorf("-cold-seed %d: FreshOffers %v: %.2f of the %d offers that placers told of the start may send",
							seed, r.s.SlowStartOffers, most, r.toldBudget())
					}
					if most == 0 {
						idle++
						t.Errorf("-cold-seed %d: FreshOffers %v: the worker got nothing", seed, r.s.SlowStartOffers)
					}
					used = max(used, most)
				}
				t.Logf("%d ramps: %d falls, %d over the budget, %d with no offer; %.2f of the budget used at most",
					*coldSeeds, falls, over, idle, used)
			})
		}
	}
}

// A placer that hears of a start late has sent part of its budget already, as to a warm machine.
func TestOffersBeforeTheStartWasKnownCount(t *testing.T) {
	s := testSettings() // 8 offers for 2 placers
	f := newBed(t, s, 1, small(coldWorker, 0, 32))
	f.at(2 * second)
	offers := func(from, requests int) (n int) {
		for i := range requests {
			id := fmt.Sprint(from, "-", i)
			if len(of[Place](f.at(10*ms, f.request(id, "safe", .1, .1)))) == 0 {
				f.at(0, ClientCancelled{id})
				continue
			}
			n++
			f.at(0, Accepted{RequestID: id, Worker: coldWorker, RTTUs: 1000})
		}
		return n
	}
	if n := offers(1, 2); n != 2 {
		t.Fatalf("%d offers to the machine before its start, want 2", n)
	}
	started := small(coldWorker, 0, 32)
	started.StartedAtUs = f.now + ms
	f.at(100 * ms)
	if n := offers(2, 3); n != 3 {
		t.Fatalf("%d offers to a machine taken for warm, want 3", n)
	}
	f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{started}})
	if n := offers(3, 10); n != 1 {
		t.Errorf("%d offers once the start is known, want 1: 3 of 4 were sent since", n)
	}
	started.StartedAtUs = f.now // again, and what it got this time counts no more
	f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{started}})
	if n := offers(4, 10); n != 4 {
		t.Errorf("%d offers after the next start, want 4", n)
	}
}

// TestTurnsAtAColdMachine takes a fleet larger than the budget. Turns are the same whichever
// start of the machine a placer knows, and one that was restarted amid its turn lets it pass.
func TestTurnsAtAColdMachine(t *testing.T) {
	s := testSettings()
	s.FleetSize, s.SlowStartOffers = 24, 10
	for s.SelfIndex = range s.FleetSize {
		var beds []*bed
		for _, ago := range []int64{100 * ms, 730 * ms} {
			entry := small(coldWorker, 0, 32)
			entry.StartedAtUs = 1_000_000_000 - ago
			beds = append(beds, newBed(t, s, 1, entry))
		}
		turns, was := 0, false
		for range 800 {
			may := make([]bool, len(beds))
			for i, f := range beds {
				f.at(10 * ms)
				may[i] = f.p.slowStart.permits(f.p.fleet.workers[coldWorker])
			}
			if may[0] != may[1] {
				t.Fatalf("placer %d at %d us: %v by the two starts", s.SelfIndex, beds[0].now, may)
			}
			if may[0] && !was {
				turns++
			}
			if again := newBed(t, s, 2, beds[0].p.fleet.workers[coldWorker].Entry); may[0] {
				again.p.now, again.p.startedAt = beds[0].now, beds[0].now
				if again.p.slowStart.permits(again.p.fleet.workers[coldWorker]) {
					t.Fatalf("placer %d offers in the turn in which it was restarted", s.SelfIndex)
				}
			}
			was = may[0]
		}
		if turns == 0 {
			t.Errorf("placer %d has no turn within 8 s", s.SelfIndex)
		}
	}
}

// TestFleetPartsAddUpToTheBudget gives all placers more than their parts at once.
func TestFleetPartsAddUpToTheBudget(t *testing.T) {
	for _, c := range []struct {
		placers int
		fresh   float64
		want    int
	}{
		{1, 8, 8}, {3, 8, 8}, {3, 20, 20}, {16, 20, 20}, {16, 50, 44}, {24, 200, 153}, {32, 200, 153},
	} {
		s := testSettings()
		s.FleetSize, s.SlowStartOffers = c.placers, c.fresh
		sent := 0
		for s.SelfIndex = range c.placers {
			f := newBed(t, s, 1, small("warm", 0, -50))
			cold := small(coldWorker, 0, 32)
			f.at(2 * second)
			cold.StartedAtUs = f.now
			f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{cold}})
			for i := range c.want + 1 {
				id := fmt.Sprint(i)
				sent += len(of[Place](f.at(0, f.request(id, "safe", .1, .1))))
				f.at(0, Accepted{RequestID: id, Worker: coldWorker, RTTUs: 1000})
			}
		}
		if sent != c.want {
			t.Errorf("%d placers, FreshOffers %v: %d offers at once, want %d", c.placers, c.fresh, sent, c.want)
		}
	}
}

// TestWarmMachinesAreNotBoundByTheColdBudget plays one drawn history with settings and starts
// of which none makes a machine cold: the same actions have to follow.
func TestWarmMachinesAreNotBoundByTheColdBudget(t *testing.T) {
	play := func(seed uint64, startUs int64, change func(*Settings)) (all []Action) {
		s := testSettings()
		change(&s)
		random := rand.New(rand.NewPCG(seed, 0))
		var entries []Entry
		for i := range 6 {
			entry := small(fmt.Sprint("m", i), i/2, float64(16+random.IntN(16)))
			entry.StartedAtUs = startUs
			entries = append(entries, entry)
		}
		f := newBed(t, s, seed, entries...)
		var running []Place
		attempts := map[string]int{} // for each ticket, ended
		for i := range 300 {
			request := f.request(fmt.Sprint(i), s.Classes[random.IntN(4)].Name, 0.5+random.Float64(), 1)
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
			all, running = append(all, actions...), append(running, of[Place](actions)...)
		}
		return all
	}
	for seed := range uint64(5) {
		want := play(seed, 0, func(*Settings) {})
		if len(of[Place](want)) < 150 {
			t.Fatalf("seed %d: only %d offers", seed, len(of[Place](want)))
		}
		for name, got := range map[string][]Action{
			"no budget for cold machines": play(seed, 0, func(s *Settings) { s.SlowStartOffers = 0 }),
			"a fleet with small parts":    play(seed, 0, func(s *Settings) { s.SlowStartOffers, s.SlowStartWindowUs = 1, 60*second }),
			"no cold time":                play(seed, 1_000_000_000-second, func(s *Settings) { s.WarmUpUs = 0 }),
			"started long ago":            play(seed, 1, func(*Settings) {}),
		} {
			if !reflect.DeepEqual(got, want) {
				t.Errorf("seed %d: %s: other actions than without a start", seed, name)
			}
		}
	}
}
