package placement

// This file owns the migration of running tasks off workers that give poor service. It migrates at
// most one task for each report of the service that a task gets (see ReportService).

const (
	// migrateBelow is the highest fraction of full service at which a task may be migrated.
	migrateBelow = 0.7
	// migrateAlwaysBelow is the highest fraction of full service at which a task may be migrated even if
	// it fits no other worker.
	migrateAlwaysBelow = 0.25
	// restartSeconds is the run time that a task loses by starting again, in seconds.
	restartSeconds = 1.5
	// migrationGainFactor is the factor by which the gain must exceed the cost, because expected run
	// times are imprecise.
	migrationGainFactor = 2.0
	// defaultRemainingSeconds is the assumed remaining run time of a task without a run hint, in
	// seconds.
	defaultRemainingSeconds = 4.0
	// migrationSeconds is the target time for the migration of the excess load, in seconds. Usage
	// fluctuates, so only a part of the excess is migrated at a time.
	migrationSeconds = 3.0
	// migrationInterval is the minimum time between migrations off one worker, in microseconds.
	migrationInterval = 900 * millisecond
)

// migration selects running tasks and migrates them.
type migration struct {
	*environment
	loads    *loadTracker
	capacity *capacityModel
	search   *search
}

// maybeMigrate may migrate one task of this scheduler off a worker that gives poor service, if the
// gain in the remaining run time of the task is well above the cost of the migration. The argument
// service is the fraction of full service that the worker gives. A random draw decides, and the
// probability of a migration rises with the excess load of the worker. Migration relieves workers that
// are far over their saturation load or that slow down. The filters cannot relieve such a worker,
// because they only keep new tasks away from it.
//
// If the whole fleet is equally full, migration would do harm. In that case the task fits no other
// worker and stays, unless the service is at most migrateAlwaysBelow.
func (m *migration) maybeMigrate(worker *workerInfo, service float64) {
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

// bestCandidate returns the task on a worker whose migration has the highest value. The value is the
// net gain, multiplied by the weight of the task's class and by the size of the task. The net gain is
// the gain minus migrationGainFactor times the cost. bestCandidate returns nil if no net gain is
// positive.
func (m *migration) bestCandidate(worker *workerInfo, service float64) (best *taskInfo) {
	var bestValue float64
	for _, task := range worker.running {
		class := m.classOf(task)
		remaining := m.remainingSeconds(task)
		cost := restartSeconds + m.settings.MigrationCost*(remaining+class.StartBonusS)
		gain := (1-service)*remaining - migrationGainFactor*cost
		if value := gain * class.Weight * (task.Cores + task.Memory); gain > 0 && value > bestValue {
			best, bestValue = task, value
		}
	}
	return best
}

// excess returns the part of a worker's load that should be migrated, from 0 to 1. It is the larger of
// two parts: the part of the used cores above the saturation load, and the part of the requested
// capacity above the effective capacity, which is lower if the worker slowed down. All schedulers with
// tasks on the worker get reports of its service, so each migrates this part of its own tasks only.
func (m *migration) excess(worker *workerInfo, service float64) float64 {
	saturationLoad, saturationRange := m.capacity.saturationLoad, m.capacity.saturationRange
	excess := saturationRange * (1 - service) / (saturationLoad + saturationRange*(1-service))
	return max(excess, 1-1/max(1, m.loads.utilization(worker)))
}

// remainingSeconds returns the expected remaining run time of a task, in seconds. The result is at
// least half of defaultRemainingSeconds.
func (m *migration) remainingSeconds(task *taskInfo) float64 {
	if !task.HasRunHint || task.ExpectedRunUs <= 0 {
		return defaultRemainingSeconds
	}
	remaining := float64(task.ExpectedRunUs-(m.now-task.acceptedAt)) / float64(second)
	return max(remaining, defaultRemainingSeconds/2)
}
