package placement

// This file owns how a list of workers changes the view of them. It must never decide which worker
// gets a task.

// view takes lists.
type view struct {
	*environment
	fleet *fleet
	lag   *lagEstimator
}

// apply takes a list. A worker absent from a complete list has left.
func (v *view) apply(list WorkerList) {
	if list.Kind == ListFull || list.Kind == ListCached {
		v.fleet.unlistAll()
	}
	for _, entry := range list.Entries {
		v.update(entry, list.Kind != ListCached)
	}
	v.fleet.forgetUnlisted()
	// Of a large fleet some change comes with each call: pending tasks wait for the timer then.
	v.needsPass = v.needsPass || list.Kind != ListDelta || !v.fleet.isLarge()
}

// update takes an entry of a list, which may be current or cached.
func (v *view) update(entry Entry, current bool) {
	worker := v.fleet.findOrAdd(entry.Worker)
	assigned := worker.State != Foreign && entry.State != Foreign // else its view is not current
	if current && assigned && worker.everListed && worker.viewedAt > 0 &&
		worker.StartedAtUs == entry.StartedAtUs && v.settings.HasView {
		v.lag.learn(worker, entry)
	}
	v.fleet.update(worker, entry)
}
