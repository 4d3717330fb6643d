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
	at            int64
	cores, memory float64
}

// residentProgram is what this placer knows of a program on a machine.
type residentProgram struct {
	active      int   // attempts and tasks without an outcome
	lastEndedAt int64 // when the last of them ended
}

// ensureWorker is what this placer knows of a machine.
type workerInfo struct {
	Entry
	nameHash                                uint64 // hash of its name
	everListed                              bool   // it was on a list, so its places are known
	listed                                  bool   // it is on the list held now
	foreign                                 bool   // it is in Placer.foreign
	kindIndex                               int    // index in Settings.Kinds, or -1
	viewedAt                                int64
	recentFree                              [sustainedViews][2]float64 // of the last views
	viewCount                               int
	sustainedFreeCores, sustainedFreeMemory float64 // room that all of these showed
	deltas                                  []delta
	residentPrograms                        map[uint64]*residentProgram
	active                                  int // attempts and tasks without an outcome

	unanswered        []*attemptInfo
	attemptWindow     float64 // unanswered attempts that it may owe
	drainingUntil     int64   // until when it is taken to drain
	migratedAt        int64
	running           []*taskInfo      // own placed tasks, in order of placing
	suspicions        []suspicionScore // suspicion, by class
	lastAcceptedAt    []int64          // when an attempt of a class was last accepted
	reachableAt       int64            // when it was last told to be there after a failure
	coresCalibration  float64          // what it bears, over what its kind bears: cores
	memoryCalibration float64          // and memory
	calibratedAt      int64
	offerTimes        []int64 // sends of late
	probeSentAt       int64   // when a probe went out that has no answer yet, or 0
	lastReport        Load    // the last report
	reportedAt        int64   // and when it came, or 0
	reportsFree       bool    // it told the room that nobody asked for
	awaitsFirstTask   bool    // it was put back by hand and got nothing since

	requestedCores, requestedMemory float64       // what it is asked for, unless it is stale
	stale                           bool          // what it is asked for has to be computed anew
	countedKind                     *Kind         // its kind, if it is in Placer.requestedCores and listedCapacity
	lagDependent                    bool          // it is in Placer.lagged
	inCalibrated                    bool          // it is in Placer.bent
	position                        indexPosition // where it stands in the index
	ordinal                         int           // its number in Placer.order
	lastSearch                      int64         // the last search that looked at it
}

// addClassSuspicion is suspicion as it stood at a time.
type suspicionScore struct {
	score     float64
	updatedAt int64
}

func (p *Scheduler) ensureWorker(name string) *workerInfo {
	worker := p.workers[name]
	if worker != nil {
		return worker
	}
	worker = &workerInfo{Entry: Entry{Worker: name}, nameHash: hashName(name), kindIndex: -1, residentPrograms: map[uint64]*residentProgram{}, coresCalibration: 1, memoryCalibration: 1, attemptWindow: initialWindow,
		suspicions: make([]suspicionScore, len(p.settings.Classes)), lastAcceptedAt: make([]int64, len(p.settings.Classes))}
	p.workers[name] = worker
	p.unlisted[worker] = true
	p.orderChanged()
	i, _ := slices.BinarySearchFunc(p.sorted, name, compareName)
	p.sorted = slices.Insert(p.sorted, i, worker)
	return worker
}

// orderChanged notes that machines came or went.
func (p *Scheduler) orderChanged() {
	p.ordinalsStale = true
	clear(p.preferred)
}

// setListed notes whether m is on the list held now.
func (p *Scheduler) setListed(worker *workerInfo, listed bool) {
	worker.listed = listed
	p.countForeign(worker)
	if listed {
		delete(p.unlisted, worker)
	} else {
		p.unlisted[worker] = true
	}
	p.markStale(worker)
}

// queuedSince sums the own changes made after at.
func (m *workerInfo) deltasSince(at int64) (cores, memory float64) {
	for i := len(m.deltas) - 1; i >= 0; i-- {
		if d := &m.deltas[i]; d.at > at {
			cores += d.cores
			memory += d.memory
		}
	}
	return cores, memory
}

// addDelta notes a change that this placer makes now to what m is asked for.
func (p *Scheduler) addDelta(worker *workerInfo, cores, memory float64) {
	if len(worker.deltas) >= maxDeltas {
		worker.deltas = slices.Delete(worker.deltas, 0, len(worker.deltas)/2)
	}
	worker.deltas = append(worker.deltas, delta{p.now, cores, memory})
	p.trackLag(worker)
	p.markStale(worker)
}

