package placement

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// This file holds the choice of a machine as a full scan, written out plainly from the
// raw state of a placer. It uses none of the placer's own reckoning, so that any faster
// way to the same choice can be compared with it.

const (
	// referenceSlack is how near a border a value may lie to count on either side.
	referenceSlack = 1e-9
	// flipsMost is up to how many machines at a border of room are tried both ways.
	flipsMost = 5
)

// reference looks at the machines of a placer as they stand.
type reference struct {
	p        *Scheduler
	machines []*workerInfo // by name
	rho      float64    // asked share of the fleet
	mean     float64    // mean cores
}

func newReference(p *Scheduler) *reference {
	r := &reference{p: p, machines: slices.Collect(maps.Values(p.workers))}
	slices.SortFunc(r.machines, func(a, b *workerInfo) int { return cmp.Compare(a.Worker, b.Worker) })
	r.rho, r.mean = r.fleet()
	return r
}

// --- What a machine is asked for and bears ---

func (r *reference) changesSince(m *workerInfo, at int64) (cores, mem float64) {
	for _, d := range slices.Backward(m.deltas) {
		if d.at > at {
			cores, mem = cores+d.cores, mem+d.memory
		}
	}
	return cores, mem
}

func (r *reference) load(m *workerInfo) (cores, mem float64) {
	kind := r.p.settings.Kinds[m.kindIndex]
	at, spareC, spareM := m.viewedAt-r.p.lag, m.FreeCores, m.FreeMemory
	if reported := m.reportedAt - reportLag; m.reportsFree && reported > at {
		at, spareC, spareM = reported, m.lastReport.FreeCores, m.lastReport.FreeMemory
	}
	c, b := r.changesSince(m, at)
	return max(0, kind.Cores-spareC+c), max(0, kind.Memory-spareM+b)
}

// calibrationBelow is what is left of a bend by now.
func (r *reference) bent(m *workerInfo, bend float64) float64 {
	if m.calibratedAt == r.p.now {
		return bend
	}
	return 1 - (1-bend)*math.Exp2(-float64(r.p.now-m.calibratedAt)/float64(calibrationHalfLife))
}

func (r *reference) calm() float64 {
	least := math.Inf(1)
	for _, c := range r.p.settings.Classes {
		least = min(least, c.SaturationLoad)
	}
	return least
}

func (r *reference) bears(m *workerInfo) (cores, mem float64) {
	p := r.p
	kind := p.settings.Kinds[m.kindIndex]
	c, b := p.settings.CoresOvercommit, p.settings.MemoryOvercommit
	if p.reportedRequests[0] > 0 && p.reportedUsage[0] > 0 {
		c = min(c, r.calm()*p.reportedRequests[0]/p.reportedUsage[0])
	}
	if p.reportedRequests[1] > 0 && p.reportedUsage[1] > 0 {
		b = min(b, memorySaturation*p.reportedRequests[1]/p.reportedUsage[1])
	}
	return kind.Cores * c * r.bent(m, m.coresCalibration), kind.Memory * b * r.bent(m, m.memoryCalibration)
}

func (r *reference) share(m *workerInfo) float64 {
	c, b := r.load(m)
	bearC, bearM := r.bears(m)
	return max(c/bearC, b/bearM)
}

// --- Sums over the fleet ---

func (r *reference) fleet() (rho, cores float64) {
	var have, n float64
	for _, m := range r.machines {
		if !m.listed || m.State != Ready || m.kindIndex < 0 {
			continue
		}
		size := r.p.settings.Kinds[m.kindIndex].Cores
		if r.p.settings.HasView {
			rho += r.share(m) * size
		}
		have += size
		n++
	}
	if n == 0 {
		return 0, 1
	}
	return rho / have, have / n
}

func (r *reference) askedCores() (sum float64) {
	for _, m := range r.machines {
		if m.listed && m.kindIndex >= 0 && r.p.settings.HasView {
			c, _ := r.load(m)
			sum += c
		}
	}
	return sum
}

