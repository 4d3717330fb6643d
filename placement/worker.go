package placement

import (
	"cmp"
	"slices"
)

// This file holds the state of single workers. It makes no decisions about tasks, so it must not read the
// settings or the set of all workers. The layers above make these decisions.

const (
	// sustainedViews is the number of latest views whose free capacity is stored for a worker.
	sustainedViews = 4
	// calibrationHalflife is the time in which the difference between a learned calibration and 1 decays by
	// half.
	calibrationHalflife = 8 * second
	// suspicionHalflife is the time in which a suspicion decays by half.
	suspicionHalflife = 6 * second
	// successFactor is the factor by which an accepted attempt multiplies the suspicion for its class. The
	// suspicion is not cleared, because some answers arrive even if most answers of a worker are lost.
	successFactor = 0.7
	// maxSuspicion is the upper limit of a suspicion, which bounds how long a worker is avoided.
	maxSuspicion = 6.0
	// initialAttemptWindow is the initial maximum number of unanswered attempts of a worker.
	initialAttemptWindow = 3.0
)

// resource is the index of a resource that tasks request of a worker.
type resource int

const (
	resourceCores resource = iota
	resourceMemory
	resourceCount
)

// delta is a change to the cores and memory that are requested of a worker. This scheduler made the change
// or, after a rejection for lack of cores or memory, assumes it.
type delta struct {
	at            int64
	cores, memory float64
}

// residentProgram is a program of which this scheduler has, or recently had, attempts or tasks on a
// worker.
type residentProgram struct {
	active      int   // number of attempts and tasks that have not ended
	lastEndedAt int64 // time at which an attempt or task last ended
}

// suspicionScore is the value of a suspicion at updatedAt, from which it decays.
type suspicionScore struct {
	score     float64
	updatedAt int64
}

// indexPosition is the position of a worker's entry in workerIndex.
type indexPosition struct {
	indexed                      bool
	kindIndex, level, entryIndex int
}

// workerInfo is the state of a worker as this scheduler sees it. Fields that are read together are
// adjacent, because the workers of a large fleet do not fit into the processor's caches.
type workerInfo struct {
	Entry
	kindIndex      int  // index in Settings.Kinds, or -1 if unknown
	listed         bool // the worker is on the current list
	everListed     bool // the worker has been on a list, so its cell and zone are known
	foreign        bool // fleet.foreignCount counts the worker
	uncordonedIdle bool // the worker was uncordoned and has had no new attempt or task since
	requestedStale bool // requestedCores and requestedMemory may be out of date
	reportsFree    bool // requestedCores and requestedMemory may be computed from lastReport
	unreachable    bool // no connection to the worker is open, and the last one failed
	lagDependent   bool // loadTracker.lagDependent contains the worker
	inCalibrated   bool // calibration.workers contains the worker

	// Fields that a search and its filters read first.
	drainingUntil                   int64
	attemptWindow                   float64        // maximum number of unanswered attempts
	unanswered                      []*attemptInfo // attempts in the order in which they were sent
	requestedCores, requestedMemory float64
	calibration                     [resourceCount]float64 // fraction of the uncalibrated effective capacity
	calibratedAt                    int64
	probeSentAt                     int64            // time at which the unanswered probe was sent, or 0
	suspicions                      []suspicionScore // by class
	lastSearch                      int64            // number of the last search that evaluated the worker
	ordinal                         int              // index in fleet.sorted

	// Fields from which requestedCores and requestedMemory are computed, and fields that are updated
	// together with them.
	viewedAt    int64 // arrival time of the current view
	deltas      []delta
	reportedAt  int64 // arrival time of the last report, or 0
	lastReport  Load
	countedKind *Kind // kind whose size was added to loadTracker.listedCapacity for the worker, or nil
	position    indexPosition

	running          []*taskInfo // accepted and adopted tasks, in order of acceptance or adoption
	residentPrograms map[uint64]*residentProgram
	sustainedFree    [resourceCount]float64 // minimum of recentFree, or 0 (see recordFree)

	nameHash       uint64
	active         int     // number of attempts and tasks that have not ended
	offerTimes     []int64 // times of recent offers
	lastAcceptedAt []int64 // time at which the worker last accepted an attempt, by class
	reachableAt    int64   // time at which a new connection last capped the suspicions, or 0
	migratedAt     int64   // time at which a task was last migrated off the worker
	viewCount      int
	recentFree     [sustainedViews][resourceCount]float64 // free capacity in the latest views, a ring buffer
}

func newWorkerInfo(name string, classes int) *workerInfo {
	return &workerInfo{
		Entry:            Entry{Worker: name},
		nameHash:         hashName(name),
		kindIndex:        -1,
		residentPrograms: map[uint64]*residentProgram{},
		attemptWindow:    initialAttemptWindow,
		suspicions:       make([]suspicionScore, classes),
		lastAcceptedAt:   make([]int64, classes),
		calibration:      [resourceCount]float64{1, 1},
	}
}

func compareName(worker *workerInfo, name string) int { return cmp.Compare(worker.Worker, name) }

// programHash returns a hash of a program and the worker's name, which is the same at every scheduler.
func (w *workerInfo) programHash(program uint64) uint64 { return mix(w.nameHash ^ mix(program)) }

