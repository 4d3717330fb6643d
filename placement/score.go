package placement

// This file owns the score of a placement: the admission cost of a task at a worker. It must
// never exclude a worker.

const (
	// missPenalty is what a start away from the resident program adds to the backlog: it takes
	// several times the work and mostly misses its latency objective.
	missPenalty = 3.0
	// maxUtilization keeps the factor 1/(1-rho) finite when more is requested than the
	// effective capacity.
	maxUtilization = 0.95
	// startPenalty is what a start under way adds to a worker's backlog, at mean size: workers
	// start few tasks at a time, and a late start loses its bonus.
	startPenalty = 0.03
	// maxReportedQueue is over how many waiting offers a report is absurd.
	maxReportedQueue = 1e4
)

// scorer computes admission costs.
type scorer struct {
	*environment
	fleet     *fleet
	loads     *loadTracker
	capacity  *capacityModel
	totals    *totals
	slowStart *slowStart
	// utilization and meanCores are those of the fleet, kinds the terms of the present task.
	utilization, meanCores float64
	kinds                  []kindCost
}

// kindCost are the terms of the admission cost that workers of one kind have in common.
type kindCost struct {
	hasView bool
	base    float64 // added to the backlog where the task's program is not known to be resident
	size    float64 // utilization that the task adds to a worker without calibration
	rate    float64 // cores of the kind over the mean
}

// lowerBound is the lowest cost of a worker of the kind with a utilization or more, unless its
// resident programs are known.
func (k *kindCost) lowerBound(utilization, fleetUtilization float64) float64 {
	if !k.hasView {
		utilization = fleetUtilization
	}
	return admissionCost(utilization+k.base, k.size, k.rate, fleetUtilization)
}

// admissionCost is the cost of one first-policy-improvement step at a worker with a backlog u,
// for a task of size x: u + l/(1-rho) (u x + x^2/2), with l the rate and rho the utilization
// of the fleet.
func admissionCost(backlog, size, rate, utilization float64) float64 {
	return backlog + rate/(1-utilization)*(backlog*size+size*size/2)
}

// setSize sets the utilization that a task adds to a worker of a kind without calibration.
func (s *scorer) setSize(kindIndex int, utilization float64) { s.kinds[kindIndex].size = utilization }

// prepare computes the terms for a task, whose sizes by kind were set before.
func (s *scorer) prepare(task *taskInfo) {
	s.utilization, s.meanCores = s.totals.means()
	s.utilization = min(s.utilization, maxUtilization)
	for i := range s.kinds {
		kind := &s.kinds[i]
		kind.hasView, kind.base, kind.rate = s.settings.HasView, 0, s.settings.Kinds[i].Cores/s.meanCores
		if task.Program != 0 {
			kind.base = missPenalty
		}
	}
}

// score is the admission cost of a task at a worker.
func (s *scorer) score(worker *workerInfo, task *taskInfo) float64 {
	kind := s.kindOf(worker)
	effectiveCores, effectiveMemory := s.capacity.of(worker)
	backlog := s.utilization
	if s.settings.HasView {
		cores, memory := s.loads.requested(worker)
		backlog = max(cores/effectiveCores, memory/effectiveMemory)
	}
	backlog += s.startBacklog(worker) * s.meanCores / kind.Cores / s.slowStart.startRate(worker)
	backlog += missPenalty * s.missProbability(worker, task)
	size := max(task.Cores/effectiveCores, task.Memory/effectiveMemory)
	return admissionCost(backlog, size, kind.Cores/s.meanCores, s.utilization)
}

// startBacklog is the utilization that starts and offers waiting at a worker stand for: own ones, or
// those that a recent report names, if more.
func (s *scorer) startBacklog(worker *workerInfo) float64 {
	starts := float64(worker.starting())
	if s.now-worker.reportedAt < reportValidity && inRange(worker.lastReport.Queued, starts, maxReportedQueue) {
		starts = worker.lastReport.Queued
	}
	return startPenalty * starts
}

// missProbability is how likely a start on a worker lacks the program of a task, 0 to 1. A
// worker where the program is resident has it. Else the workers have an order hashed from
// the program, and the first programWorkers of them are ever less likely to have it.
func (s *scorer) missProbability(worker *workerInfo, task *taskInfo) float64 {
	if task.Program == 0 || worker.residentPrograms[task.Program] != nil {
		return 0
	}
	return min(1, hashedRank(worker.programHash(task.Program), s.fleet.assignedCount())/programWorkers)
}
