package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// TestIndexFollowsEvents compares what the index and the sums hold with what they are kept
// from, after each step of drawn histories.
func TestIndexFollowsEvents(t *testing.T) {
	indexed := 0
	for i := range min(*historiesFlag, 30) {
		seed := *seedFlag + 1000 + uint64(i)
		h := newHistory(t, seed)
		for step := range h.stepCount {
			h.step()
			h.p.refreshIndex()
			n, err := checkIndex(h.p)
			if err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, step, err)
			}
			indexed += n
		}
	}
	if indexed == 0 {
		t.Error("no machine was indexed in any history")
	}
}

// checkIndex returns how many machines are indexed, or what is wrong with the index.
func checkIndex(p *Scheduler) (indexed int, err error) {
	sums := struct{ asked, cores, memory float64 }{}
	for ordinal, m := range p.sorted {
		if m.ordinal != ordinal || p.nameHashes[ordinal] != m.nameHash {
			return 0, fmt.Errorf("%s: ordinal %d, want %d", m.Worker, m.ordinal, ordinal)
		}
		if m.listed == p.unlisted[m] {
			return 0, fmt.Errorf("%s: listed %v, departed %v", m.Worker, m.listed, p.unlisted[m])
		}
		k := p.kindOf(m)
		if m.position.indexed != (m.listed && m.State == Ready && k != nil) {
			return 0, fmt.Errorf("%s: indexed %v; %+v", m.Worker, m.position.indexed, m.Entry)
		}
		if k == nil {
			continue
		}
		m.stale = true
		cores, memory := p.requested(m)
		m.stale = false
		if cores != m.requestedCores || memory != m.requestedMemory {
			return 0, fmt.Errorf("%s: asked for %v and %v, noted %v and %v", m.Worker, cores, memory, m.requestedCores, m.requestedMemory)
		}
		if m.listed && p.settings.HasView {
			sums.asked, sums.cores, sums.memory = sums.asked+cores, sums.cores+k.Cores, sums.memory+k.Memory
		}
		if !m.position.indexed {
			continue
		}
		indexed++
		if err := checkEntry(p, m, k); err != nil {
			return 0, err
		}
	}
	if near := func(a, b float64) bool { return math.Abs(a-b) <= 1e-6*max(1, a) }; !near(sums.asked, p.requestedCores) ||
		!near(sums.cores, p.listedCapacity.cores) || !near(sums.memory, p.listedCapacity.memory) {
		return 0, fmt.Errorf("sums %+v; noted %v and %+v", sums, p.requestedCores, p.listedCapacity)
	}
	if held := countEntries(p); held != indexed {
		return 0, fmt.Errorf("%d entries of %d machines", held, indexed)
	}
	return indexed, checkPrograms(p)
}

func checkEntry(p *Scheduler, m *workerInfo, k *Kind) error {
	kind := &p.index.kinds[m.position.kindIndex]
	l := &kind.levels[m.position.level]
	e := l.entries[m.position.entryIndex]
	switch {
	case m.position.kindIndex != m.kindIndex || e.worker != m:
		return fmt.Errorf("%s: its slot %+v holds %s", m.Worker, m.position, e.worker.Worker)
	case p.settings.HasView && e.requested != fractions{m.requestedCores / k.Cores, m.requestedMemory / k.Memory}:
		return fmt.Errorf("%s: entry %+v", m.Worker, e.requested)
	case !l.minRequested.within(e.requested) || e.calibration < l.minCalibration || e.calibration > min(m.coresCalibration, m.memoryCalibration):
		return fmt.Errorf("%s: entry %+v below the bounds %+v and %v of its level", m.Worker, e, l.minRequested, l.minCalibration)
	case (p.reservations[m] > 0) != (m.position.entryIndex >= l.unreserved):
		return fmt.Errorf("%s: kept %v, number %d of %d free ones", m.Worker, p.reservations[m] > 0, m.position.entryIndex, l.unreserved)
	}
	share := max(e.requested.cores/p.index.scale.cores, e.requested.memory/p.index.scale.memory)
	if floor := float64(m.position.level) * levelWidth; share < floor || share >= floor+levelWidth && m.position.level < levelCount-1 {
		return fmt.Errorf("%s: share %v at level %d", m.Worker, share, m.position.level)
	}
	return nil
}

