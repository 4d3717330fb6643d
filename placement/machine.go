package placement

// This file is what a placer remembers of machines: own changes of what they are asked for,
// the tasks they hold, and the order of their names. It decides nothing.

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

const (
	// sustainedViews is how many views of a machine are kept.
	sustainedViews = 4
	// maxIdlePrograms is for how many programs, after their last task, a machine is
	// taken to keep them: the least that machines of this kind keep.
	maxIdlePrograms = 4
)

// delta is a change that this placer made to what a machine is asked for.
type delta struct {
	at         int64
	cores, memory float64
}

// residentProgram is what this placer knows of a program on a machine.
type residentProgram struct {
	active int   // attempts and tasks without an outcome
	lastEndedAt int64 // when the last of them ended
}

// ensureWorker is what this placer knows of a machine.
type workerInfo struct {
	Entry
	nameHash                 uint64 // hash of its name
	everListed              bool   // it was on a list, so its places are known
	listed             bool   // it is on the list held now
	foreign            bool   // it is in Placer.foreign
	kindIndex               int    // index in Settings.Kinds, or -1
	viewedAt             int64
	recentFree             [sustainedViews][2]float64 // of the last views
	viewCount              int
	sustainedFreeCores, sustainedFreeMemory float64 // room that all of these showed
	deltas             []delta
	residentPrograms              map[uint64]*residentProgram
	active               int // attempts and tasks without an outcome

	unanswered []*attempt
	attemptWindow     float64 // unanswered attempts that it may owe
	drainingUntil  int64   // until when it is taken to drain
	migratedAt    int64
	running    []*taskInfo // own placed tasks, in order of placing
	suspicions     []suspicionScore // suspicion, by class
	lastAcceptedAt      []int64 // when an attempt of a class was last accepted
	reachableAt  int64   // when it was last told to be there after a failure
	coresCalibration      float64 // what it bears, over what its kind bears: cores
	memoryCalibration      float64 // and memory
	calibratedAt     int64
	offerTimes     []int64 // sends of late
	probeSentAt   int64   // when a probe went out that has no answer yet, or 0
	lastReport       Load    // the last report
	reportedAt     int64   // and when it came, or 0
	reportsFree   bool    // it told the room that nobody asked for
	awaitsFirstTask       bool    // it was put back by hand and got nothing since

	requestedCores, requestedMemory float64 // what it is asked for, unless it is stale
	stale                   bool    // what it is asked for has to be computed anew
	countedKind                 *Kind   // its kind, if it is in Placer.requestedCores and listedCapacity
	lagDependent                  bool    // it is in Placer.lagged
	inCalibrated              bool    // it is in Placer.bent
	position                    indexPosition    // where it stands in the index
	ordinal                 int     // its number in Placer.order
	lastSearch                    int64   // the last search that looked at it
}

// addClassSuspicion is suspicion as it stood at a time.
type suspicionScore struct {
	score float64
	updatedAt    int64
}

func (p *Scheduler) ensureWorker(name string) *workerInfo {
	m := p.workers[name]
	if m != nil {
		return m
	}
	m = &workerInfo{Entry: Entry{Worker: name}, nameHash: hashName(name), kindIndex: -1, residentPrograms: map[uint64]*residentProgram{}, coresCalibration: 1, memoryCalibration: 1, attemptWindow: initialWindow,
		suspicions: make([]suspicionScore, len(p.settings.Classes)), lastAcceptedAt: make([]int64, len(p.settings.Classes))}
	p.workers[name] = m
	p.unlisted[m] = true
	p.orderChanged()
	i, _ := slices.BinarySearchFunc(p.sorted, name, compareName)
	p.sorted = slices.Insert(p.sorted, i, m)
	return m
}

// orderChanged notes that machines came or went.
func (p *Scheduler) orderChanged() {
	p.ordinalsStale = true
	clear(p.preferred)
}

// setListed notes whether m is on the list held now.
func (p *Scheduler) setListed(m *workerInfo, listed bool) {
	m.listed = listed
	p.countForeign(m)
	if listed {
		delete(p.unlisted, m)
	} else {
		p.unlisted[m] = true
	}
	p.markStale(m)
}

// queuedSince sums the own changes made after at.
func (m *workerInfo) deltasSince(at int64) (cores, mem float64) {
	for i := len(m.deltas) - 1; i >= 0; i-- {
		if d := &m.deltas[i]; d.at > at {
			cores += d.cores
			mem += d.memory
		}
	}
	return cores, mem
}