func (r *reference) othersBinds() (shares [2]float64) {
	p := r.p
	if !p.overloaded || !p.settings.HasView {
		return shares
	}
	var net, squares, have [2]float64
	for _, m := range r.machines {
		if m.kindIndex < 0 || !m.listed {
			continue
		}
		kind := p.settings.Kinds[m.kindIndex]
		have[0], have[1] = have[0]+kind.Cores, have[1]+kind.Memory
		for _, d := range m.deltas {
			if d.at > m.viewedAt-p.lag {
				net[0], net[1] = net[0]+d.cores, net[1]+d.memory
				squares[0], squares[1] = squares[0]+d.cores*d.cores, squares[1]+d.memory*d.memory
			}
		}
	}
	for i := range shares {
		beyond := max(0, net[i]-2*math.Sqrt(squares[i]))
		shares[i] = beyond * float64(p.settings.FleetSize-1) / max(1, have[i])
	}
	return shares
}

func (r *reference) room() (units float64) {
	p := r.p
	if p.settings.UnitCores <= 0 || p.settings.UnitMemory <= 0 {
		return math.Inf(1)
	}
	for _, m := range r.machines {
		if !m.listed || m.State != Ready || m.kindIndex < 0 || !p.settings.HasView {
			continue
		}
		c, b := r.load(m)
		bearC, bearM := r.bears(m)
		free := min((bearC-c)/p.settings.UnitCores, (bearM-b)/p.settings.UnitMemory) / float64(p.settings.FleetSize)
		units += max(0, min(free, m.attemptWindow-float64(len(m.unanswered))))
	}
	return units
}

// --- Filters ---

func (r *reference) same(a, b *workerInfo, s Scope) bool {
	switch s {
	case ScopeMachine:
		return a == b
	case ScopeCell:
		return a.everListed && b.everListed && a.Cell == b.Cell
	case ScopeZone:
		return a.everListed && b.everListed && a.Zone == b.Zone
	}
	return true
}

// allowed is the rules, the kind and the window.
func (r *reference) allowed(m *workerInfo, t *taskInfo) bool {
	c := &r.p.settings.Classes[t.classIndex]
	switch {
	case !m.listed || m.State != Ready || m.kindIndex < 0 || r.p.now < m.drainingUntil:
		return false
	case float64(len(m.unanswered)) >= m.attemptWindow:
		return false
	case c.Kind >= 0 && c.Kind != m.kindIndex:
		return false
	}
	return r.inGroup(m, c, t) && r.spreadKept(m, c, t) && r.coldKept(m)
}

func (r *reference) inGroup(m *workerInfo, c *Class, t *taskInfo) bool {
	if t.mayHaveRun == nil || c.Effect == Safe {
		return true
	}
	if c.Effect == Unsafe || r.p.now >= t.mayHaveRun.sentAt+c.WindowUs {
		return false
	}
	return c.Group == ScopeAll || r.same(m, t.mayHaveRun.worker, c.Group)
}

func (r *reference) spreadKept(m *workerInfo, c *Class, t *taskInfo) bool {
	if c.Spread == ScopeNone {
		return true
	}
	tasks := 1
	for _, o := range r.machines {
		if h := o.residentPrograms[t.Program]; h != nil && (r.same(m, o, c.Spread) || !o.everListed && o != m) {
			tasks += h.active
		}
	}
	return tasks <= c.MaxPerDomain
}

func (r *reference) cold(m *workerInfo) bool {
	return m.StartedAtUs > 0 && r.p.now < m.StartedAtUs+r.p.settings.WarmUpUs
}

func (r *reference) coldKept(m *workerInfo) bool {
	p := r.p
	if !r.cold(m) {
		return true
	}
	offersAfter := func(at int64) (n int) {
		for _, o := range m.offerTimes {
			if o > at {
				n++
			}
		}
		return n
	}
	span := p.settings.SlowStartWindowUs*11/10 + 1
	budget := min(p.settings.SlowStartOffers, 2*(p.settings.SlowStartOffers+2*math.Sqrt(p.settings.SlowStartOffers)+2)/3)
	fleet := p.settings.FleetSize
	seat := (p.settings.SelfIndex + int(m.nameHash%uint64(fleet))) % fleet
	if int(budget) >= fleet {
		return p.now >= p.startedAt+span && offersAfter(max(p.now-span, m.StartedAtUs-1)) < (int(budget)+seat)/fleet
	}
	if budget < 1 || p.now < m.StartedAtUs {
		return false
	}
	crowd, step := max(1, int(budget)/2), 1
	if budget < 2 {
		step = 2
	}
	turns := (fleet + crowd - 1) / crowd
	slot := p.now / span
	begun := slot * span
	return slot%int64(turns*step) == int64(seat%turns*step) && p.startedAt < begun && offersAfter(begun-1) == 0
}