// countEntries counts the machines in all levels, and -1 where a set of levels is wrong.
func countEntries(p *Scheduler) (count int) {
	for i := range p.index.kinds {
		k := &p.index.kinds[i]
		for number := range k.levels {
			l := &k.levels[number]
			count += len(l.entries)
			bit := uint64(1) << (number % 64)
			if (k.occupied[number/64]&bit != 0) != (len(l.entries) > 0) || (k.unreserved[number/64]&bit != 0) != (l.unreserved > 0) {
				return -1
			}
		}
	}
	return count
}

func checkPrograms(p *Scheduler) error {
	homes := 0
	for _, m := range p.sorted {
		for program := range m.residentPrograms {
			homes++
			if !slices.Contains(p.residents[program], m) {
				return fmt.Errorf("%s is not among the machines of program %d", m.Worker, program)
			}
		}
	}
	for _, ms := range p.residents {
		homes -= len(ms)
	}
	if homes != 0 {
		return fmt.Errorf("%d machines too few are noted to hold programs", homes)
	}
	return nil
}

// largeFleet is a bed with n machines of one kind that are asked for drawn shares.
func largeFleet(t *testing.T, n int, share func(*rand.Rand) float64) *bed {
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	entries := make([]Entry, n)
	for i := range entries {
		entries[i] = small(fmt.Sprintf("m%05d", i), i/8, 32*(1-share(rng)))
	}
	return newBed(t, testSettings(), 1, entries...)
}

// probe is a task that nobody asked the placer for.
func (b *bed) probe(program uint64) *taskInfo {
	r := b.request("probe", "safe", 1, 2)
	r.Program = program
	return &taskInfo{Task: r.Task, arrivedAt: b.now, queuedSince: b.now}
}

func levelled(rng *rand.Rand) float64 { return 0.6 + 0.04*rng.NormFloat64() }

// TestSearchLooksAtFew bounds how many machines a search looks at, and that by less than
// the growth of the fleet.
func TestSearchLooksAtFew(t *testing.T) {
	looked := map[int]float64{}
	for _, n := range []int{400, 4000} {
		b := largeFleet(t, n, levelled)
		for program := range uint64(50) {
			b.p.finalists(b.probe(program))
			looked[n] += float64(b.p.search.evaluated) / 50
		}
	}
	idle := largeFleet(t, 4000, func(*rand.Rand) float64 { return 0 })
	if idle.p.finalists(idle.probe(0)); idle.p.search.evaluated > maxEnumerated {
		t.Errorf("%d machines looked at in an idle fleet, want %d at most", idle.p.search.evaluated, maxEnumerated)
	}
	if looked[400] > 40 || looked[4000] > 2*looked[400] {
		t.Errorf("machines looked at in a search, by fleet: %v", looked)
	}
}

// TestFullFleetIsRemembered has a search in a fleet without room look at no machine, and
// pass over whole levels once one search has found that they have none.
func TestFullFleetIsRemembered(t *testing.T) {
	b := largeFleet(t, 4000, func(rng *rand.Rand) float64 { return 1.495 + 0.004*rng.Float64() })
	// One machine of the same level had room, which an earlier bound shows still.
	last := small("m03999", 0, 32*(1-1.478))
	b.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{last}})
	x := b.probe(0)
	x.Cores, x.Memory = 0.25, 0.5
	if near := b.p.finalists(x); len(near) != 1 {
		t.Fatalf("%d machines to draw from, want the one with room", len(near))
	}
	last.FreeCores, last.FreeMemory = 32*(1-1.495), 64*(1-1.495)
	b.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{last}})
	if near := b.p.finalists(x); len(near) > 0 || b.p.search.evaluated > 0 {
		t.Fatalf("a full fleet: %d machines to draw from, %d looked at", len(near), b.p.search.evaluated)
	}
	for _, k := range b.p.index.kinds {
		for number := range k.levels {
			if l := &k.levels[number]; len(l.entries) > 0 && b.p.search.limits[0].admits(l.minRequested, l.minCalibration) {
				t.Errorf("level %d of %d machines is not passed over: it is taken to be asked for %+v", number, len(l.entries), l.minRequested)
			}
		}
	}
}

