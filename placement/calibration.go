package placement

import "slices"

// This file owns capacity calibration: it derives the effective capacity of single workers from reports
// of poor service, high utilization and memory pressure. It must not migrate tasks.

// calibrationFloor is the lower limit of the calibration of a worker. The calibration is the effective
// capacity, as a fraction of the effective capacity of an uncalibrated worker of the same kind.
const calibrationFloor = 0.05

// calibration learns the effective capacity of single workers.
type calibration struct {
	*environment
	capacity *capacityModel
	loads    *loadTracker
	index    *workerIndex
	workers  []*workerInfo // all workers with a calibration other than 1, and possibly further workers
}

// measurement is the use of one resource of a worker, taken from one report.
type measurement struct {
	resource   resource
	used       float64 // use, as a fraction of the worker's size
	target     float64 // largest use with full service, as a fraction of the worker's size
	poor       bool    // the worker gives poor service, or the use is near or above the target
	confidence float64 // weight of the measurement in the new calibration, from 0 to 1
}

// learn adjusts the calibration of a worker to a measurement of poor service. It ignores other
// measurements, workers of unknown kind, and all measurements if the settings provide no view. The
// measured effective capacity is the capacity requested of the worker now, multiplied by target/used if
// the use exceeds the target. Calibration protects against slow workers, against other load on their
// machines and against tasks that use more than they requested. A calibration decays without further
// measurements. Calibration does harm if a task itself causes its poor service, because the whole worker
// then counts as slow.
func (c *calibration) learn(worker *workerInfo, m measurement) {
	if !m.poor || worker.kindIndex < 0 || !c.settings.HasView {
		return
	}
	worker.decayCalibration(c.now)
	cores, memory := c.loads.requested(worker)
	effectiveCores, effectiveMemory := c.capacity.effective(worker)
	factor := &worker.calibration[m.resource]
	utilizations := [resourceCount]float64{cores / effectiveCores, memory / effectiveMemory}
	utilization := utilizations[m.resource] * *factor
	targetFactor := min(1, max(calibrationFloor, utilization*m.target/max(m.used, m.target)))
	*factor += (targetFactor - *factor) * m.confidence
	c.track(worker)
	c.needsPass = true
}

// track adds a worker to the calibrated workers and invalidates its position in the index.
func (c *calibration) track(worker *workerInfo) {
	c.index.invalidate(worker)
	if !worker.inCalibrated {
		worker.inCalibrated = true
		c.workers = append(c.workers, worker)
	}
}

// excessUtilization returns how much calibration raises the utilization of the indexed workers, as a
// sum weighted by cores. It also removes from the list of calibrated workers those whose calibration
// has returned to 1.
func (c *calibration) excessUtilization() (sum float64) {
	baseline := c.index.baseline
	c.workers = slices.DeleteFunc(c.workers, func(worker *workerInfo) bool {
		worker.decayCalibration(c.now)
		if !worker.calibrated() {
			worker.inCalibrated = false
			return true
		}
		if kind := c.kindOf(worker); kind != nil && worker.position.indexed && c.settings.HasView {
			uncalibrated := max(worker.requestedCores/kind.Cores/baseline.cores,
				worker.requestedMemory/kind.Memory/baseline.memory)
			sum += (c.loads.utilization(worker) - uncalibrated) * kind.Cores
		}
		return false
	})
	return sum
}
