package placement

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
)

var historiesFlag = flag.Int("histories", 40, "tests of random histories: number of histories")

const (
	// syntheticEach is the number of synthetic tasks whose selections are compared after each step and
	// after each task that is offered.
	syntheticEach = 3
	// pendingEach is the maximum number of pending tasks whose selections are compared after each step
	// and after each task that is offered.
	pendingEach = 2
	// offerProbability is the probability that tasks are offered after a step. They are offered one by
	// one, as within one call of Handle, and selections are compared after each offer.
	offerProbability = 0.3
	// offersEach is the maximum number of tasks offered after one step.
	offersEach = 3
	// maxFlipped is the maximum fraction of comparisons that match only if a value very close to a
	// limit is assumed to lie on the other side of the limit.
	maxFlipped = 0.01
)

// comparisons counts the comparisons of selections, by the rule that determined the finalists (see
// selection.path) and by other properties.
type comparisons struct {
	paths                                          map[string]int
	total, flipped                                 int // flipped: see maxFlipped
	multipleFinalists, reserved, elsewhereSearches int
	offered                                        int // tasks that were offered one by one
}

// TestSelectionMatchesFullScan compares the scheduler with a full scan over all workers, for random
// fleets and histories: the finalists of a task, the worker that is reserved for a pending task,
// whether a task fits elsewhere, and the sums over the fleet.
func TestSelectionMatchesFullScan(t *testing.T) {
	c := &comparisons{paths: map[string]int{}}
	for i := range *historiesFlag {
		seed := *seedFlag + uint64(i)
		h := newHistory(t, seed)
		for step := range h.stepCount {
			h.step()
			if err := c.compareStep(h); err != nil {
				t.Fatalf("seed %d, step %d, %d workers: %v", seed, step, len(h.entries), err)
			}
		}
	}
	t.Logf("%d comparisons, %d that depend on a value at its limit; %d with several finalists, %d with reserved workers, %d of whether a task fits elsewhere, %d tasks offered; by path: %v",
		c.total, c.flipped, c.multipleFinalists, c.reserved, c.elsewhereSearches, c.offered, c.paths)
	for _, path := range []string{pathWaits, pathNoCapacity, pathFallback, pathUncordoned, pathCheapest} {
		if c.paths[path] == 0 {
			t.Errorf("got no comparison on the path %q, want some", path)
		}
	}
	if c.multipleFinalists == 0 || c.reserved == 0 || c.elsewhereSearches == 0 || c.offered == 0 {
		t.Errorf("got %d comparisons with several finalists, %d with reserved workers, %d of whether a task fits elsewhere and %d tasks offered, want some of each",
			c.multipleFinalists, c.reserved, c.elsewhereSearches, c.offered)
	}
	if float64(c.flipped) > maxFlipped*float64(c.total) {
		t.Errorf("got %d of %d comparisons that depend on a value at its limit, want at most a fraction of %v", c.flipped, c.total, maxFlipped)
	}
}

// compareStep compares selections after a step. With the probability offerProbability, it then
// offers some tasks without advancing the clock, and compares selections after each offer.
func (c *comparisons) compareStep(h *history) error {
	if err := c.compare(h); err != nil || !h.chance(offerProbability) {
		return err
	}
	for range offersEach {
		if !h.offerOne() {
			break
		}
		if err := c.compare(h); err != nil {
			return fmt.Errorf("after a task was offered: %w", err)
		}
		c.offered++
	}
	return nil
}

// offerOne offers a random task as the scheduler does within a call of Handle, and reports whether a
// worker was found.
func (h *history) offerOne() bool {
	submitted := h.drawTask()
	task := &taskInfo{Task: submitted, classIndex: h.scheduler.requests.classIndexes[submitted.Class], arrivedAt: h.now, queuedSince: h.now}
	task.priority = h.scheduler.queue.priority(task)
	worker := h.scheduler.search.selectWorker(task)
	if worker == nil {
		return false
	}
	h.scheduler.requests.tasks[submitted.RequestID] = task
	h.scheduler.pass.offer(task, worker)
	h.unfinished[submitted.RequestID] = submitted
	h.attempts[submitted.RequestID] = 1
	h.offered = append(h.offered, Place{RequestID: submitted.RequestID, Worker: worker.Worker})
	return true
}