// TestFirstByNameIsKept has the first of equals kept for a held task, as in a small fleet
// nothing else tells them apart.
func TestFirstByNameIsKept(t *testing.T) {
	b := newBed(t, testSettings(), 1, small("c", 0, -20), small("b", 0, -16), small("a", 0, -16), small("d", 1, -16))
	x := b.probe(0)
	x.Cores, x.Memory = 8, 8
	if m := b.p.closestToFitting(x); m == nil || m.Worker != "a" {
		t.Errorf("kept %v, want a", m)
	}
}

// TestSearchAllocatesNothing counts the allocations of a search once its slices have grown.
func TestSearchAllocatesNothing(t *testing.T) {
	b := largeFleet(t, 1000, levelled)
	x := b.probe(7)
	if n := testing.AllocsPerRun(100, func() { b.p.selectWorker(x) }); n > 0 {
		t.Errorf("%v allocations a search", n)
	}
}

// TestEqualsAreDrawnEvenly draws often among thousands of machines that are all alike.
func TestEqualsAreDrawnEvenly(t *testing.T) {
	const machines, mean = 4000, 10
	b := largeFleet(t, machines, func(*rand.Rand) float64 { return 0.3 })
	drawn := map[*workerInfo]int{}
	for range machines * mean {
		drawn[b.p.selectWorker(b.probe(0))]++
	}
	var squares float64
	for _, m := range b.p.sorted {
		squares += math.Pow(float64(drawn[m])-mean, 2) / mean
	}
	// The sum has the mean of the number of machines and a deviation of sqrt(2 machines).
	if limit := machines + 6*math.Sqrt(2*machines); squares > limit {
		t.Errorf("chi-square %.0f over %d machines, %.0f at most", squares, machines, limit)
	}
}

// TestChoiceInALargeFleet compares the cost of what is chosen with the lowest of all, as a
// large fleet is looked at in part.
func TestChoiceInALargeFleet(t *testing.T) {
	for _, share := range []struct {
		name string
		draw func(*rand.Rand) float64
	}{
		{"levelled", levelled},
		{"alike", func(rng *rand.Rand) float64 { return 0.5 + 0.001*rng.Float64() }},
		{"uneven", func(rng *rand.Rand) float64 { return rng.Float64() }},
	} {
		b := largeFleet(t, 4000, share.draw)
		var chosen, lowest float64
		for program := range uint64(200) {
			x := b.probe(program % 20) // 0 is none
			m := b.p.selectWorker(x)
			least := math.Inf(1)
			for _, o := range b.p.sorted {
				least = min(least, b.p.admissionCost(o, x))
			}
			got := b.p.admissionCost(m, x)
			if got > least+2*costMargin {
				t.Errorf("%s: cost %v at %s, the lowest is %v", share.name, got, m.Worker, least)
			}
			chosen, lowest = chosen+got, lowest+least
		}
		// Drawn evenly among those within the margin, a choice costs half of that more.
		if loss := (chosen - lowest) / 200; loss > 0.75*costMargin {
			t.Errorf("%s: the chosen cost %.4f more than the lowest in the mean", share.name, loss)
		}
	}
}

// TestMeansOfALargeFleet has the means of a large fleet follow it after a second.
func TestMeansOfALargeFleet(t *testing.T) {
	b := largeFleet(t, maxEnumerated+1, func(*rand.Rand) float64 { return 0 })
	b.p.meanUtilization()
	entries := make([]Entry, len(b.p.sorted))
	for i, m := range b.p.sorted {
		entries[i] = m.Entry
		entries[i].FreeCores = 16
	}
	b.at(second/2, WorkerList{Kind: ListDelta, Entries: entries})
	if rho, _ := b.p.meanUtilization(); rho != 0 {
		t.Errorf("share %v before a second has passed, want that of before", rho)
	}
	b.at(second/2, TimerFired{})
	if rho, _ := b.p.meanUtilization(); math.Abs(rho-0.5/b.p.baseline.cores) > 1e-9 {
		t.Errorf("share %v after a second, want %v", rho, 0.5/b.p.baseline.cores)
	}
}