// removeDelta takes back the bind of an attempt that never ran.
func (p *Scheduler) removeDelta(attempt *attemptInfo) {
	worker := attempt.worker
	i := slices.IndexFunc(worker.deltas, func(d delta) bool { return d.at == attempt.sentAt && d.cores >= 0 })
	if i >= 0 {
		worker.deltas = slices.Delete(worker.deltas, i, i+1)
		p.markStale(worker)
	}
}

// redateDelta dates a bind by its acceptance, which is what the view follows.
func (p *Scheduler) redateDelta(attempt *attemptInfo) {
	for i := range attempt.worker.deltas {
		if d := &attempt.worker.deltas[i]; d.at == attempt.sentAt && d.cores >= 0 {
			d.at = p.now
			p.markStale(attempt.worker)
			return
		}
	}
}

// trackLag notes that what m is asked for depends on the view's lag from now on.
func (p *Scheduler) trackLag(worker *workerInfo) {
	if !worker.lagDependent {
		worker.lagDependent = true
		p.lagDependent = append(p.lagDependent, worker)
	}
}

// lagDependentWorkers are the machines for which the view's lag matters: those with own
// changes that the view may not hold yet, or with a report of their own.
func (p *Scheduler) lagDependentWorkers() []*workerInfo {
	p.lagDependent = slices.DeleteFunc(p.lagDependent, func(worker *workerInfo) bool {
		worker.lagDependent = len(worker.deltas) > 0 || worker.reportsFree
		return !worker.lagDependent
	})
	return p.lagDependent
}

func (p *Scheduler) kindOf(worker *workerInfo) *Kind {
	if worker.kindIndex < 0 {
		return nil
	}
	return &p.settings.Kinds[worker.kindIndex]
}

// forgetUnlisted lets go of departed machines that hold nothing of ours.
func (p *Scheduler) forgetUnlisted() {
	var removed []*workerInfo
	for worker := range p.unlisted {
		if worker.active == 0 {
			removed = append(removed, worker)
		}
	}
	slices.SortFunc(removed, func(a, b *workerInfo) int { return cmp.Compare(a.Worker, b.Worker) })
	for _, worker := range removed {
		for program := range worker.residentPrograms {
			p.removeResident(worker, program)
		}
		worker.deltas, worker.reportsFree = nil, false
		p.markStale(worker)
		delete(p.unlisted, worker)
		delete(p.uncordoned, worker)
		delete(p.workers, worker.Worker)
		i, _ := slices.BinarySearchFunc(p.sorted, worker.Worker, compareName)
		p.sorted = slices.Delete(p.sorted, i, i+1)
		p.orderChanged()
	}
}

func compareName(worker *workerInfo, name string) int { return cmp.Compare(worker.Worker, name) }

// addResident notes that m holds one task more of a program.
func (p *Scheduler) addResident(worker *workerInfo, program uint64) {
	resident := worker.residentPrograms[program]
	if resident == nil {
		resident = &residentProgram{}
		worker.residentPrograms[program] = resident
		p.residents[program] = append(p.residents[program], worker)
	}
	resident.active++
	worker.active++
	worker.awaitsFirstTask = false
	p.version++
}

// removeResident notes that m holds nothing of a program any more.
func (p *Scheduler) removeResident(worker *workerInfo, program uint64) {
	delete(worker.residentPrograms, program)
	p.version++
	workers := p.residents[program]
	i := slices.Index(workers, worker)
	last := len(workers) - 1
	workers[i], workers[last] = workers[last], nil
	if last == 0 {
		delete(p.residents, program)
		return
	}
	p.residents[program] = workers[:last]
}

