package placement

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
)

var historiesFlag = flag.Int("histories", 40, "tests of drawn histories: how many")

const (
	// probesEach is for how many made-up tasks choices are compared after each step, and
	// heldEach for how many of those that wait.
	probesEach = 3
	heldEach   = 2
	// sendEvery is the part of the steps after which tasks are sent one by one, as within
	// one call of Handle, and choices are compared after each.
	sendEvery = 0.3
	sendsEach = 3
	// flippedMost is the part of the comparisons in which a value may lie at a border.
	flippedMost = 0.01
)

// comparisons counts what was compared, by path.
type comparisons struct {
	paths             map[string]int
	total, flipped    int
	many, kept, moves int
	sent              int // tasks that were sent one by one
}

// TestChoiceOfAFullScan compares, over drawn fleets and histories, the machines among
// which a task is placed with those of a full scan, and likewise what is kept for held
// tasks, whether a task could run elsewhere, and what is summed over the fleet.
func TestChoiceOfAFullScan(t *testing.T) {
	c := &comparisons{paths: map[string]int{}}
	for i := range *historiesFlag {
		seed := *seedFlag + uint64(i)
		h := newHistory(t, seed)
		for step := range h.stepCount {
			h.step()
			if err := c.compareStep(h); err != nil {
				t.Fatalf("seed %d, step %d, %d machines: %v", seed, step, len(h.entries), err)
			}
		}
	}
	t.Logf("%d comparisons, %d at a border; %d draws among several, %d with machines kept, %d looks elsewhere, %d sent; by path: %v",
		c.total, c.flipped, c.many, c.kept, c.moves, c.sent, c.paths)
	for _, path := range []string{pathWaits, pathNoRoom, pathFallback, pathReturned, pathCheapest} {
		if c.paths[path] == 0 {
			t.Errorf("no comparison on the path %q", path)
		}
	}
	if c.many == 0 || c.kept == 0 || c.moves == 0 || c.sent == 0 {
		t.Error("a kind of comparison is missing")
	}
	if float64(c.flipped) > flippedMost*float64(c.total) {
		t.Errorf("%d of %d comparisons at a border, more than %v", c.flipped, c.total, flippedMost)
	}
}

// compareStep compares choices after a step, and as tasks are sent at the same time.
func (c *comparisons) compareStep(h *history) error {
	if err := c.compare(h); err != nil || !h.chance(sendEvery) {
		return err
	}
	for range sendsEach {
		if !h.sendOne() {
			break
		}
		if err := c.compare(h); err != nil {
			return fmt.Errorf("after a task was sent: %w", err)
		}
		c.sent++
	}
	return nil
}

// sendOne sends a task as the placer does within a call of Handle, and reports whether
// it could.
func (h *history) sendOne() bool {
	submitted := h.drawTask()
	task := &taskInfo{Task: submitted, classIndex: h.p.requests.classIndexes[submitted.Class], arrivedAt: h.now, queuedSince: h.now}
	task.priority = h.p.queue.priority(task)
	worker := h.p.search.selectWorker(task)
	if worker == nil {
		return false
	}
	h.p.requests.tasks[submitted.RequestID] = task
	h.p.pass.bind(task, worker)
	h.asked[submitted.RequestID] = submitted
	h.attempts[submitted.RequestID] = 1
	h.out = append(h.out, Place{RequestID: submitted.RequestID, Worker: worker.Worker})
	return true
}

// compare compares choices as things stand. What a large fleet's means and spare room
// are held to be for a while is computed anew first: TestMeansOfALargeFleet has that.
func (c *comparisons) compare(h *history) error {
	h.p.totals.cachedMeans.computedAt, h.p.totals.freeUnitsAt = 0, 0
	r := newReference(h.p)
	if err := r.compareSums(); err != nil {
		return err
	}
	var tasks []*taskInfo
	for range probesEach {
		tasks = append(tasks, h.probe())
	}
	for i := range min(heldEach, len(h.p.queue.pending)) {
		tasks = append(tasks, h.p.queue.pending[(i+h.rng.IntN(len(h.p.queue.pending)))%len(h.p.queue.pending)])
	}
	for _, task := range tasks {
		if err := c.compareTask(h, r, task); err != nil {
			return err
		}
	}
	return nil
}

