package placement

// This file owns the state of every request, from its arrival to its response or completion, and
// notifies the components of lower layers of each change. It never selects a worker.

const (
	// fullServiceThreshold is the fraction of full service below which a report counts as poor service
	// in capacity calibration. Calibration ignores a report of this fraction or more.
	fullServiceThreshold = 0.95
	// nearSaturationShare times memorySaturation is the used fraction of a worker's memory above which a
	// report counts as memory pressure in capacity calibration. Calibration ignores a report of a
	// lower or equal fraction.
	nearSaturationShare = 0.95
	// taskConfidence is the weight of the report of one task in capacity calibration, from 0 to 1.
	taskConfidence = 0.5
)

// requests holds all requests without a final response and all running tasks.
type requests struct {
	*environment
	queue       *queue
	quotas      *quotas
	capacity    *capacityModel
	fleet       *fleet
	loads       *loadTracker
	residents   *residents
	health      *health
	overload    *overload
	calibration *calibration
	migration   *migration

	tasks        map[string]*taskInfo // by request ID
	classIndexes map[string]int       // index in Settings.Classes, by name
}

func newRequests(r requests) *requests {
	r.tasks, r.classIndexes = map[string]*taskInfo{}, map[string]int{}
	for i := range r.settings.Classes {
		r.classIndexes[r.settings.Classes[i].Name] = i
	}
	return &r
}

// add handles a new request. It ignores a request with the ID of a stored request. A request is rejected at
// once if its class is unknown, its deadline has passed or no worker could ever run it.
func (r *requests) add(submitted Task) {
	if r.tasks[submitted.RequestID] != nil {
		return
	}
	classIndex, ok := r.classIndexes[submitted.Class]
	if !ok || submitted.DeadlineUs <= r.now || !r.fitsAnyKind(classIndex, submitted) {
		r.emit(Reject{RequestID: submitted.RequestID})
		return
	}
	task := &taskInfo{Task: submitted, classIndex: classIndex, arrivedAt: r.now, queuedSince: r.now}
	if submitted.QueuedSinceUs > 0 {
		task.queuedSince = min(task.queuedSince, submitted.QueuedSinceUs)
	}
	r.tasks[submitted.RequestID] = task
	r.queue.add(task)
}

// fitsAnyKind reports whether an empty worker of at least one kind could run a task. It checks the size of
// the task, and the kind and the spread limit that its class sets.
func (r *requests) fitsAnyKind(classIndex int, task Task) bool {
	class := &r.settings.Classes[classIndex]
	if class.Spread != ScopeNone && class.MaxPerDomain < 1 {
		return false
	}
	for i, kind := range r.settings.Kinds {
		if (class.Kind < 0 || class.Kind == i) &&
			task.Cores <= kind.Cores*r.settings.CoresOvercommit &&
			task.Memory <= kind.Memory*r.settings.MemoryOvercommit {
			return true
		}
	}
	return false
}

// adopt takes over a running task. It records no change of the requested capacity, because the view
// already includes the task.
func (r *requests) adopt(event Adopted) {
	classIndex, ok := r.classIndexes[event.Class]
	if !ok || r.tasks[event.RequestID] != nil {
		return
	}
	worker := r.fleet.findOrAdd(event.Worker)
	task := &taskInfo{
		Task: event.Task, classIndex: classIndex, arrivedAt: r.now, accepted: true,
		attempts: []*attemptInfo{{worker: worker, sentAt: r.now}},
	}
	r.tasks[event.RequestID] = task
	r.residents.add(worker, task.Program)
	r.quotas.start(task)
	worker.addRunning(r.now, task)
}

// cancel handles a request that ends without a final response from the scheduler (see [ClientCancelled]).
// It ignores a request whose task a worker accepted. An attempt that has not ended counts towards the spread
// until it ends, so its request is kept until then.
func (r *requests) cancel(requestID string) {
	task := r.tasks[requestID]
	if task == nil || task.accepted {
		return
	}
	r.queue.remove(task)
	task.cancelled = true
	if len(task.attempts) == 0 || task.lastAttempt().ended {
		r.forget(task)
	}
}

// respond gives the final response to a request that no worker accepted: a rejection if a retry is
// harmless, and a failure otherwise.
func (r *requests) respond(task *taskInfo) {
	if retryIsHarmless(r.classOf(task), task) {
		r.emit(Reject{RequestID: task.RequestID})
	} else {
		r.emit(Fail{RequestID: task.RequestID})
	}
	r.forget(task)
}

