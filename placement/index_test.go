package placement

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// TestIndexFollowsEvents compares the index and the sums over the fleet with values computed from
// the state of the workers, after each step of random histories.
func TestIndexFollowsEvents(t *testing.T) {
	indexed := 0
	for i := range min(*historiesFlag, 30) {
		seed := *seedFlag + 1000 + uint64(i)
		h := newHistory(t, seed)
		for step := range h.stepCount {
			h.step()
			h.scheduler.fleet.refresh()
			count, err := checkIndex(h.scheduler)
			if err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, step, err)
			}
			indexed += count
		}
	}
	if indexed == 0 {
		t.Error("got no indexed worker in any history, want some")
	}
}

// checkIndex returns the number of indexed workers, or an error if the index is wrong.
func checkIndex(scheduler *Scheduler) (indexed int, err error) {
	var requestedCores float64
	var capacity fractions
	for ordinal, worker := range scheduler.fleet.sorted {
		if worker.ordinal != ordinal || scheduler.fleet.nameHashes[ordinal] != worker.nameHash {
			return 0, fmt.Errorf("%s: got ordinal %d, want %d with the name hash of the worker stored there", worker.Worker, worker.ordinal, ordinal)
		}
		if err := checkWorker(scheduler, worker); err != nil {
			return 0, err
		}
		kind := scheduler.kindOf(worker)
		if kind != nil && worker.listed && scheduler.settings.HasView {
			requestedCores += worker.requestedCores
			capacity = fractions{capacity.cores + kind.Cores, capacity.memory + kind.Memory}
		}
		if worker.position.indexed {
			indexed++
		}
	}
	loads := scheduler.loads
	near := func(a, b float64) bool { return math.Abs(a-b) <= 1e-6*max(1, a) }
	if !near(requestedCores, loads.listedRequestedCores) ||
		!near(capacity.cores, loads.listedCapacity.cores) || !near(capacity.memory, loads.listedCapacity.memory) {
		return 0, fmt.Errorf("stored sums of requested cores %v and capacity %+v, want %v and %+v", loads.listedRequestedCores, loads.listedCapacity, requestedCores, capacity)
	}
	if entries := countEntries(scheduler); entries != indexed {
		return 0, fmt.Errorf("got %d index entries (-1: wrong level sets), want %d", entries, indexed)
	}
	return indexed, checkPrograms(scheduler)
}

// checkWorker returns an error if the stored state of a worker is inconsistent.
func checkWorker(scheduler *Scheduler, worker *workerInfo) error {
	if worker.listed == scheduler.fleet.unlisted[worker] {
		return fmt.Errorf("%s: listed is %v and unlisted is %v, want exactly one of them true", worker.Worker, worker.listed, scheduler.fleet.unlisted[worker])
	}
	kind := scheduler.kindOf(worker)
	if worker.position.indexed != (worker.listed && worker.State == Ready && kind != nil) {
		return fmt.Errorf("%s: indexed is %v, want the opposite for list entry %+v", worker.Worker, worker.position.indexed, worker.Entry)
	}
	if kind == nil {
		return nil
	}
	worker.requestedStale = true
	cores, memory := scheduler.loads.requested(worker)
	worker.requestedStale = false
	if cores != worker.requestedCores || memory != worker.requestedMemory {
		return fmt.Errorf("%s: stored requested cores %v and memory %v, want %v and %v", worker.Worker, worker.requestedCores, worker.requestedMemory, cores, memory)
	}
	if !worker.position.indexed {
		return nil
	}
	return checkEntry(scheduler, worker, kind)
}

// checkEntry returns an error if the index entry of a worker is wrong.
func checkEntry(scheduler *Scheduler, worker *workerInfo, kind *Kind) error {
	levels := &scheduler.index.kinds[worker.position.kindIndex]
	ownLevel := &levels.levels[worker.position.level]
	entry := ownLevel.entries[worker.position.entryIndex]
	switch {
	case worker.position.kindIndex != worker.kindIndex || entry.worker != worker:
		return fmt.Errorf("%s: got position %+v, which contains worker %s, want a position that has the worker's kind and contains the worker", worker.Worker, worker.position, entry.worker.Worker)
	case scheduler.settings.HasView && entry.requested != fractions{worker.requestedCores / kind.Cores, worker.requestedMemory / kind.Memory}:
		return fmt.Errorf("%s: entry has requested fractions %+v, want those of the requested cores %v and memory %v", worker.Worker, entry.requested, worker.requestedCores, worker.requestedMemory)
	case !ownLevel.minRequested.within(entry.requested) || entry.calibration < ownLevel.minCalibration || entry.calibration > min(worker.calibration[resourceCores], worker.calibration[resourceMemory]):
		return fmt.Errorf("%s: entry %+v is below the bounds %+v and %v of its level, or its calibration is above that of the worker", worker.Worker, entry, ownLevel.minRequested, ownLevel.minCalibration)
	case (scheduler.reservations.priorities[worker] > 0) != (worker.position.entryIndex >= ownLevel.unreserved):
		return fmt.Errorf("%s: reserved is %v, but its entry has index %d in a level with %d unreserved entries", worker.Worker, scheduler.reservations.priorities[worker] > 0, worker.position.entryIndex, ownLevel.unreserved)
	}
	utilization := max(entry.requested.cores/scheduler.index.scale.cores, entry.requested.memory/scheduler.index.scale.memory)
	if floor := float64(worker.position.level) * levelWidth; utilization < floor || utilization >= floor+levelWidth && worker.position.level < levelCount-1 {
		return fmt.Errorf("%s: got utilization %v, want one in the range of level %d", worker.Worker, utilization, worker.position.level)
	}
	return nil
}

// countEntries returns the number of entries in all levels, or -1 if a set of levels is wrong.
func countEntries(scheduler *Scheduler) (count int) {
	for i := range scheduler.index.kinds {
		levels := &scheduler.index.kinds[i]
		for number := range levels.levels {
			current := &levels.levels[number]
			count += len(current.entries)
			bit := uint64(1) << (number % 64)
			if (levels.occupied[number/64]&bit != 0) != (len(current.entries) > 0) || (levels.unreserved[number/64]&bit != 0) != (current.unreserved > 0) {
				return -1
			}
		}
	}
	return count
}

// checkPrograms returns an error if the programs by worker and the workers by program do not match.
func checkPrograms(scheduler *Scheduler) error {
	// unmatched is the number of programs in the maps of all workers, minus the number of workers in the
	// lists of all programs.
	unmatched := 0
	for _, worker := range scheduler.fleet.sorted {
		for program := range worker.residentPrograms {
			unmatched++
			if !slices.Contains(scheduler.residents.workers[program], worker) {
				return fmt.Errorf("%s: got no entry in the workers of its resident program %d, want one", worker.Worker, program)
			}
		}
	}
	for _, workers := range scheduler.residents.workers {
		unmatched -= len(workers)
	}
	if unmatched != 0 {
		return fmt.Errorf("programs in the maps of all workers minus workers in the lists of all programs: got %d, want 0", unmatched)
	}
	return nil
}
