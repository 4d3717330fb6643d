package placement

import (
	"maps"
	"math"
	"slices"
	"strings"
)

// This file owns the doubt whether the process of a worker that answers now is the one that runs the
// tasks: another one may have taken its place, and the tasks have ended with the earlier one. A notice
// or an end of an old task shows that the process is the same, and so does a report of about the load
// that is expected. A report of less than the tasks of this scheduler request shows that they are
// gone. If nothing shows either in time, the tasks are abandoned. This file must not abandon a task
// whose process is known to be the same.

const (
	// uncertainTimeout is the time for which tasks may be uncertain, measured from when their process
	// was last heard. Clients must know within 8 s of the end of a task that it is over.
	uncertainTimeout = 7 * second
	// reportSettleTime is the time after which a report shows nothing of an earlier process. Reports
	// are refreshed periodically, and late.
	reportSettleTime = 1500 * millisecond
	// uncertainProbeInterval is the time between the probes of a worker whose process is uncertain.
	uncertainProbeInterval = second
	// reportTolerance is the error of a report, as a fraction of the worker's size. It limits what a
	// report proves.
	reportTolerance = 0.1
	// expectedShare is the fraction of the expected load that a report must show if the process is the
	// same. Some tasks end meanwhile, and a worker that reports its use does not report all that its
	// tasks request.
	expectedShare     = 0.7
	expectedUsedShare = 0.5
)

// amounts holds an amount of each resource.
type amounts [resourceCount]float64

// uncertaintyKey names an uncertainty. There may be two for a worker: one about its process, with
// which the tasks that ran there may have ended, and one about adopted tasks that may have ended
// before their adoption. What shows that the process is the same shows nothing about the latter.
type uncertaintyKey struct {
	worker  string
	adopted bool
}

func (k uncertaintyKey) compare(other uncertaintyKey) int {
	if k.worker == other.worker && k.adopted != other.adopted {
		if other.adopted {
			return -1
		}
		return 1
	}
	return strings.Compare(k.worker, other.worker)
}

// uncertainty is the doubt whether tasks of one worker run.
type uncertainty struct {
	since int64 // time at which the earlier process was last heard, or of the adoption
	// before is the time at which the present process was first reached. Tasks accepted before belong
	// to the earlier process, if there was one.
	before int64
	// lost is true if connections ended or were refused, as at the end of a process. Otherwise the
	// worker was only silent.
	lost     bool
	expected amounts // resources that the tasks of all schedulers requested of the worker
	probeAt  int64   // time of the next probe
}

// deadline returns the time at which the uncertainty ends.
func (u *uncertainty) deadline() int64 {
	if u.lost {
		return u.since + uncertainTimeout
	}
	return u.before + reportSettleTime + 2*uncertainProbeInterval
}

// continuity holds the workers whose process is uncertain.
type continuity struct {
	*environment
	fleet     *fleet
	loads     *loadTracker
	requests  *requests
	uncertain map[uncertaintyKey]*uncertainty
}

// interrupted handles the report that the process of a worker may have been replaced.
func (c *continuity) interrupted(event ProcessUncertain) {
	worker := c.fleet.workers[event.Worker]
	if worker == nil {
		return
	}
	next := &uncertainty{
		since: event.SinceUs, before: event.BeforeUs, lost: event.ConnectionsLost, probeAt: c.now,
	}
	if c.kindOf(worker) != nil {
		next.expected[resourceCores], next.expected[resourceMemory] = c.loads.requested(worker)
	}
	c.begin(uncertaintyKey{worker: event.Worker}, next)
}

// adopted handles the report that an adopted task may have ended before.
func (c *continuity) adopted(event AdoptionUncertain) {
	task := c.requests.tasks[event.RequestID]
	if task == nil || !task.accepted {
		return
	}
	task.uncertain = true
	c.begin(uncertaintyKey{task.lastAttempt().worker.Worker, true}, &uncertainty{
		since: task.acceptedAt, before: task.acceptedAt, lost: true, probeAt: task.acceptedAt + reportSettleTime,
	})
}

// begin begins an uncertainty, or extends it.
func (c *continuity) begin(key uncertaintyKey, next *uncertainty) {
	known := c.uncertain[key]
	if known == nil {
		c.uncertain[key] = next
		return
	}
	known.since = min(known.since, next.since)
	known.before = max(known.before, next.before)
	known.lost = known.lost || next.lost
	known.probeAt = max(known.probeAt, next.probeAt)
	for r := range known.expected {
		known.expected[r] = max(known.expected[r], next.expected[r])
	}
}

// messageReceived handles a message about a running task: a notice, or its end.
func (c *continuity) messageReceived(requestID string) {
	task := c.requests.tasks[requestID]
	if len(c.uncertain) == 0 || task == nil || !task.accepted {
		return
	}
	if task.uncertain {
		task.uncertain = false
		return
	}
	key := uncertaintyKey{worker: task.lastAttempt().worker.Worker}
	if u := c.uncertain[key]; u != nil && task.acceptedAt < u.before {
		c.settle(key, "a message about "+requestID)
	}
}

