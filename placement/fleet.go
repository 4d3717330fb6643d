package placement

import (
	"cmp"
	"slices"
)

// This file owns which workers there are: the present list, and those that left it but still
// have attempts or tasks. It must never decide which of them gets a task.

// fleet is the set of all workers.
type fleet struct {
	*environment
	capacity  *capacityModel
	loads     *loadTracker
	index     *workerIndex
	residents *residents
	affinity  *affinity

	workers       map[string]*workerInfo
	sorted        []*workerInfo // by name
	nameHashes    []uint64      // of sorted
	ordinalsStale bool          // ordinals and nameHashes are those of an earlier order
	unlisted      map[*workerInfo]bool
	uncordoned    map[*workerInfo]bool // and some that got an offer since
	foreignCount  int                  // listed workers that are assigned to other schedulers
}

// assignedCount is the number of workers that are assigned to no other scheduler.
func (f *fleet) assignedCount() int { return len(f.sorted) - f.foreignCount }

// isLarge reports whether there are too many workers to look at each whenever something happens.
func (f *fleet) isLarge() bool { return f.assignedCount() > maxEnumerated }

// sharingSchedulers is how many schedulers offer tasks to a worker: all of them, but this one
// alone where the workers are divided among them.
func (f *fleet) sharingSchedulers() int {
	if f.foreignCount > 0 {
		return 1
	}
	return f.settings.FleetSize
}

// totalRequestedCores is what is requested of all workers: of foreign ones as much as of the
// others, whose views are known.
func (f *fleet) totalRequestedCores() float64 {
	f.refresh()
	if f.foreignCount == 0 {
		return f.loads.listedRequestedCores
	}
	return f.loads.listedRequestedCores * float64(len(f.sorted)) / float64(max(1, f.assignedCount()))
}

// findOrAdd returns the worker of a name, which it adds if there is none.
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

// orderChanged notes that workers come or go.
func (f *fleet) orderChanged() {
	f.ordinalsStale = true
	f.affinity.clear()
}

// setListed notes whether a worker is on the present list.
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

// countForeign keeps the number of foreign workers right after a change of one.
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

// pruneUncordoned forgets the uncordoned workers that got an offer since, and returns the others.
func (f *fleet) pruneUncordoned() map[*workerInfo]bool {
	for worker := range f.uncordoned {
		if !worker.uncordonedIdle {
			delete(f.uncordoned, worker)
		}
	}
	return f.uncordoned
}

// unlistAll takes all workers off the list, before a full one.
func (f *fleet) unlistAll() {
	for _, worker := range f.sorted {
		f.setListed(worker, false)
	}
}

// update takes what a list says of a worker.
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
		clear(worker.suspicions) // what spoke against it, its restart by operators among that, is over
	}
	hasName := func(kind Kind) bool { return kind.Name == entry.Kind }
	worker.kindIndex = slices.IndexFunc(f.settings.Kinds, hasName)
	worker.viewedAt = f.now
	worker.recordFree(entry.FreeCores, entry.FreeMemory)
	worker.forgetDeltas(f.now - deltaRetention)
}

// restarted takes it that a worker started anew: nothing is left of what was there. What has
// not ended yet counts for the spread until it has.
func (f *fleet) restarted(worker *workerInfo) {
	worker.deltas = nil
	f.residents.removeIdle(worker)
	worker.calibration = [resourceCount]float64{1, 1}
}

// forgetUnlisted forgets the workers off the list that have no attempt or task.
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

// refresh brings the index and the ordinals up to date with what changed since the last search.
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

// preferredFor returns the workers over which the tasks of a program are spread.
func (f *fleet) preferredFor(program uint64) []*workerInfo {
	return f.affinity.workersFor(program, f.sorted, f.nameHashes, f.assignedCount())
}
