package dispatch

// This file owns the set of listed workers and the times since which workers have been draining. It must never
// end a task or change the entry of a worker in a list. Only the list filter (listfilter.go) changes entries.

import "ravenhitch/placement"

// UpdateWorkers applies a list of workers from discovery, complete or with changes only.
func (d *Dispatcher) UpdateWorkers(now int64, list placement.WorkerList) {
	d.now = now
	if !d.hasList {
		d.hasList, d.inherited.firstListAt = true, d.now
	}
	if isCompleteList(list) {
		// Workers that a complete list does not name count as draining from now on. The loop sets this time for
		// all listed workers, including those that are already draining; updateListed deletes it again for the
		// named workers that are ready or foreign.
		for worker := range d.listed {
			d.drainingSince[worker] = now
		}
		clear(d.listed)
	}
	list.Entries = d.listFilter.apply(list)
	for _, entry := range list.Entries {
		d.updateListed(entry)
	}
	d.queueEvent(list)
}

// updateListed records whether a worker is listed and since when it has been draining.
func (d *Dispatcher) updateListed(entry placement.Entry) {
	if entry.State == placement.Removed {
		delete(d.listed, entry.Worker)
	} else {
		d.listed[entry.Worker] = true
	}
	if entry.State == placement.Ready || entry.State == placement.Foreign {
		delete(d.drainingSince, entry.Worker)
	} else if _, draining := d.drainingSince[entry.Worker]; !draining {
		d.drainingSince[entry.Worker] = d.now
	}
}

// isCompleteList reports whether a list names all workers rather than only changes.
func isCompleteList(list placement.WorkerList) bool {
	return list.Kind == placement.ListFull || list.Kind == placement.ListCached
}

// IsListed reports whether a worker is on the list.
func (d *Dispatcher) IsListed(worker string) bool { return d.listed[worker] }

// HasWorker reports whether a worker is listed or cordoned.
func (d *Dispatcher) HasWorker(worker string) bool {
	return d.listed[worker] || d.listFilter.cordoned[worker]
}

// PoolSize returns the number of listed workers, and how many of them are cordoned or avoided by the scheduler.
func (d *Dispatcher) PoolSize() (listed, avoided int) {
	for worker := range d.listed {
		if d.listFilter.cordoned[worker] || d.scheduler.Avoids(worker) {
			avoided++
		}
	}
	return len(d.listed), avoided
}

// AvoidsWorker reports whether the scheduler avoids a worker for tasks of every class.
func (d *Dispatcher) AvoidsWorker(worker string) bool { return d.scheduler.Avoids(worker) }