func (r *reference) suspicion(m *workerInfo, class int) float64 {
	d := m.suspicions[class]
	if d.score == 0 {
		return 0
	}
	return d.score * math.Exp2(-float64(r.p.now-d.updatedAt)/float64(suspicionHalfLife))
}

func (r *reference) patience() int64 {
	if r.p.settings.AcceptMeansRunning {
		return max(int64(r.p.meanRTT+8*r.p.rttDeviation), second)
	}
	return max(int64(r.p.meanRTT+4*r.p.rttDeviation), second/8)
}

func (r *reference) healthy(m *workerInfo, class int) bool {
	if r.p.meanRTT > 0 {
		if len(m.unanswered) > 0 && r.p.now-m.unanswered[0].sentAt > r.patience() {
			return false
		}
		if m.probeSentAt > 0 && r.p.now-m.probeSentAt > r.patience() {
			return false
		}
	}
	s := r.suspicion(m, class)
	return s < suspectThreshold || s < ejectionThreshold && len(m.unanswered) == 0 && r.p.settings.Classes[class].Effect != Unsafe
}

// fits reports whether m has room for t, and whether that is at a border.
func (r *reference) fits(m *workerInfo, t *taskInfo) (fits, border bool) {
	p := r.p
	kind := p.settings.Kinds[m.kindIndex]
	if !p.settings.HasView {
		return t.Cores <= kind.Cores*p.settings.CoresOvercommit && t.Memory <= kind.Memory*p.settings.MemoryOvercommit, false
	}
	cores, mem := r.load(m)
	if p.overloaded {
		cores += min(p.contention*kind.Cores, max(0, m.FreeCores-m.sustainedFreeCores)) + p.concurrentPlacements[0]*kind.Cores
		mem += min(p.contention*kind.Memory, max(0, m.FreeMemory-m.sustainedFreeMemory)) + p.concurrentPlacements[1]*kind.Memory
	}
	atMost := func(v, most float64) bool {
		border = border || math.Abs(v-most) <= referenceSlack*max(1, most)
		return v <= most
	}
	if !atMost(cores+t.Cores, kind.Cores*p.settings.CoresOvercommit) || !atMost(mem+t.Memory, kind.Memory*p.settings.MemoryOvercommit) {
		return false, border
	}
	bearC, bearM := r.bears(m)
	small := atMost(max(t.Cores/bearC, t.Memory/bearM), largeTaskShare)
	if !small && p.now-t.arrivedAt > p.settings.Classes[t.classIndex].ObjectiveUs/4 {
		return true, border
	}
	enoughC, enoughM := atMost(cores+t.Cores, bearC), atMost(mem+t.Memory, bearM)
	return enoughC && enoughM, border
}

// --- Cost ---

func (r *reference) backlog(m *workerInfo) float64 {
	n := len(m.unanswered)
	for _, t := range m.running {
		if t.attempts[len(t.attempts)-1].starting {
			n++
		}
	}
	waiting := float64(n)
	if r.p.now-m.reportedAt < reportValidity && m.lastReport.Queued >= waiting && m.lastReport.Queued <= 1e4 {
		waiting = m.lastReport.Queued
	}
	return startPenalty * waiting
}

func (r *reference) pace(m *workerInfo) float64 {
	if !r.cold(m) {
		return 1
	}
	warm := max(0, float64(r.p.now-m.StartedAtUs)/float64(r.p.settings.WarmUpUs))
	return max(0.1, r.p.settings.ColdStartRate+(1-r.p.settings.ColdStartRate)*warm)
}

func (r *reference) away(m *workerInfo, t *taskInfo) float64 {
	if t.Program == 0 || m.residentPrograms[t.Program] != nil {
		return 0
	}
	place := (1 - float64(mix(m.nameHash^mix(t.Program)))/math.MaxUint64) * float64(len(r.machines))
	return min(1, place/programWorkers)
}

