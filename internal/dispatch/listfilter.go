package dispatch

// This file owns which workers are cordoned or assigned to another orchestrator, and how that
// changes the list. A cordoned worker drains for this orchestrator, whatever the list says, until an
// operator uncordons it; a list must never uncordon it.

import (
	"maps"
	"slices"

	"ravenhitch/placement"
)

// listFilter is what was listed last, and what changes it.
type listFilter struct {
	entries    map[string]placement.Entry // as discovery listed it
	cordoned   map[string]bool
	uncordoned map[string]bool          // and not listed as ready since
	isAssigned func(worker string) bool // to this orchestrator; nil: all workers are
}

func newListFilter() listFilter {
	return listFilter{entries: map[string]placement.Entry{}, cordoned: map[string]bool{}, uncordoned: map[string]bool{}}
}

// apply takes a list and returns its entries as they hold here.
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

// adjust returns an entry as it holds here.
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

// assigned reports whether this orchestrator places tasks at a worker.
func (f *listFilter) assigned(worker string) bool {
	return f.isAssigned == nil || f.isAssigned(worker)
}

// SetAssignedWorkers says at which workers this orchestrator places tasks from now on; the others are
// left to other orchestrators. Tasks that run there go on. isAssigned must answer alike until the next
// call; nil stands for all workers.
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

// SetCordoned cordons the workers that are named, and uncordons all others.
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

// relist takes the entries of workers again, since what changes them has changed.
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
