package placement

import "math"

// This file computes the effective capacity of workers: how many cores and how much memory tasks may
// request of a worker in total before it slows down. This limit depends on what fraction of their requests
// tasks actually use. The file must not read how much is currently requested of a worker.

// memorySaturation is the used fraction of a worker's memory above which the worker slows down.
const memorySaturation = 0.92

// capacityModel computes the effective capacity of workers.
type capacityModel struct {
	*environment
	// baseline is the effective capacity of an uncalibrated worker, as fractions of the cores and memory
	// of its kind.
	baseline fractions
	// requested and used are the amounts of each resource that running tasks request and use, summed over the
	// tasks that reported their use.
	requested, used [resourceCount]float64
	// saturationLoad and saturationRange are the lowest Class.SaturationLoad and the lowest
	// Class.SaturationRange of all classes, because tasks of any class may run on a worker.
	saturationLoad, saturationRange float64
}

func newCapacityModel(env *environment) *capacityModel {
	c := &capacityModel{environment: env, saturationLoad: math.Inf(1), saturationRange: math.Inf(1)}
	for i := range env.settings.Classes {
		class := &env.settings.Classes[i]
		c.saturationLoad = min(c.saturationLoad, class.SaturationLoad)
		c.saturationRange = min(c.saturationRange, class.SaturationRange)
	}
	c.updateBaseline()
	return c
}

// updateBaseline computes the baseline of cores and of memory. Each is the lower of two fractions of
// the kind's size. The first is the overcommit that workers accept. The second is the fraction that can be
// requested before the tasks' actual use slows the worker down, which happens above saturationLoad of the
// cores and above memorySaturation of the memory. The second fraction is known only once tasks have
// reported their use.
func (c *capacityModel) updateBaseline() {
	cores, memory := c.settings.CoresOvercommit, c.settings.MemoryOvercommit
	if c.requested[resourceCores] > 0 && c.used[resourceCores] > 0 {
		cores = min(cores, c.saturationLoad*c.requested[resourceCores]/c.used[resourceCores])
	}
	if c.requested[resourceMemory] > 0 && c.used[resourceMemory] > 0 {
		memory = min(memory, memorySaturation*c.requested[resourceMemory]/c.used[resourceMemory])
	}
	c.baseline = fractions{cores, memory}
}

// effective returns the effective capacity of a worker of a known kind. Utilization is relative to
// effective capacity: a worker with a utilization of 1 can carry no more.
func (c *capacityModel) effective(worker *workerInfo) (cores, memory float64) {
	kind := c.kindOf(worker)
	worker.decayCalibration(c.now)
	return kind.Cores * c.baseline.cores * worker.calibration[resourceCores],
		kind.Memory * c.baseline.memory * worker.calibration[resourceMemory]
}

// recordUsage records a report of how much a running task uses of a resource that it requested.
func (c *capacityModel) recordUsage(task *taskInfo, r resource, used float64) {
	requested := task.requested(r)
	if task.usage[r] == 0 {
		c.requested[r] += requested
	}
	c.used[r] += used - task.usage[r]*requested
	task.usage[r] = max(used/requested, 1e-9)
	c.updateBaseline()
}

// forgetUsage removes a task that has ended from the sums of requested and used amounts.
func (c *capacityModel) forgetUsage(task *taskInfo) {
	for r, usage := range task.usage {
		if usage > 0 {
			requested := task.requested(resource(r))
			c.requested[r] -= requested
			c.used[r] -= requested * usage
			task.usage[r] = 0
			c.updateBaseline()
		}
	}
}
