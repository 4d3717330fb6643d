package placement

import "slices"

// This file owns capacity calibration: what poor service and memory running short say of the
// effective capacity of single workers. It must never move a task.

// calibrationFloor bounds how little effective capacity a worker may be taken to have.
const calibrationFloor = 0.05

// calibration learns the effective capacity of single workers.
type calibration struct {
	*environment
	capacity *capacityModel
	loads    *loadTracker
	index    *workerIndex
	workers  []*workerInfo // whose calibration may not have been forgotten yet
}

// measurement is what one report says of the use of a resource of a worker.
type measurement struct {
	resource   resource
	used       float64 // part of the worker's size
	target     float64 // the use at which service is still full
	poor       bool    // the worker is over the target
	confidence float64 // by how much of the difference the calibration follows
}

// learn takes a measurement of poor service: the worker's effective capacity is what is
// requested of it now, less by what its use is over the target. It guards against slow
// workers, neighbours, and tasks that use more than they should, and is forgotten by itself.
// It would harm where one task is served badly for a reason of its own.
func (c *calibration) learn(worker *workerInfo, m measurement) {
	if !m.poor || worker.kindIndex < 0 || !c.settings.HasView {
		return
	}
	worker.decayCalibration(c.now)
	cores, memory := c.loads.requested(worker)
	effectiveCores, effectiveMemory := c.capacity.of(worker)
	factor := &worker.calibration[m.resource]
	utilizations := [resourceCount]float64{cores / effectiveCores, memory / effectiveMemory}
	utilization := utilizations[m.resource] * *factor
	wanted := min(1, max(calibrationFloor, utilization*m.target/max(m.used, m.target)))
	*factor += (wanted - *factor) * m.confidence
	c.track(worker)
	c.needsPass = true
}

// track notes that a worker is calibrated.
func (c *calibration) track(worker *workerInfo) {
	c.index.invalidate(worker)
	if !worker.inCalibrated {
		worker.inCalibrated = true
		c.workers = append(c.workers, worker)
	}
}

// excessUtilization is the sum, weighted by cores, of what the utilization of the workers is
// over that without calibration.
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