// forget removes a task that has ended, or a request that gets no further attempt because it has its final
// response, was cancelled or had an attempt with a final outcome.
func (r *requests) forget(task *taskInfo) {
	r.queue.remove(task)
	if task.accepted {
		r.quotas.end(task)
		task.lastAttempt().worker.removeRunning(task)
	}
	r.capacity.forgetUsage(task)
	for _, attempt := range task.attempts {
		if attempt.ended {
			continue
		}
		attempt.ended = true
		if attempt.awaitingResponse {
			attempt.stopWaiting()
		}
		r.residents.end(attempt.worker, task.Program, r.now)
	}
	delete(r.tasks, task.RequestID)
}

// attemptAccepted handles the acceptance of an attempt by a worker.
func (r *requests) attemptAccepted(event Accepted) {
	task := r.tasks[event.RequestID]
	if task == nil || task.accepted || task.cancelled {
		return
	}
	attempt := task.attempt(event.Attempt)
	if attempt == nil {
		return
	}
	task.accepted = true
	r.queue.remove(task)
	r.health.recordRTT(attempt, event.RTTUs)
	if !r.settings.AcceptMeansRunning {
		r.loads.redateDelta(attempt)
		attempt.starting = true
	}
	r.health.recordAccepted(attempt.worker, task.classIndex)
	r.overload.offerAccepted()
	r.quotas.start(task)
	attempt.worker.addRunning(r.now, task)
	r.needsPass = true
}

// attemptEnded handles the end of an attempt, which may be the end of a running task.
func (r *requests) attemptEnded(event AttemptEnded) {
	task := r.tasks[event.RequestID]
	if task == nil {
		return
	}
	attempt := task.attempt(event.Attempt)
	if attempt == nil || attempt.ended {
		return
	}
	attempt.ended, r.needsPass = true, true
	wasRunning := task.accepted && attempt == task.lastAttempt()
	r.health.recordOutcome(task, attempt, event, wasRunning)
	r.residents.end(attempt.worker, task.Program, r.now)
	if event.Outcome.neverStarted() {
		r.loads.removeDelta(attempt)
	} else {
		r.loads.addDelta(attempt.worker, -task.Cores, -task.Memory)
	}
	if event.Outcome == Rejected && (event.Cause == CauseCores || event.Cause == CauseMemory) {
		r.overload.offerRejected()
		r.loads.recordRejection(attempt.worker, task, event.Cause)
	}
	if wasRunning || event.Final || task.cancelled {
		r.forget(task)
		return
	}
	attempt.neverRan = event.Outcome.neverStarted()
	if event.Outcome.neverStarted() {
		task.copyRunning = task.copyRunning || task.mayHaveRun != nil && event.Cause == CauseWrongWorker
	} else if task.mayHaveRun == nil {
		task.mayHaveRun = attempt
	}
	r.queue.add(task)
}

// taskReported handles a report about a running task: that it started to run, how many cores or how much
// memory it uses, what fraction of full service it gets, or what fraction of its worker's memory is in
// use.
func (r *requests) taskReported(event TaskReport) {
	task := r.tasks[event.RequestID]
	if task == nil {
		return
	}
	attempt := task.attempt(event.Attempt)
	if attempt == nil {
		return
	}
	running := task.accepted && !attempt.ended
	switch event.Kind {
	case ReportRunning:
		attempt.starting = false
	case ReportCores:
		if task.Cores > 0 && running {
			r.capacity.recordUsage(task, resourceCores, event.Value)
		}
	case ReportMemory:
		if task.Memory > 0 && running {
			r.capacity.recordUsage(task, resourceMemory, event.Value)
		}
	case ReportService:
		saturationLoad, saturationRange := r.capacity.saturationLoad, r.capacity.saturationRange
		r.calibration.learn(attempt.worker, measurement{
			resource: resourceCores, used: saturationLoad + saturationRange*(1-event.Value), target: saturationLoad,
			poor: event.Value < fullServiceThreshold, confidence: taskConfidence,
		})
		r.migration.maybeMigrate(attempt.worker, event.Value)
	case ReportMemoryPressure:
		r.calibration.learn(attempt.worker, measurement{
			resource: resourceMemory, used: event.Value, target: memorySaturation,
			poor: event.Value > memorySaturation*nearSaturationShare, confidence: taskConfidence,
		})
	}
}
