package dispatch

// This file owns what the list says of workers: which are listed, and since when which drain. It must
// never end a task, nor change an entry itself: that is the list filter's (listfilter.go).

import "ravenhitch/placement"

// UpdateWorkers takes a list of workers, complete or of changes, from discovery.
func (d *Dispatcher) UpdateWorkers(now int64, list placement.WorkerList) {
	d.now = now
	d.hasList = true
	if isCompleteList(list) {
		for worker := range d.listed { // what a complete list does not name is removed
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

// updateListed notes whether a worker is listed, and since when it drains.
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

// isCompleteList reports whether a list names all workers, not only changes.
func isCompleteList(list placement.WorkerList) bool {
	return list.Kind == placement.ListFull || list.Kind == placement.ListCached
}

// IsListed reports whether a worker is on the list.
func (d *Dispatcher) IsListed(worker string) bool { return d.listed[worker] }

// HasWorker reports whether a worker is listed or cordoned.
func (d *Dispatcher) HasWorker(worker string) bool {
	return d.listed[worker] || d.listFilter.cordoned[worker]
}

// PoolSize is how many workers are listed, and how many of these are avoided because they are
// cordoned or by the scheduler's choice.
func (d *Dispatcher) PoolSize() (listed, avoided int) {
	for worker := range d.listed {
		if d.listFilter.cordoned[worker] || d.scheduler.Avoids(worker) {
			avoided++
		}
	}
	return len(d.listed), avoided
}