// compare compares selections in the current state. It first discards the cached means and free units,
// which the scheduler of a large fleet recomputes only from time to time. TestMeansOfLargeFleet and
// TestFreeUnitsOfLargeFleet check the caching.
func (c *comparisons) compare(h *history) error {
	h.scheduler.totals.cachedMeans.computedAt, h.scheduler.totals.freeUnitsAt = 0, 0
	r := newReference(h.scheduler)
	if err := r.compareSums(); err != nil {
		return err
	}
	var tasks []*taskInfo
	for range syntheticEach {
		tasks = append(tasks, h.syntheticTask())
	}
	for i := range min(pendingEach, len(h.scheduler.queue.pending)) {
		tasks = append(tasks, h.scheduler.queue.pending[(i+h.random.IntN(len(h.scheduler.queue.pending)))%len(h.scheduler.queue.pending)])
	}
	for _, task := range tasks {
		if err := c.compareTask(h, r, task); err != nil {
			return err
		}
	}
	return nil
}

func (c *comparisons) compareTask(h *history, r *reference, task *taskInfo) error {
	finalists := h.scheduler.search.finalists(task)
	path, flipped, err := r.compareFinalists(task, finalists)
	if err != nil {
		return err
	}
	if worker := h.scheduler.search.selectWorker(task); (worker == nil) != (finalists == nil) || worker != nil && !slices.Contains(finalists, worker) {
		return fmt.Errorf("task %+v: selected worker %v, want one of %s", task.Task, worker, names(finalists))
	}
	c.add(path, flipped)
	if len(finalists) > 1 {
		c.multipleFinalists++
	}
	if len(h.scheduler.reservations.priorities) > 0 {
		c.reserved++
	}
	if err := r.compareReserved(task, reservedFor(h.scheduler, task)); err != nil {
		return err
	}
	if len(h.scheduler.fleet.sorted) == 0 {
		return nil
	}
	worker := h.scheduler.fleet.sorted[h.random.IntN(len(h.scheduler.fleet.sorted))]
	c.elsewhereSearches++
	_, err = r.compareElsewhere(task, worker, h.scheduler.search.fitsElsewhere(task, worker))
	return err
}

func (c *comparisons) add(path string, flipped bool) {
	c.total++
	c.paths[path]++
	if flipped {
		c.flipped++
	}
}

// reservedFor returns the worker that would be reserved for a pending task, or nil. It undoes the
// reservation.
func reservedFor(scheduler *Scheduler, task *taskInfo) (reserved *workerInfo) {
	before := maps.Clone(scheduler.reservations.priorities)
	scheduler.pass.reserve(task)
	for worker := range scheduler.reservations.priorities {
		if _, was := before[worker]; !was {
			reserved = worker
		}
	}
	if reserved != nil {
		scheduler.reservations.priorities, scheduler.reservations.workers = before, scheduler.reservations.workers[:len(scheduler.reservations.workers)-1]
		scheduler.index.release(reserved)
	}
	return reserved
}

// TestSameHistorySameActions runs two schedulers with the same seed through one history. A third
// scheduler makes additional searches after each step, which must not change any action.
func TestSameHistorySameActions(t *testing.T) {
	for i := range min(*historiesFlag, 20) {
		seed := *seedFlag + uint64(i)
		first := actionsOf(t, seed, false)
		if again := actionsOf(t, seed, false); !slices.Equal(first, again) {
			t.Fatalf("seed %d: got different actions in two runs of one history, want the same: %s", seed, firstDifference(first, again))
		}
		if searched := actionsOf(t, seed, true); !slices.Equal(first, searched) {
			t.Fatalf("seed %d: got different actions with additional searches, want the same: %s", seed, firstDifference(first, searched))
		}
	}
}

// actionsOf returns the actions of a history, one line for each step. If searched is true, the
// scheduler makes additional searches after each step. The history draws the same random values in
// both cases.
func actionsOf(t *testing.T, seed uint64, searched bool) (lines []string) {
	h := newHistory(t, seed)
	for range h.stepCount {
		lines = append(lines, fmt.Sprintf("%+v", h.step()))
		synthetic := h.syntheticTask()
		if searched {
			h.scheduler.search.finalists(synthetic)
			for _, task := range h.scheduler.queue.pending {
				h.scheduler.search.finalists(task)
			}
		}
	}
	return lines
}

func firstDifference(a, b []string) string {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return fmt.Sprintf("step %d: %s versus %s", i, a[i], b[i])
		}
	}
	return fmt.Sprintf("%d versus %d steps", len(a), len(b))
}
