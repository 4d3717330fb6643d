package placement

import (
	"cmp"
	"slices"
)

// This file owns what is known of one worker. It must never look at other workers or at the
// settings: what follows for a task is decided by the parts above.

const (
	// sustainedViews is of how many views a worker keeps the free capacity.
	sustainedViews = 4
	// calibrationHalflife is in what time half of a learned calibration is forgotten.
	calibrationHalflife = 8 * second
	// suspicionHalflife is in what time half of a suspicion is forgotten.
	suspicionHalflife = 6 * second
	// successFactor is what a success leaves of a suspicion: a worker that loses most answers
	// still gives some.
	successFactor = 0.7
	// maxSuspicion bounds for how long one worker is avoided.
	maxSuspicion = 6.0
	// initialAttemptWindow is how many unanswered attempts a worker may have at first.
	initialAttemptWindow = 3.0
)

// resource is an index of what tasks request of a worker.
type resource int

const (
	resourceCores resource = iota
	resourceMemory
	resourceCount
)

// delta is a change that this scheduler made to what is requested of a worker.
type delta struct {
	at            int64
	cores, memory float64
}

// residentProgram is a program of which this scheduler runs, or just ran, tasks on a worker.
type residentProgram struct {
	active      int   // attempts and tasks that have not ended
	lastEndedAt int64 // when the last of them ended
}

// suspicionScore is a suspicion as it was at a time.
type suspicionScore struct {
	score     float64
	updatedAt int64
}

// indexPosition is the place of a worker in the index.
type indexPosition struct {
	indexed                      bool
	kindIndex, level, entryIndex int
}

// workerInfo is the state of a worker as this scheduler sees it. Fields that are read together
// are placed together, as a large fleet does not fit into the caches of the processor.
type workerInfo struct {
	Entry
	kindIndex      int  // in Settings.Kinds, or -1
	listed         bool // it is on the present list
	everListed     bool // so that its cell and zone are known
	foreign        bool // it is in fleet.foreignCount
	uncordonedIdle bool // it was uncordoned and got no offer since
	requestedStale bool // requestedCores and requestedMemory are not as of now
	reportsFree    bool // the last report has the free capacity
	unreachable    bool // no connection to it is up, and the last one failed
	lagDependent   bool // it is in loadTracker.lagDependent
	inCalibrated   bool // it is in calibration.workers

	// What filters look at first.
	drainingUntil                   int64
	attemptWindow                   float64        // how many unanswered attempts it may have
	unanswered                      []*attemptInfo // in the order in which they were sent
	requestedCores, requestedMemory float64
	calibration                     [resourceCount]float64 // effective capacity over that of its kind
	calibratedAt                    int64
	probeSentAt                     int64            // of a probe that has not ended, or 0
	suspicions                      []suspicionScore // by class
	lastSearch                      int64            // number of the last search that looked at it
	ordinal                         int              // its number in fleet.sorted

	// What the requested cores and memory follow from.
	viewedAt    int64 // when the present view came
	deltas      []delta
	reportedAt  int64 // when the last report came, or 0
	lastReport  Load
	countedKind *Kind // its kind, if it is in the sums of loadTracker
	position    indexPosition

	running          []*taskInfo // accepted tasks, in order of acceptance
	residentPrograms map[uint64]*residentProgram
	sustainedFree    [resourceCount]float64 // free capacity that all of the last views showed

	nameHash       uint64
	active         int     // attempts and tasks that have not ended
	offerTimes     []int64 // of late
	lastAcceptedAt []int64 // by class
	reachableAt    int64   // when it last took a connection after a failure
	migratedAt     int64   // when a task was last migrated away
	viewCount      int
	recentFree     [sustainedViews][resourceCount]float64 // free capacity in the last views
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

// programHash mixes a program and the worker, the same at every scheduler.
func (w *workerInfo) programHash(program uint64) uint64 { return mix(w.nameHash ^ mix(program)) }

// idlePrograms counts the resident programs without an attempt or task, and returns the one of them that
// ended first, of equals the lowest. One such program is given.
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

// sameDomain reports whether two workers are known to be in one domain of a scope.
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

// recordFree notes the free capacity that a view shows.
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

// forgetDeltas forgets the changes that this scheduler made before a time.
func (w *workerInfo) forgetDeltas(before int64) {
	w.deltas = slices.DeleteFunc(w.deltas, func(d delta) bool { return d.at < before })
}

// deltasSince sums the changes that this scheduler made after a time.
func (w *workerInfo) deltasSince(at int64) (cores, memory float64) {
	for i := len(w.deltas) - 1; i >= 0; i-- {
		if d := &w.deltas[i]; d.at > at {
			cores += d.cores
			memory += d.memory
		}
	}
	return cores, memory
}

// decayCalibration forgets what was learned of the effective capacity, with time.
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

// calibrated reports whether the effective capacity is not just that of the kind.
func (w *workerInfo) calibrated() bool {
	return w.calibration[resourceCores] != 1 || w.calibration[resourceMemory] != 1
}

// recordOffer notes an offer, and forgets those of longer ago than the retention.
func (w *workerInfo) recordOffer(now, retention int64) {
	expired := func(at int64) bool { return at < now-retention }
	w.offerTimes = append(slices.DeleteFunc(w.offerTimes, expired), now)
}

// offersAfter counts the offers after a time, of those that are remembered.
func (w *workerInfo) offersAfter(at int64) (count int) {
	for _, sentAt := range w.offerTimes {
		if sentAt > at {
			count++
		}
	}
	return count
}

// starting counts the attempts of this scheduler that were sent and do not run yet.
func (w *workerInfo) starting() int {
	count := len(w.unanswered)
	for _, task := range w.running {
		if task.lastAttempt().starting {
			count++
		}
	}
	return count
}

// addRunning notes that a task runs from now on.
func (w *workerInfo) addRunning(now int64, task *taskInfo) {
	task.acceptedAt = now
	w.running = append(w.running, task)
}

// removeRunning notes that a task has ended, or is being migrated.
func (w *workerInfo) removeRunning(task *taskInfo) {
	w.running = slices.DeleteFunc(w.running, func(other *taskInfo) bool { return other == task })
}

// suspicion is how much speaks against the worker for tasks of a class.
func (w *workerInfo) suspicion(now int64, classIndex int) float64 {
	s := &w.suspicions[classIndex]
	return decayed(s.score, now-s.updatedAt, suspicionHalflife)
}

// addSuspicion adds to the suspicion for every class.
func (w *workerInfo) addSuspicion(now int64, by float64) {
	for classIndex := range w.suspicions {
		w.addClassSuspicion(now, classIndex, by)
	}
}

// addClassSuspicion adds to the suspicion for one class.
func (w *workerInfo) addClassSuspicion(now int64, classIndex int, by float64) {
	score := min(maxSuspicion, max(0, w.suspicion(now, classIndex)+by))
	w.suspicions[classIndex] = suspicionScore{score, now}
}

// recordSuccess takes an accepted attempt of a class.
func (w *workerInfo) recordSuccess(now int64, classIndex int) {
	w.lastAcceptedAt[classIndex] = now
	w.suspicions[classIndex] = suspicionScore{w.suspicion(now, classIndex) * successFactor, now}
}