// reported handles the load report of a worker.
func (c *continuity) reported(event ProbeResult) {
	worker := c.fleet.workers[event.Worker]
	if worker == nil || event.Outcome != Completed {
		return
	}
	requested, known := c.reportedRequests(worker, event.Load)
	if !known {
		return
	}
	for _, key := range [...]uncertaintyKey{{event.Worker, false}, {event.Worker, true}} {
		u := c.uncertain[key]
		switch {
		case u == nil:
		case c.contradicts(key, u, requested):
			c.abandon(key, u, "the worker's report")
		case c.now >= u.before+reportSettleTime && c.isExpected(key, u, requested):
			c.settle(key, "the worker's report")
		}
	}
}

// reportedRequests returns the resources that the tasks at a worker request, or use, according to a
// report. known is false if the report does not tell.
func (c *continuity) reportedRequests(worker *workerInfo, load Load) (requested amounts, known bool) {
	kind := c.kindOf(worker)
	if kind == nil || math.IsNaN(load.FreeCores) || math.IsNaN(load.FreeMemory) {
		return requested, false
	}
	return amounts{kind.Cores - load.FreeCores, kind.Memory - load.FreeMemory}, true
}

// size returns the size of a worker of a known kind.
func (c *continuity) size(worker *workerInfo) amounts {
	kind := c.kindOf(worker)
	return amounts{kind.Cores, kind.Memory}
}

// own returns the resources that the uncertain tasks of this scheduler request, without those that
// were accepted too late for a report to show them.
func (c *continuity) own(key uncertaintyKey, u *uncertainty) (sum amounts) {
	for _, task := range c.tasks(key, u) {
		if task.acceptedAt <= c.now-reportSettleTime {
			sum[resourceCores] += task.Cores
			sum[resourceMemory] += task.Memory
		}
	}
	return sum
}

// share returns the fraction of the requested resources that a report shows at least if the tasks run.
func (c *continuity) share() float64 {
	if c.settings.ReportsUsage {
		return expectedUsedShare
	}
	return expectedShare
}

// contradicts reports whether the tasks at a worker request less than the uncertain tasks of this
// scheduler do.
func (c *continuity) contradicts(key uncertaintyKey, u *uncertainty, requested amounts) bool {
	size, own := c.size(c.fleet.workers[key.worker]), c.own(key, u)
	for r := range own {
		if requested[r]+reportTolerance*size[r] < own[r]*c.share() {
			return true
		}
	}
	return false
}

// isExpected reports whether the tasks at a worker request about as much as is expected if the
// uncertain ones run, which must be more than the error of a report.
func (c *continuity) isExpected(key uncertaintyKey, u *uncertainty, requested amounts) (shown bool) {
	size, own := c.size(c.fleet.workers[key.worker]), c.own(key, u)
	for r := range own {
		expected := max(own[r], u.expected[r])
		if expected < reportTolerance*size[r] {
			continue
		}
		if requested[r] < expected*c.share() {
			return false
		}
		shown = true
	}
	return shown
}

// tasks returns the uncertain tasks of this scheduler, in the order of their acceptance.
func (c *continuity) tasks(key uncertaintyKey, u *uncertainty) (tasks []*taskInfo) {
	worker := c.fleet.workers[key.worker]
	if worker == nil {
		return nil
	}
	for _, task := range worker.running {
		if key.adopted && task.uncertain || !key.adopted && task.acceptedAt < u.before {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// settle ends an uncertainty: the tasks run.
func (c *continuity) settle(key uncertaintyKey, shownBy string) {
	for _, task := range c.tasks(key, c.uncertain[key]) {
		task.uncertain = task.uncertain && !key.adopted
	}
	delete(c.uncertain, key)
	c.emit(Log{Text: "the tasks at " + key.worker + " run, shown by " + shownBy})
}

// abandon ends an uncertainty for a reason: the tasks are abandoned.
func (c *continuity) abandon(key uncertaintyKey, u *uncertainty, reason string) {
	worker := c.fleet.workers[key.worker]
	for _, task := range c.tasks(key, u) {
		c.emit(Abandon{RequestID: task.RequestID, Reason: reason})
		worker.removeRunning(task)
	}
	delete(c.uncertain, key)
}

// check ends the uncertainties that are due, and sends the probes that are due.
func (c *continuity) check() {
	for _, key := range slices.SortedFunc(maps.Keys(c.uncertain), uncertaintyKey.compare) {
		u := c.uncertain[key]
		switch {
		case len(c.tasks(key, u)) == 0:
			delete(c.uncertain, key)
		case c.now >= u.deadline() && u.lost:
			c.abandon(key, u, "nothing heard of the task")
		case c.now >= u.deadline():
			delete(c.uncertain, key)
		case c.mayProbe() && c.now >= u.probeAt:
			u.probeAt = max(c.now+uncertainProbeInterval, u.before+reportSettleTime)
			c.emit(Probe{Worker: key.worker})
		}
	}
}

// mayProbe reports whether workers may be asked for their load, and tell it.
func (c *continuity) mayProbe() bool { return c.settings.Pings && c.settings.ReportsFree }

// nextCheckAt returns the time of the next check, or 0 if none is needed.
func (c *continuity) nextCheckAt() (next int64) {
	for _, u := range c.uncertain {
		at := u.deadline()
		if c.mayProbe() {
			at = min(at, u.probeAt)
		}
		if next == 0 || at < next {
			next = at
		}
	}
	return next
}
