package placement

// This file owns the score of a placement: the admission cost of a task at a worker. The score never
// excludes a worker.

const (
	// missPenalty is the utilization added to the backlog of a worker on which the program of the task
	// is certainly not resident. If it is uncertain whether the program is resident, missPenalty is
	// multiplied by the probability that it is not (see scorer.missProbability). A start without the
	// resident program takes several times the work and usually misses the latency objective.
	missPenalty = 3.0
	// maxUtilization is the upper limit of the fleet's utilization rho in admission costs. It keeps the
	// factor 1/(1-rho) in admissionCost finite and positive if tasks request as much as the effective
	// capacity of the fleet or more.
	maxUtilization = 0.95
	// startPenalty is the utilization that each waiting offer and each start in progress adds to the
	// backlog of a warm worker of mean size. Workers start few tasks at a time, and a task that starts
	// late does not earn the bonus for a timely start.
	startPenalty = 0.03
	// maxReportedQueue is the highest plausible number of waiting offers and starts in a report.
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
	// utilization is the mean utilization of all ready workers, limited to maxUtilization. meanCores is
	// their mean number of cores. kinds holds, by kind, the values from which lower bounds of the
	// admission cost of the current task are computed.
	utilization, meanCores float64
	kinds                  []kindCost
}

// kindCost holds the values from which lower bounds of the admission cost of a task at the workers of one
// kind are computed.
type kindCost struct {
	hasView     bool
	missBacklog float64 // missPenalty if the task has a program, 0 otherwise
	size        float64 // utilization that the task adds to a worker without calibration
	rate        float64 // cores of the kind, divided by the mean cores of a worker
}

// lowerBound returns a lower bound of the admission cost at a worker of the kind with at least the given
// utilization. Without a view, fleetUtilization replaces the given utilization. The bound does not hold for
// workers on which the program of the task is resident, nor for the preferred workers of the program. Both
// are scored separately.
func (k *kindCost) lowerBound(utilization, fleetUtilization float64) float64 {
	if !k.hasView {
		utilization = fleetUtilization
	}
	return admissionCost(utilization+k.missBacklog, k.size, k.rate, fleetUtilization)
}

// admissionCost returns the cost of admitting a task of size x to a worker with backlog u:
// u + l/(1-rho) * (u*x + x^2/2). l is the rate (see kindCost), and rho is the utilization of the fleet. This
// is the cost that one step of policy iteration (first policy improvement) assigns to the choice of a worker.
func admissionCost(backlog, size, rate, utilization float64) float64 {
	return backlog + rate/(1-utilization)*(backlog*size+size*size/2)
}

// setSize sets, for one kind, the utilization that the current task adds to an uncalibrated worker.
func (s *scorer) setSize(kindIndex int, utilization float64) { s.kinds[kindIndex].size = utilization }

// prepare computes what is the same for all workers or for all workers of a kind: the means over the fleet,
// and the values in kinds for a task, except the sizes. It must be called before score and lowerBound.
// Before lowerBound, setSize must also be called for each kind.
func (s *scorer) prepare(task *taskInfo) {
	s.utilization, s.meanCores = s.totals.means()
	s.utilization = min(s.utilization, maxUtilization)
	for i := range s.kinds {
		kind := &s.kinds[i]
		kind.hasView, kind.missBacklog, kind.rate = s.settings.HasView, 0, s.settings.Kinds[i].Cores/s.meanCores
		if task.Program != 0 {
			kind.missBacklog = missPenalty
		}
	}
}

// score returns the admission cost of a task at a worker.
func (s *scorer) score(worker *workerInfo, task *taskInfo) float64 {
	kind := s.kindOf(worker)
	effectiveCores, effectiveMemory := s.capacity.effective(worker)
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

// startBacklog returns the utilization that the waiting offers and the starts in progress of a worker add to
// its backlog, computed as if the worker were warm and of mean size. It counts the offers and starts of this
// scheduler, or uses the number in a recent report of the worker if that number is plausible and higher.
func (s *scorer) startBacklog(worker *workerInfo) float64 {
	starts := float64(worker.starting())
	if s.now-worker.reportedAt < reportValidity && inRange(worker.lastReport.Queued, starts, maxReportedQueue) {
		starts = worker.lastReport.Queued
	}
	return startPenalty * starts
}

// missProbability estimates the probability, 0 to 1, that the program of a task is not resident on a worker
// when the task starts there. The probability is 0 if the task has no program, or if the program is known
// to be resident. Otherwise it rises with the worker's rank in the order of hashes of the program and the
// workers' names, and reaches 1 at the rank preferredWorkerCount.
func (s *scorer) missProbability(worker *workerInfo, task *taskInfo) float64 {
	if task.Program == 0 || worker.residentPrograms[task.Program] != nil {
		return 0
	}
	return min(1, hashedRank(worker.programHash(task.Program), s.fleet.assignedCount())/preferredWorkerCount)
}