func (r *reference) cost(m *workerInfo, t *taskInfo) float64 {
	cores := r.p.settings.Kinds[m.kindIndex].Cores
	rho := min(r.rho, maxUtilization)
	u := rho
	if r.p.settings.HasView {
		u = r.share(m)
	}
	u += r.backlog(m)*r.mean/cores/r.pace(m) + missPenalty*r.away(m, t)
	bearC, bearM := r.bears(m)
	x := max(t.Cores/bearC, t.Memory/bearM)
	return u + cores/r.mean/(1-rho)*(u*x+x*x/2)
}

// --- The choice ---

// choice is what a full scan comes to.
type choice struct {
	must, may []*workerInfo // the draw is among all of must and any of may, which holds must too
	wide      []*workerInfo // within twice the margin
	many      bool       // more can be chosen than are looked at one by one
	how       string     // on what path
}

// The paths of a choice.
const (
	pathWaits    = "waits"
	pathNoRoom   = "no room"
	pathFallback = "least suspect"
	pathReturned = "returned by hand"
	pathCheapest = "cheapest"
)

// candidate is a machine that the rules allow.
type candidate struct {
	m            *workerInfo
	well         bool
	room, border bool
}

func (r *reference) candidates(t *taskInfo) (list []candidate) {
	for _, m := range r.machines {
		if !r.allowed(m, t) || t.priority*reservationFactor < r.p.reservations[m] {
			continue
		}
		erred := slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.failed && a.worker == m })
		room, border := r.fits(m, t)
		list = append(list, candidate{m, r.healthy(m, t.classIndex) && !erred, room, border})
	}
	return list
}

// selectWorker is the full scan over the candidates.
func (r *reference) choose(list []candidate, t *taskInfo) choice {
	effect := r.p.settings.Classes[t.classIndex].Effect
	var fit, well []*workerInfo
	good := 0
	for _, c := range list {
		if c.well {
			good++
		}
		if c.room {
			fit = append(fit, c.m)
			if c.well {
				well = append(well, c.m)
			}
		}
	}
	bad := len(list) - good
	if len(fit) == 0 {
		return choice{how: pathNoRoom}
	}
	how := pathCheapest
	if len(well) == 0 {
		if good > bad && effect != Safe {
			return choice{how: pathWaits}
		}
		least := r.leastSuspect(fit, t.classIndex)
		if least == nil {
			return choice{how: pathWaits}
		}
		well, how = []*workerInfo{least}, pathFallback
	}
	for _, m := range well {
		if m.awaitsFirstTask && effect != Unsafe {
			return choice{[]*workerInfo{m}, []*workerInfo{m}, nil, false, pathReturned}
		}
	}
	must, may, wide := r.nearLowest(well, t)
	return choice{must, may, wide, len(well) > maxEnumerated, how}
}

// fallback is the first of the least suspect machines that owe one answer at most.
func (r *reference) leastSuspect(ms []*workerInfo, class int) (least *workerInfo) {
	for _, m := range ms {
		if len(m.unanswered) <= 1 && (least == nil || r.suspicion(m, class) < r.suspicion(least, class)) {
			least = m
		}
	}
	return least
}

func (r *reference) nearLowest(ms []*workerInfo, t *taskInfo) (must, may, wide []*workerInfo) {
	least := math.Inf(1)
	costs := make([]float64, len(ms))
	for i, m := range ms {
		costs[i] = r.cost(m, t)
		least = min(least, costs[i])
	}
	for i, m := range ms {
		if costs[i] <= least+costMargin-referenceSlack {
			must = append(must, m)
		}
		if costs[i] <= least+costMargin+referenceSlack {
			may = append(may, m)
		}
		if costs[i] <= least+2*costMargin {
			wide = append(wide, m)
		}
	}
	return must, may, wide
}

// matches reports whether machines are what this choice draws among.
func (c choice) matches(got []*workerInfo) bool {
	if c.many { // a part of them is drawn from
		return len(got) > 0 && !slices.ContainsFunc(got, func(m *workerInfo) bool { return !slices.Contains(c.wide, m) })
	}
	has := map[*workerInfo]bool{}
	for _, m := range got {
		if has[m] || !slices.Contains(c.may, m) {
			return false
		}
		has[m] = true
	}
	for _, m := range c.must {
		if !has[m] {
			return false
		}
	}
	return true
}