func (c *comparisons) compareTask(h *history, r *reference, task *taskInfo) error {
	finalists := h.p.search.finalists(task)
	path, flipped, err := r.compareNearest(task, finalists)
	if err != nil {
		return err
	}
	if worker := h.p.search.selectWorker(task); (worker == nil) != (finalists == nil) || worker != nil && !slices.Contains(finalists, worker) {
		return fmt.Errorf("task %+v: chosen %v, which is not of %s", task.Task, worker, names(finalists))
	}
	c.add(path, flipped)
	if len(finalists) > 1 {
		c.many++
	}
	if len(h.p.reservations.priorities) > 0 {
		c.kept++
	}
	if err := r.compareKeep(task, keptFor(h.p, task)); err != nil {
		return err
	}
	if len(h.p.fleet.sorted) == 0 {
		return nil
	}
	worker := h.p.fleet.sorted[h.rng.IntN(len(h.p.fleet.sorted))]
	c.moves++
	_, err = r.compareElsewhere(task, worker, h.p.search.fitsElsewhere(task, worker))
	return err
}

func (c *comparisons) add(path string, flipped bool) {
	c.total++
	c.paths[path]++
	if flipped {
		c.flipped++
	}
}

// keptFor returns the machine that would be kept for a held task, or nil, and keeps none.
func keptFor(scheduler *Scheduler, task *taskInfo) (kept *workerInfo) {
	before := maps.Clone(scheduler.reservations.priorities)
	scheduler.pass.reserve(task)
	for worker := range scheduler.reservations.priorities {
		if _, was := before[worker]; !was {
			kept = worker
		}
	}
	if kept != nil {
		scheduler.reservations.priorities, scheduler.reservations.workers = before, scheduler.reservations.workers[:len(scheduler.reservations.workers)-1]
		scheduler.index.release(kept)
	}
	return kept
}

// TestSameHistorySameActions runs two placers of one seed through one history, and a
// third that is asked for choices in between: that must change nothing.
func TestSameHistorySameActions(t *testing.T) {
	for i := range min(*historiesFlag, 20) {
		seed := *seedFlag + uint64(i)
		first := actionsOf(t, seed, false)
		if again := actionsOf(t, seed, false); !slices.Equal(first, again) {
			t.Fatalf("seed %d: the same history gave other actions: %s", seed, firstDifference(first, again))
		}
		if asked := actionsOf(t, seed, true); !slices.Equal(first, asked) {
			t.Fatalf("seed %d: asking for choices changed the actions: %s", seed, firstDifference(first, asked))
		}
	}
}

// actionsOf returns the actions of a history, a line a step. Where asked is set, the
// placer is asked for choices after each step; the draws are the same without.
func actionsOf(t *testing.T, seed uint64, asked bool) (lines []string) {
	h := newHistory(t, seed)
	for range h.stepCount {
		lines = append(lines, fmt.Sprintf("%+v", h.step()))
		probe := h.probe()
		if asked {
			h.p.search.finalists(probe)
			for _, held := range h.p.queue.pending {
				h.p.search.finalists(held)
			}
		}
	}
	return lines
}

func firstDifference(a, b []string) string {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return fmt.Sprintf("step %d: %s and %s", i, a[i], b[i])
		}
	}
	return fmt.Sprintf("%d and %d steps", len(a), len(b))
}

// TestPoorServiceOnAnUnlistedMachine tells of poor service on a machine whose size is not
// known: no list has named it, or its kind is none of the settings'. Nothing can be
// reckoned for it then.
func TestPoorServiceOnAnUnlistedMachine(t *testing.T) {
	odd := small("odd", 0, 4)
	odd.Kind = "unknown"
	for _, worker := range []string{"unlisted", "odd"} {
		f := newBed(t, testSettings(), 1, odd, small("a", 0, 30))
		f.at(ms, Adopted{f.request("1", "safe", 1, 2).Task, worker})
		func() {
			defer func() {
				if r := recover(); r != nil {
					t.Fatalf("a note for a task on %s: panic: %v", worker, r)
				}
			}()
			f.at(ms, TaskReport{"1", 0, worker, ReportService, 0.1})
		}()
		f.placed(f.at(ms, f.request("2", "safe", 1, 2)), "a")
	}
}
