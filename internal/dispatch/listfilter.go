package dispatch

// This file owns the set of cordoned workers and the assignment of workers to this orchestrator, and applies both to
// the entries of the lists from discovery. A cordoned worker counts as draining for this orchestrator, even if it is
// listed as ready, until an operator uncordons it. A list must never uncordon a worker.

import (
	"maps"
	"slices"

	"ravenhitch/placement"
)

// listFilter holds the latest entries from discovery, and the cordons and the assignment that it applies to them.
type listFilter struct {
	entries    map[string]placement.Entry // latest entry of each worker, as discovery listed it
	cordoned   map[string]bool
	uncordoned map[string]bool          // workers that were uncordoned and have not been listed as ready since
	isAssigned func(worker string) bool // reports whether a worker is assigned to this orchestrator; nil if all are
}

func newListFilter() listFilter {
	return listFilter{entries: map[string]placement.Entry{}, cordoned: map[string]bool{}, uncordoned: map[string]bool{}}
}

// apply records a list and returns its entries, adjusted to the cordons and the assignment (see adjust).
func (f *listFilter) apply(list placement.WorkerList) []placement.Entry {
	if isCompleteList(list) {
		clear(f.entries)
	}
	entries := slices.Clone(list.Entries)
	for i, entry := range entries {
		if entry.State == placement.Removed {
			delete(f.entries, entry.Worker)
		} else {
			f.entries[entry.Worker] = entry
		}
		entries[i] = f.adjust(entry)
	}
	return entries
}

// adjust returns an entry adjusted to the cordons and the assignment: a ready worker becomes draining if it is
// cordoned, and foreign if it is not assigned to this orchestrator. The first ready entry of a worker after an
// uncordoning is marked as uncordoned.
func (f *listFilter) adjust(entry placement.Entry) placement.Entry {
	if entry.State == placement.Ready && f.cordoned[entry.Worker] {
		entry.State = placement.Draining
	}
	if entry.State == placement.Ready && f.uncordoned[entry.Worker] {
		entry.Uncordoned = true
		delete(f.uncordoned, entry.Worker)
	}
	if entry.State == placement.Ready && !f.assigned(entry.Worker) {
		entry.State = placement.Foreign
	}
	return entry
}

// assigned reports whether a worker is assigned to this orchestrator, cordoned or not.
func (f *listFilter) assigned(worker string) bool {
	return f.isAssigned == nil || f.isAssigned(worker)
}

// SetAssignedWorkers sets the workers on which this orchestrator places tasks. All other workers are left to other
// orchestrators, but tasks that already run on them continue. isAssigned must return the same results until
// SetAssignedWorkers is called again. If it is nil, all workers are assigned to this orchestrator.
func (d *Dispatcher) SetAssignedWorkers(now int64, isAssigned func(worker string) bool) {
	filter := &d.listFilter
	before := listFilter{isAssigned: filter.isAssigned}
	filter.isAssigned = isAssigned
	var changed []string
	for _, worker := range slices.Sorted(maps.Keys(filter.entries)) {
		if before.assigned(worker) != filter.assigned(worker) {
			changed = append(changed, worker)
		}
	}
	d.relist(now, changed)
}

// SetCordoned cordons the workers for which cordoned is true, and uncordons all others.
func (d *Dispatcher) SetCordoned(now int64, cordoned map[string]bool) {
	d.now = now
	filter := &d.listFilter
	var changed []string
	for _, worker := range slices.Sorted(maps.Keys(cordoned)) {
		if cordoned[worker] && !filter.cordoned[worker] {
			filter.cordoned[worker] = true
			delete(filter.uncordoned, worker)
			changed = append(changed, worker)
		}
	}
	for _, worker := range slices.Sorted(maps.Keys(filter.cordoned)) {
		if !cordoned[worker] {
			delete(filter.cordoned, worker)
			filter.uncordoned[worker] = true
			changed = append(changed, worker)
		}
	}
	for _, worker := range changed {
		d.log.Info("worker cordoned or uncordoned", "worker", worker, "cordoned", cordoned[worker])
	}
	d.relist(now, changed)
}

// CorrectStartTimes replaces the start times of listed workers, which were converted with a wrong clock.
func (d *Dispatcher) CorrectStartTimes(now int64, startTimes map[string]int64) {
	d.now = now
	workers := slices.Sorted(maps.Keys(startTimes))
	for _, worker := range workers {
		if entry, ok := d.listFilter.entries[worker]; ok {
			entry.StartedAtUs = startTimes[worker]
			d.listFilter.entries[worker] = entry
		}
	}
	d.relist(now, workers)
}

// relist applies the entries of workers again after cordons or assignments have changed.
func (d *Dispatcher) relist(now int64, workers []string) {
	list := placement.WorkerList{Kind: placement.ListDelta}
	for _, worker := range workers {
		if entry, ok := d.listFilter.entries[worker]; ok {
			list.Entries = append(list.Entries, entry)
		}
	}
	if len(list.Entries) > 0 {
		d.UpdateWorkers(now, list)
	}
}