// TestRoomOfALargeFleet has the spare room of a large fleet follow it with the bell.
func TestRoomOfALargeFleet(t *testing.T) {
	b := largeFleet(t, maxEnumerated+1, func(*rand.Rand) float64 { return 0 })
	b.p.settings.UnitCores, b.p.settings.UnitMemory = 1, 2
	all := b.p.freeUnits()
	for _, m := range b.p.sorted {
		m.attemptWindow = 0 // it may be offered nothing
	}
	b.at(retryInterval/2, TimerFired{})
	if got := b.p.freeUnits(); got != all {
		t.Errorf("room %v before the bell is due, want %v as before", got, all)
	}
	b.at(retryInterval/2, TimerFired{})
	if got := b.p.freeUnits(); got != 0 {
		t.Errorf("room %v with the bell, want none", got)
	}
}

// TestHeldTasksOfALargeFleet has held tasks looked at when the bell rings, and not at each
// change of the list, of which a large fleet has one in each turn.
func TestHeldTasksOfALargeFleet(t *testing.T) {
	for _, n := range []int{maxEnumerated, maxEnumerated + 1} {
		b := largeFleet(t, n, func(*rand.Rand) float64 { return 1.5 })
		if got := of[Place](b.at(ms, b.request("1", "safe", 1, 2))); len(got) > 0 {
			t.Fatalf("%d machines: placed %v in a full fleet", n, got)
		}
		room := small("m00007", 0, 20)
		atOnce := len(of[Place](b.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{room}})))
		if want := map[bool]int{true: 1}[n <= maxEnumerated]; atOnce != want {
			t.Errorf("%d machines: %d tasks placed as room was told, want %d", n, atOnce, want)
		}
		if later := len(of[Place](b.at(retryInterval, TimerFired{Ref: "wake"}))); atOnce+later != 1 {
			t.Errorf("%d machines: %d tasks placed by the bell, want 1 in all", n, later)
		}
	}
}

// TestDepartedMachinesAreForgotten has nothing left of machines that went.
func TestDepartedMachinesAreForgotten(t *testing.T) {
	b := largeFleet(t, 100, levelled)
	for i := range 30 {
		b.started(fmt.Sprint(i))
	}
	gone := WorkerList{Kind: ListDelta}
	for _, m := range b.p.sorted {
		e := m.Entry
		e.State = Removed
		gone.Entries = append(gone.Entries, e)
	}
	b.at(ms, gone)
	for ticket, x := range b.p.tasks {
		b.at(0, AttemptEnded{RequestID: ticket, Attempt: len(x.attempts) - 1, Outcome: Completed, Final: true})
	}
	b.at(ms, WorkerList{Kind: ListDelta})
	b.p.refreshIndex()
	p := b.p
	if left := len(p.sorted) + len(p.workers) + len(p.unlisted) + len(p.residents) + len(p.preferred) + countEntries(p); left != 0 {
		t.Errorf("left: %d machines by name, %d departed, %d programs, %d preferred, %d entries",
			len(p.sorted), len(p.unlisted), len(p.residents), len(p.preferred), countEntries(p))
	}
	if p.requestedCores != 0 && math.Abs(p.requestedCores) > 1e-9 || p.listedCapacity != (fractions{}) {
		t.Errorf("left: %v cores asked of %+v", p.requestedCores, p.listedCapacity)
	}
}

// started has a task placed and accepted.
func (b *bed) started(ticket string) {
	b.t.Helper()
	got := of[Place](b.at(ms, b.request(ticket, "safe", 1, 2)))
	if len(got) != 1 {
		b.t.Fatalf("%d places of task %s, want 1", len(got), ticket)
	}
	b.at(ms, Accepted{RequestID: ticket, Worker: got[0].Worker, RTTUs: ms})
}