// addDelta notes a change that this placer makes now to what m is asked for.
func (p *Scheduler) addDelta(m *workerInfo, cores, mem float64) {
	if len(m.deltas) >= maxDeltas {
		m.deltas = slices.Delete(m.deltas, 0, len(m.deltas)/2)
	}
	m.deltas = append(m.deltas, delta{p.now, cores, mem})
	p.trackLag(m)
	p.markStale(m)
}

// removeDelta takes back the bind of an attempt that never ran.
func (p *Scheduler) removeDelta(a *attempt) {
	m := a.worker
	i := slices.IndexFunc(m.deltas, func(d delta) bool { return d.at == a.sentAt && d.cores >= 0 })
	if i >= 0 {
		m.deltas = slices.Delete(m.deltas, i, i+1)
		p.markStale(m)
	}
}

// redateDelta dates a bind by its acceptance, which is what the view follows.
func (p *Scheduler) redateDelta(a *attempt) {
	for i := range a.worker.deltas {
		if d := &a.worker.deltas[i]; d.at == a.sentAt && d.cores >= 0 {
			d.at = p.now
			p.markStale(a.worker)
			return
		}
	}
}

// trackLag notes that what m is asked for depends on the view's lag from now on.
func (p *Scheduler) trackLag(m *workerInfo) {
	if !m.lagDependent {
		m.lagDependent = true
		p.lagDependent = append(p.lagDependent, m)
	}
}

// lagDependentWorkers are the machines for which the view's lag matters: those with own
// changes that the view may not hold yet, or with a report of their own.
func (p *Scheduler) lagDependentWorkers() []*workerInfo {
	p.lagDependent = slices.DeleteFunc(p.lagDependent, func(m *workerInfo) bool {
		m.lagDependent = len(m.deltas) > 0 || m.reportsFree
		return !m.lagDependent
	})
	return p.lagDependent
}

func (p *Scheduler) kindOf(m *workerInfo) *Kind {
	if m.kindIndex < 0 {
		return nil
	}
	return &p.settings.Kinds[m.kindIndex]
}

// forgetUnlisted lets go of departed machines that hold nothing of ours.
func (p *Scheduler) forgetUnlisted() {
	var gone []*workerInfo
	for m := range p.unlisted {
		if m.active == 0 {
			gone = append(gone, m)
		}
	}
	slices.SortFunc(gone, func(a, b *workerInfo) int { return cmp.Compare(a.Worker, b.Worker) })
	for _, m := range gone {
		for program := range m.residentPrograms {
			p.removeResident(m, program)
		}
		m.deltas, m.reportsFree = nil, false
		p.markStale(m)
		delete(p.unlisted, m)
		delete(p.uncordoned, m)
		delete(p.workers, m.Worker)
		i, _ := slices.BinarySearchFunc(p.sorted, m.Worker, compareName)
		p.sorted = slices.Delete(p.sorted, i, i+1)
		p.orderChanged()
	}
}

func compareName(m *workerInfo, name string) int { return cmp.Compare(m.Worker, name) }

// addResident notes that m holds one task more of a program.
func (p *Scheduler) addResident(m *workerInfo, program uint64) {
	h := m.residentPrograms[program]
	if h == nil {
		h = &residentProgram{}
		m.residentPrograms[program] = h
		p.residents[program] = append(p.residents[program], m)
	}
	h.active++
	m.active++
	m.awaitsFirstTask = false
	p.version++
}

// removeResident notes that m holds nothing of a program any more.
func (p *Scheduler) removeResident(m *workerInfo, program uint64) {
	delete(m.residentPrograms, program)
	p.version++
	holders := p.residents[program]
	i := slices.Index(holders, m)
	last := len(holders) - 1
	holders[i], holders[last] = holders[last], nil
	if last == 0 {
		delete(p.residents, program)
		return
	}
	p.residents[program] = holders[:last]
}