// eachFlip calls f with the candidates, then with those at a border of room decided
// the other way in every combination, until f is satisfied.
func eachFlip(list []candidate, f func([]candidate) bool) (ok, flipped bool) {
	if f(list) {
		return true, false
	}
	var border []int
	for i, c := range list {
		if c.border {
			border = append(border, i)
		}
	}
	border = border[:min(len(border), flipsMost)]
	for set := 1; set < 1<<len(border); set++ {
		other := slices.Clone(list)
		for bit, i := range border {
			if set>>bit&1 == 1 {
				other[i].room = !other[i].room
			}
		}
		if f(other) {
			return true, true
		}
	}
	return false, false
}

// compareNearest says on what path the full scan decides about t, whether a border had
// to be decided otherwise, and what is wrong with got.
func (r *reference) compareNearest(t *taskInfo, got []*workerInfo) (path string, flipped bool, err error) {
	list := r.candidates(t)
	want := r.choose(list, t)
	ok, flipped := eachFlip(list, func(l []candidate) bool { return r.choose(l, t).matches(got) })
	if !ok {
		err = fmt.Errorf("task %+v, rank %v: nearest = %s, the full scan (%s) gives %s", t.Task, t.priority, names(got), want.how, names(want.may))
	}
	return want.how, flipped, err
}

// compareElsewhere checks whether a machine other than m has room for t.
func (r *reference) compareElsewhere(t *taskInfo, m *workerInfo, got bool) (flipped bool, err error) {
	var list []candidate
	for _, o := range r.machines {
		if o != m && r.allowed(o, t) && r.healthy(o, t.classIndex) {
			room, border := r.fits(o, t)
			list = append(list, candidate{o, true, room, border})
		}
	}
	ok, flipped := eachFlip(list, func(l []candidate) bool {
		return got == slices.ContainsFunc(l, func(c candidate) bool { return c.room })
	})
	if !ok {
		err = fmt.Errorf("task %+v away from %s: elsewhere = %v, the full scan gives %v", t.Task, m.Worker, got, !got)
	}
	return flipped, err
}

// compareKeep checks the machine that is newly kept for t, or nil.
func (r *reference) compareKeep(t *taskInfo, got *workerInfo) error {
	p := r.p
	var want []*workerInfo
	if p.settings.HasView && len(p.reservations)*2 < len(r.machines) {
		least, needs := math.Inf(1), map[*workerInfo]float64{}
		for _, m := range r.machines {
			if p.reservations[m] > 0 || !r.allowed(m, t) || !r.healthy(m, t.classIndex) {
				continue
			}
			c, b := r.load(m)
			bearC, bearM := r.bears(m)
			needs[m] = max((c+t.Cores)/bearC, (b+t.Memory)/bearM)
			least = min(least, needs[m])
		}
		for m, v := range needs {
			if v <= least+referenceSlack {
				want = append(want, m)
			}
		}
	}
	if got == nil && len(want) == 0 || slices.Contains(want, got) {
		return nil
	}
	name := "none"
	if got != nil {
		name = got.Worker
	}
	return fmt.Errorf("task %+v: kept %s, the full scan gives one of %s", t.Task, name, names(want))
}

// compareSums checks what is summed over the fleet.
func (r *reference) compareSums() error {
	p := r.p
	rho, mean := p.meanUtilization()
	others, wantOthers := p.estimateConcurrentPlacements(), r.othersBinds()
	for _, c := range []struct {
		name      string
		got, want float64
	}{
		{"asked share of the fleet", rho, r.rho}, {"mean cores", mean, r.mean}, {"asked cores", p.fleetRequestedCores(), r.askedCores()},
		{"room", p.freeUnits(), r.room()}, {"cores bound by others", others[0], wantOthers[0]}, {"memory bound by others", others[1], wantOthers[1]},
	} {
		if c.got != c.want && math.Abs(c.got-c.want) > referenceSlack*max(1, math.Abs(c.want)) {
			return fmt.Errorf("%s: %v, the full scan gives %v", c.name, c.got, c.want)
		}
	}
	return nil
}

func names(ms []*workerInfo) string {
	if ms == nil {
		return "none"
	}
	var list []string
	for _, m := range ms {
		list = append(list, m.Worker)
	}
	slices.Sort(list)
	return "[" + strings.Join(list, " ") + "]"
}