func sameDomain(a, b *workerInfo, scope Scope) bool {
	switch scope {
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
func (p *Scheduler) addRunning(task *taskInfo, worker *workerInfo) {
	task.acceptedAt = p.now
	worker.running = append(worker.running, task)
}

// starting counts own attempts on m that were sent and do not run yet.
func (m *workerInfo) starting() int {
	count := len(m.unanswered)
	for _, task := range m.running {
		if task.attempts[len(task.attempts)-1].starting {
			count++
		}
	}
	return count
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
func (p *Scheduler) endResident(worker *workerInfo, program uint64) {
	worker.active--
	resident := worker.residentPrograms[program]
	if resident == nil {
		return
	}
	p.version++
	resident.active = max(0, resident.active-1)
	resident.lastEndedAt = p.now
	if resident.active > 0 {
		return
	}
	idle, oldest := 0, program
	for candidate, resident := range worker.residentPrograms {
		if resident.active > 0 {
			continue
		}
		idle++
		oldestResident := worker.residentPrograms[oldest]
		if resident.lastEndedAt < oldestResident.lastEndedAt || resident.lastEndedAt == oldestResident.lastEndedAt && candidate < oldest {
			oldest = candidate
		}
	}
	if idle > maxIdlePrograms {
		p.removeResident(worker, oldest)
	}
}

func (p *Scheduler) updateWorker(entry Entry, current bool) {
	worker := p.ensureWorker(entry.Worker)
	assigned := worker.State != Foreign && entry.State != Foreign // a change of hands tells no new view
	if current && assigned && worker.everListed && worker.viewedAt > 0 && worker.StartedAtUs == entry.StartedAtUs && p.settings.HasView {
		p.learnLag(worker, entry)
	}
	if worker.everListed && worker.StartedAtUs != entry.StartedAtUs {
		// A new start holds nothing of what was there. What has no outcome yet
		// counts for the spread until it has.
		worker.deltas = nil
		for program, resident := range worker.residentPrograms {
			if resident.active == 0 {
				p.removeResident(worker, program)
			}
		}
		worker.coresCalibration, worker.memoryCalibration = 1, 1
	}
	worker.Entry, worker.everListed = entry, true
	p.setListed(worker, entry.State != Removed)
	p.version++ // its place may be another
	if worker.awaitsFirstTask = worker.awaitsFirstTask && worker.listed || entry.Uncordoned; entry.Uncordoned {
		p.uncordoned[worker] = true
		clear(worker.suspicions) // what was held against it, its restart by hand among that, is over
	}
	worker.kindIndex = slices.IndexFunc(p.settings.Kinds, func(kind Kind) bool { return kind.Name == entry.Kind })
	worker.viewedAt = p.now
	worker.recentFree[worker.viewCount%sustainedViews] = [2]float64{entry.FreeCores, entry.FreeMemory}
	worker.viewCount++
	worker.sustainedFreeCores, worker.sustainedFreeMemory = 0, 0
	if worker.viewCount >= sustainedViews {
		worker.sustainedFreeCores, worker.sustainedFreeMemory = math.Inf(1), math.Inf(1)
		for _, free := range worker.recentFree {
			worker.sustainedFreeCores, worker.sustainedFreeMemory = min(worker.sustainedFreeCores, free[0]), min(worker.sustainedFreeMemory, free[1])
		}
	}
	oldest := p.now - deltaRetention
	worker.deltas = slices.DeleteFunc(worker.deltas, func(d delta) bool { return d.at < oldest })
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
	remaining := decayed(1, now-m.calibratedAt, half)
	m.coresCalibration = 1 - (1-m.coresCalibration)*remaining
	m.memoryCalibration = 1 - (1-m.memoryCalibration)*remaining
	m.calibratedAt = now
}

// setLag changes what the view's lag is taken to be.
func (p *Scheduler) setLag(lag int64) {
	if lag == p.lag {
		return
	}
	p.lag = lag
	for _, worker := range p.lagDependentWorkers() {
		p.markStale(worker)
	}
}

// recordOffer notes a send, and forgets those of longer ago than kept.
func (m *workerInfo) recordOffer(now, retention int64) {
	m.offerTimes = append(slices.DeleteFunc(m.offerTimes, func(at int64) bool { return at < now-retention }), now)
}

// offersAfter counts the sends after at, of those not forgotten.
func (m *workerInfo) offersAfter(at int64) (count int) {
	for _, sent := range m.offerTimes {
		if sent > at {
			count++
		}
	}
	return count
}

// seatAt is this placer's number in the fleet, counted from another placer for each machine.
func (p *Scheduler) seatAt(worker *workerInfo) int {
	return (p.settings.SelfIndex + int(worker.nameHash%uint64(p.settings.FleetSize))) % p.settings.FleetSize
}
