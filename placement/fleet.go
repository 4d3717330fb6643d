package placement

import (
	"cmp"
	"slices"
)

// This file owns the set of workers: the workers on the current list, and other workers that have attempts
// or tasks. It must not decide which worker gets a task.

// fleet is the set of all workers.
type fleet struct {
	*environment
	capacity  *capacityModel
	loads     *loadTracker
	index     *workerIndex
	residents *residents
	affinity  *affinity

	workers       map[string]*workerInfo
	sorted        []*workerInfo        // all workers, sorted by name
	nameHashes    []uint64             // hashes of the names of the workers in sorted, in the same order
	ordinalsStale bool                 // workers were added or removed since the last call of refresh
	unlisted      map[*workerInfo]bool // workers that are not on the current list
	uncordoned    map[*workerInfo]bool // workers that were uncordoned; some of them may have got an offer since
	foreignCount  int                  // number of listed workers in the state Foreign
}

// assignedCount returns the number of all workers except the listed foreign ones.
func (f *fleet) assignedCount() int { return len(f.sorted) - f.foreignCount }

// isLarge reports whether the fleet has too many workers to examine each of them on every event.
func (f *fleet) isLarge() bool { return f.assignedCount() > maxEnumerated }

// sharingSchedulers returns the number of schedulers that offer tasks to a worker. It is 1 if the workers
// are divided among the schedulers, and the number of all schedulers otherwise.
func (f *fleet) sharingSchedulers() int {
	if f.foreignCount > 0 {
		return 1
	}
	return f.settings.FleetSize
}

// totalRequestedCores returns the cores requested of all workers, or 0 without a view. The views of foreign
// workers may be out of date, so each of them is assumed to have as many requested cores as the other
// workers have on average.
func (f *fleet) totalRequestedCores() float64 {
	f.refresh()
	if f.foreignCount == 0 {
		return f.loads.listedRequestedCores
	}
	return f.loads.listedRequestedCores * float64(len(f.sorted)) / float64(max(1, f.assignedCount()))
}

// findOrAdd returns the worker with the given name, and adds it first if it does not exist.
func (f *fleet) findOrAdd(name string) *workerInfo {
	worker := f.workers[name]
	if worker != nil {
		return worker
	}
	worker = newWorkerInfo(name, len(f.settings.Classes))
	f.workers[name] = worker
	f.unlisted[worker] = true
	f.orderChanged()
	i, _ := slices.BinarySearchFunc(f.sorted, name, compareName)
	f.sorted = slices.Insert(f.sorted, i, worker)
	return worker
}

// orderChanged invalidates the ordinals and the preferred workers after a worker was added or removed.
func (f *fleet) orderChanged() {
	f.ordinalsStale = true
	f.affinity.clear()
}

// setListed records whether a worker is on the current list.
func (f *fleet) setListed(worker *workerInfo, listed bool) {
	worker.listed = listed
	f.countForeign(worker)
	if listed {
		delete(f.unlisted, worker)
	} else {
		f.unlisted[worker] = true
	}
	f.index.invalidate(worker)
}

// countForeign updates the number of foreign workers after a possible change of worker.State or
// worker.listed.
func (f *fleet) countForeign(worker *workerInfo) {
	foreign := worker.listed && worker.State == Foreign
	if foreign == worker.foreign {
		return
	}
	worker.foreign = foreign
	if foreign {
		f.foreignCount++
	} else {
		f.foreignCount--
	}
	f.affinity.clear()
}

// pruneUncordoned returns the workers that have got no new attempt or task since they were uncordoned. It
// removes all others from the set of uncordoned workers.
func (f *fleet) pruneUncordoned() map[*workerInfo]bool {
	for worker := range f.uncordoned {
		if !worker.uncordonedIdle {
			delete(f.uncordoned, worker)
		}
	}
	return f.uncordoned
}

// unlistAll marks all workers as not listed, before a complete list is applied.
func (f *fleet) unlistAll() {
	for _, worker := range f.sorted {
		f.setListed(worker, false)
	}
}

// update applies a list entry to a worker.
func (f *fleet) update(worker *workerInfo, entry Entry) {
	if worker.everListed && worker.StartedAtUs != entry.StartedAtUs {
		f.restarted(worker)
	}
	worker.Entry, worker.everListed = entry, true
	f.setListed(worker, entry.State != Removed)
	f.residents.domainsChanged()
	worker.uncordonedIdle = worker.uncordonedIdle && worker.listed || entry.Uncordoned
	if entry.Uncordoned {
		f.uncordoned[worker] = true
		// Uncordoning ends every suspicion, for example one caused by operators who restarted the worker.
		clear(worker.suspicions)
	}
	hasName := func(kind Kind) bool { return kind.Name == entry.Kind }
	worker.kindIndex = slices.IndexFunc(f.settings.Kinds, hasName)
	worker.viewedAt = f.now
	worker.recordFree(entry.FreeCores, entry.FreeMemory)
	worker.forgetDeltas(f.now - deltaRetention)
}

// restarted discards the state that a worker lost in a restart: the recorded changes of its load, its
// idle programs and its calibration. Attempts and tasks that have not ended yet count towards the
// spread until they end.
func (f *fleet) restarted(worker *workerInfo) {
	worker.deltas = nil
	f.residents.removeIdle(worker)
	worker.calibration = [resourceCount]float64{1, 1}
}

// forgetUnlisted removes the workers that are not listed and have no attempt or task.
func (f *fleet) forgetUnlisted() {
	var removed []*workerInfo
	for worker := range f.unlisted {
		if worker.active == 0 {
			removed = append(removed, worker)
		}
	}
	slices.SortFunc(removed, func(a, b *workerInfo) int { return cmp.Compare(a.Worker, b.Worker) })
	for _, worker := range removed {
		f.residents.removeAll(worker)
		worker.deltas, worker.reportsFree = nil, false
		f.index.invalidate(worker)
		delete(f.unlisted, worker)
		delete(f.uncordoned, worker)
		delete(f.workers, worker.Worker)
		i, _ := slices.BinarySearchFunc(f.sorted, worker.Worker, compareName)
		f.sorted = slices.Delete(f.sorted, i, i+1)
		f.orderChanged()
	}
}

// refresh updates the index, the ordinals and the name hashes with all changes since its last call.
func (f *fleet) refresh() {
	if f.index.setBaseline(f.capacity.baseline) {
		for _, worker := range f.sorted {
			f.index.invalidate(worker)
		}
	}
	f.loads.refreshStale()
	if f.ordinalsStale {
		f.ordinalsStale = false
		f.nameHashes = f.nameHashes[:0]
		for ordinal, worker := range f.sorted {
			worker.ordinal = ordinal
			f.nameHashes = append(f.nameHashes, worker.nameHash)
		}
	}
}

// preferredFor returns the preferred workers of a program. If workers were added or removed, refresh must
// be called first.
func (f *fleet) preferredFor(program uint64) []*workerInfo {
	return f.affinity.preferredWorkers(program, f.sorted, f.nameHashes, f.assignedCount())
}
