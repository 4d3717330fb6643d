package placement

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// TestIndexFollowsEvents compares the index and the sums with what they are computed from, after each
// step of drawn histories.
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
		t.Error("no worker was indexed in any history")
	}
}

// checkIndex returns how many workers are indexed, or what is wrong with the index.
func checkIndex(scheduler *Scheduler) (indexed int, err error) {
	var requestedCores float64
	var capacity fractions
	for ordinal, worker := range scheduler.fleet.sorted {
		if worker.ordinal != ordinal || scheduler.fleet.nameHashes[ordinal] != worker.nameHash {
			return 0, fmt.Errorf("%s: ordinal %d, want %d", worker.Worker, worker.ordinal, ordinal)
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
		return 0, fmt.Errorf("sums %v and %+v; stored %v and %+v", requestedCores, capacity, loads.listedRequestedCores, loads.listedCapacity)
	}
	if entries := countEntries(scheduler); entries != indexed {
		return 0, fmt.Errorf("%d entries of %d workers", entries, indexed)
	}
	return indexed, checkPrograms(scheduler)
}

// checkWorker returns what is wrong with what is stored of one worker.
func checkWorker(scheduler *Scheduler, worker *workerInfo) error {
	if worker.listed == scheduler.fleet.unlisted[worker] {
		return fmt.Errorf("%s: listed %v, unlisted %v", worker.Worker, worker.listed, scheduler.fleet.unlisted[worker])
	}
	kind := scheduler.kindOf(worker)
	if worker.position.indexed != (worker.listed && worker.State == Ready && kind != nil) {
		return fmt.Errorf("%s: indexed %v; %+v", worker.Worker, worker.position.indexed, worker.Entry)
	}
	if kind == nil {
		return nil
	}
	worker.requestedStale = true
	cores, memory := scheduler.loads.requested(worker)
	worker.requestedStale = false
	if cores != worker.requestedCores || memory != worker.requestedMemory {
		return fmt.Errorf("%s: requested %v and %v, stored %v and %v", worker.Worker, cores, memory, worker.requestedCores, worker.requestedMemory)
	}
	if !worker.position.indexed {
		return nil
	}
	return checkEntry(scheduler, worker, kind)
}

// checkEntry returns what is wrong with the entry of an indexed worker.
func checkEntry(scheduler *Scheduler, worker *workerInfo, kind *Kind) error {
	levels := &scheduler.index.kinds[worker.position.kindIndex]
	ownLevel := &levels.levels[worker.position.level]
	entry := ownLevel.entries[worker.position.entryIndex]
	switch {
	case worker.position.kindIndex != worker.kindIndex || entry.worker != worker:
		return fmt.Errorf("%s: its position %+v has %s", worker.Worker, worker.position, entry.worker.Worker)
	case scheduler.settings.HasView && entry.requested != fractions{worker.requestedCores / kind.Cores, worker.requestedMemory / kind.Memory}:
		return fmt.Errorf("%s: entry %+v", worker.Worker, entry.requested)
	case !ownLevel.minRequested.within(entry.requested) || entry.calibration < ownLevel.minCalibration || entry.calibration > min(worker.calibration[resourceCores], worker.calibration[resourceMemory]):
		return fmt.Errorf("%s: entry %+v below the bounds %+v and %v of its level", worker.Worker, entry, ownLevel.minRequested, ownLevel.minCalibration)
	case (scheduler.reservations.priorities[worker] > 0) != (worker.position.entryIndex >= ownLevel.unreserved):
		return fmt.Errorf("%s: reserved %v, number %d of %d unreserved ones", worker.Worker, scheduler.reservations.priorities[worker] > 0, worker.position.entryIndex, ownLevel.unreserved)
	}
	share := max(entry.requested.cores/scheduler.index.scale.cores, entry.requested.memory/scheduler.index.scale.memory)
	if floor := float64(worker.position.level) * levelWidth; share < floor || share >= floor+levelWidth && worker.position.level < levelCount-1 {
		return fmt.Errorf("%s: utilization %v at level %d", worker.Worker, share, worker.position.level)
	}
	return nil
}

// countEntries counts the workers in all levels, and -1 where a set of levels is wrong.
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

// checkPrograms returns an error where the programs by worker and the workers by program differ.
func checkPrograms(scheduler *Scheduler) error {
	unmatched := 0 // resident programs without an entry by program
	for _, worker := range scheduler.fleet.sorted {
		for program := range worker.residentPrograms {
			unmatched++
			if !slices.Contains(scheduler.residents.workers[program], worker) {
				return fmt.Errorf("%s is not among the workers of program %d", worker.Worker, program)
			}
		}
	}
	for _, workers := range scheduler.residents.workers {
		unmatched -= len(workers)
	}
	if unmatched != 0 {
		return fmt.Errorf("%d workers too few are stored as running programs", unmatched)
	}
	return nil
}