func sameDomain(a, b *workerInfo, s Scope) bool {
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

// addRunning notes that t runs on m.
func (p *Scheduler) addRunning(t *taskInfo, m *workerInfo) {
	t.acceptedAt = p.now
	m.running = append(m.running, t)
}

// starting counts own attempts on m that were sent and do not run yet.
func (m *workerInfo) starting() int {
	n := len(m.unanswered)
	for _, t := range m.running {
		if t.attempts[len(t.attempts)-1].starting {
			n++
		}
	}
	return n
}

// hash mixes a program and m, the same at every placer.
func (m *workerInfo) hash(program uint64) uint64 { return mix(m.nameHash ^ mix(program)) }

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// hashName is of a machine's name.
func hashName(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// endResident notes that an attempt ended. Of the programs without a task, the ones
// that ended last are kept.
func (p *Scheduler) endResident(m *workerInfo, program uint64) {
	m.active--
	h := m.residentPrograms[program]
	if h == nil {
		return
	}
	p.version++
	h.active = max(0, h.active-1)
	h.lastEndedAt = p.now
	if h.active > 0 {
		return
	}
	idle, oldest := 0, program
	for id, h := range m.residentPrograms {
		if h.active > 0 {
			continue
		}
		idle++
		o := m.residentPrograms[oldest]
		if h.lastEndedAt < o.lastEndedAt || h.lastEndedAt == o.lastEndedAt && id < oldest {
			oldest = id
		}
	}
	if idle > maxIdlePrograms {
		p.removeResident(m, oldest)
	}
}

func (p *Scheduler) updateWorker(x Entry, fresh bool) {
	m := p.ensureWorker(x.Worker)
	own := m.State != Foreign && x.State != Foreign // a change of hands tells no new view
	if fresh && own && m.everListed && m.viewedAt > 0 && m.StartedAtUs == x.StartedAtUs && p.settings.HasView {
		p.learnLag(m, x)
	}
	if m.everListed && m.StartedAtUs != x.StartedAtUs {
		// A new start holds nothing of what was there. What has no outcome yet
		// counts for the spread until it has.
		m.deltas = nil
		for program, h := range m.residentPrograms {
			if h.active == 0 {
				p.removeResident(m, program)
			}
		}
		m.coresCalibration, m.memoryCalibration = 1, 1
	}
	m.Entry, m.everListed = x, true
	p.setListed(m, x.State != Removed)
	p.version++ // its place may be another
	if m.awaitsFirstTask = m.awaitsFirstTask && m.listed || x.Uncordoned; x.Uncordoned {
		p.uncordoned[m] = true
		clear(m.suspicions) // what was held against it, its restart by hand among that, is over
	}
	m.kindIndex = slices.IndexFunc(p.settings.Kinds, func(k Kind) bool { return k.Name == x.Kind })
	m.viewedAt = p.now
	m.recentFree[m.viewCount%sustainedViews] = [2]float64{x.FreeCores, x.FreeMemory}
	m.viewCount++
	m.sustainedFreeCores, m.sustainedFreeMemory = 0, 0
	if m.viewCount >= sustainedViews {
		m.sustainedFreeCores, m.sustainedFreeMemory = math.Inf(1), math.Inf(1)
		for _, s := range m.recentFree {
			m.sustainedFreeCores, m.sustainedFreeMemory = min(m.sustainedFreeCores, s[0]), min(m.sustainedFreeMemory, s[1])
		}
	}
	old := p.now - deltaRetention
	m.deltas = slices.DeleteFunc(m.deltas, func(d delta) bool { return d.at < old })
}

// decayCalibration forgets bends with time.
func (m *workerInfo) decayCalibration(now, half int64) {
	if m.calibratedAt == now {
		return
	}
	if m.coresCalibration == 1 && m.memoryCalibration == 1 {
		m.calibratedAt = now
		return
	}
	keep := decayed(1, now-m.calibratedAt, half)
	m.coresCalibration = 1 - (1-m.coresCalibration)*keep
	m.memoryCalibration = 1 - (1-m.memoryCalibration)*keep
	m.calibratedAt = now
}

// setLag changes what the view's lag is taken to be.
func (p *Scheduler) setLag(lag int64) {
	if lag == p.lag {
		return
	}
	p.lag = lag
	for _, m := range p.lagDependentWorkers() {
		p.markStale(m)
	}
}

// recordOffer notes a send, and forgets those of longer ago than kept.
func (m *workerInfo) recordOffer(now, kept int64) {
	m.offerTimes = append(slices.DeleteFunc(m.offerTimes, func(at int64) bool { return at < now-kept }), now)
}

// offersAfter counts the sends after at, of those not forgotten.
func (m *workerInfo) offersAfter(at int64) (n int) {
	for _, sent := range m.offerTimes {
		if sent > at {
			n++
		}
	}
	return n
}

// seatAt is this placer's number in the fleet, counted from another placer for each machine.
func (p *Scheduler) seatAt(m *workerInfo) int {
	return (p.settings.SelfIndex + int(m.nameHash%uint64(p.settings.FleetSize))) % p.settings.FleetSize
}
