package placement

// This file owns the migration of running tasks off workers that serve poorly. It must never
// migrate more than one task at a time.

const (
	// migrateBelow is the service below which a task may be migrated, and migrateAlwaysBelow
	// that below which it is even if it fits nowhere else.
	migrateBelow       = 0.7
	migrateAlwaysBelow = 0.25
	// restartSeconds are lost by starting anew.
	restartSeconds = 1.5
	// migrationGainFactor is by how much the gain must exceed the price, as run times are rough.
	migrationGainFactor = 2.0
	// defaultRemainingSeconds is what remains of a task without a run time.
	defaultRemainingSeconds = 4.0
	// migrationSeconds is over how many seconds the excess is migrated: use swings, so less than
	// all of it is meant to go.
	migrationSeconds = 3.0
	// migrationInterval is the time between migrations off one worker.
	migrationInterval = 900 * millisecond
)

// migration migrates tasks.
type migration struct {
	*environment
	loads    *loadTracker
	capacity *capacityModel
	search   *search
}

// relieve migrates one own task off a worker that serves poorly, if what it would gain elsewhere
// in the time that it still runs is well over what a migration costs. It guards against workers
// far over their saturation load and those that slow down, where filters come too late. It
// would harm where the whole fleet is as full: then nothing fits and the task stays.
func (m *migration) relieve(worker *workerInfo, service float64) {
	if service > migrateBelow || worker.kindIndex < 0 || m.now-worker.migratedAt < migrationInterval {
		return
	}
	task := m.bestCandidate(worker, service)
	probability := m.excess(worker, service) * float64(len(worker.running)) / migrationSeconds
	if task == nil || m.random.Float64() >= probability ||
		service > migrateAlwaysBelow && !m.search.fitsElsewhere(task, worker) {
		return
	}
	worker.migratedAt = m.now
	m.emit(Migrate{RequestID: task.RequestID})
	worker.removeRunning(task)
}

// bestCandidate returns the task on a worker of which a migration gains the most, or nil.
func (m *migration) bestCandidate(worker *workerInfo, service float64) (best *taskInfo) {
	var bestValue float64
	for _, task := range worker.running {
		class := m.classOf(task)
		remaining := m.remainingSeconds(task)
		price := restartSeconds + m.settings.MigrationCost*(remaining+class.StartBonusS)
		gain := (1-service)*remaining - migrationGainFactor*price
		if value := gain * class.Weight * (task.Cores + task.Memory); gain > 0 && value > bestValue {
			best, bestValue = task, value
		}
	}
	return best
}

// excess is the part of a worker's load that should go. All schedulers here get the same
// reports, so each migrates its part of the excess: what cores are used over the saturation
// load or, where the worker slowed down, what is requested of it over its effective capacity.
func (m *migration) excess(worker *workerInfo, service float64) float64 {
	saturationLoad, saturationRange := m.capacity.saturationLoad, m.capacity.saturationRange
	excess := saturationRange * (1 - service) / (saturationLoad + saturationRange*(1-service))
	return max(excess, 1-1/max(1, m.loads.utilization(worker)))
}

// remainingSeconds is for how many seconds a task is still expected to run.
func (m *migration) remainingSeconds(task *taskInfo) float64 {
	if !task.HasRunHint || task.ExpectedRunUs <= 0 {
		return defaultRemainingSeconds
	}
	remaining := float64(task.ExpectedRunUs-(m.now-task.acceptedAt)) / float64(second)
	return max(remaining, defaultRemainingSeconds/2)
}