// idlePrograms returns the number of idle programs, which are the resident programs without an attempt
// or task. It also returns the program that has been idle the longest or, among several that have been
// idle equally long, the one with the lowest number. The argument idle must be any one of the idle programs.
func (w *workerInfo) idlePrograms(idle uint64) (count int, oldest uint64) {
	oldest = idle
	for program, resident := range w.residentPrograms {
		if resident.active > 0 {
			continue
		}
		count++
		first := w.residentPrograms[oldest]
		if resident.lastEndedAt < first.lastEndedAt ||
			resident.lastEndedAt == first.lastEndedAt && program < oldest {
			oldest = program
		}
	}
	return count, oldest
}

// sameDomain reports whether two workers are known to be in the same domain of a scope.
func sameDomain(a, b *workerInfo, scope Scope) bool {
	switch scope {
	case ScopeWorker:
		return a == b
	case ScopeCell:
		return a.everListed && b.everListed && a.Cell == b.Cell
	case ScopeZone:
		return a.everListed && b.everListed && a.Zone == b.Zone
	default:
		return true
	}
}

// recordFree records the free capacity that a view shows, and updates sustainedFree, which is 0 until
// there have been sustainedViews views.
func (w *workerInfo) recordFree(cores, memory float64) {
	w.recentFree[w.viewCount%sustainedViews] = [resourceCount]float64{cores, memory}
	w.viewCount++
	w.sustainedFree = [resourceCount]float64{}
	if w.viewCount < sustainedViews {
		return
	}
	w.sustainedFree = w.recentFree[0]
	for _, free := range w.recentFree[1:] {
		for r := range free {
			w.sustainedFree[r] = min(w.sustainedFree[r], free[r])
		}
	}
}

// forgetDeltas removes the deltas that were made before a time.
func (w *workerInfo) forgetDeltas(before int64) {
	w.deltas = slices.DeleteFunc(w.deltas, func(d delta) bool { return d.at < before })
}

// deltasSince returns the sum of the deltas that were made after a time.
func (w *workerInfo) deltasSince(at int64) (cores, memory float64) {
	for i := len(w.deltas) - 1; i >= 0; i-- {
		if d := &w.deltas[i]; d.at > at {
			cores += d.cores
			memory += d.memory
		}
	}
	return cores, memory
}

// decayCalibration lets the learned calibration decay from the time calibratedAt to the time now. The
// calibration decays toward 1.
func (w *workerInfo) decayCalibration(now int64) {
	if w.calibratedAt == now {
		return
	}
	if w.calibrated() {
		remaining := decayed(1, now-w.calibratedAt, calibrationHalflife)
		for r := range w.calibration {
			w.calibration[r] = 1 - (1-w.calibration[r])*remaining
		}
	}
	w.calibratedAt = now
}

// calibrated reports whether the calibration of the cores or of the memory differs from 1.
func (w *workerInfo) calibrated() bool {
	return w.calibration[resourceCores] != 1 || w.calibration[resourceMemory] != 1
}

// recordOffer records an offer, and removes the recorded offers that are older than retention.
func (w *workerInfo) recordOffer(now, retention int64) {
	expired := func(at int64) bool { return at < now-retention }
	w.offerTimes = append(slices.DeleteFunc(w.offerTimes, expired), now)
}

// offersAfter returns the number of recorded offers after a time.
func (w *workerInfo) offersAfter(at int64) (count int) {
	for _, sentAt := range w.offerTimes {
		if sentAt > at {
			count++
		}
	}
	return count
}

// starting returns the number of this scheduler's attempts at the worker that await a response, or that were
// accepted but do not run yet.
func (w *workerInfo) starting() int {
	count := len(w.unanswered)
	for _, task := range w.running {
		if task.lastAttempt().starting {
			count++
		}
	}
	return count
}

// addRunning records a task that the worker accepted, or that the scheduler adopted, at the time now.
func (w *workerInfo) addRunning(now int64, task *taskInfo) {
	task.acceptedAt = now
	w.running = append(w.running, task)
}

// removeRunning records that a task has ended or is being migrated.
func (w *workerInfo) removeRunning(task *taskInfo) {
	w.running = slices.DeleteFunc(w.running, func(other *taskInfo) bool { return other == task })
}

// suspicion returns the suspicion of the worker for tasks of a class at the time now, 0 if there is none.
func (w *workerInfo) suspicion(now int64, classIndex int) float64 {
	s := &w.suspicions[classIndex]
	return decayed(s.score, now-s.updatedAt, suspicionHalflife)
}

// addSuspicion adds an amount, which may be negative, to the suspicion for every class.
func (w *workerInfo) addSuspicion(now int64, by float64) {
	for classIndex := range w.suspicions {
		w.addClassSuspicion(now, classIndex, by)
	}
}

// addClassSuspicion adds an amount to the suspicion for one class, and limits the result to the range from
// 0 to maxSuspicion.
func (w *workerInfo) addClassSuspicion(now int64, classIndex int, by float64) {
	score := min(maxSuspicion, max(0, w.suspicion(now, classIndex)+by))
	w.suspicions[classIndex] = suspicionScore{score, now}
}

// recordSuccess records an accepted attempt of a class, which reduces the suspicion for the class.
func (w *workerInfo) recordSuccess(now int64, classIndex int) {
	w.lastAcceptedAt[classIndex] = now
	w.suspicions[classIndex] = suspicionScore{w.suspicion(now, classIndex) * successFactor, now}
}
