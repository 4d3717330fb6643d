package placement

// This file applies worker lists to the fleet. It must not decide which worker gets a task.

// view applies worker lists to the fleet.
type view struct {
	*environment
	fleet *fleet
	lag   *lagEstimator
}

// apply applies a list to the fleet. A worker that is missing from a complete list is no longer listed.
func (v *view) apply(list WorkerList) {
	if list.Kind == ListFull || list.Kind == ListCached {
		v.fleet.unlistAll()
	}
	for _, entry := range list.Entries {
		v.update(entry, list.Kind != ListCached)
	}
	v.fleet.forgetUnlisted()
	// In a large fleet, nearly every call of Scheduler.Handle brings a list of changes. A list of changes
	// therefore triggers no scheduling pass there, and pending tasks wait for the timer.
	v.needsPass = v.needsPass || list.Kind != ListDelta || !v.fleet.isLarge()
}

// update applies one entry of a list. current is true if the list is not cached. Only then does the entry
// contribute to the estimate of the view's lag.
func (v *view) update(entry Entry, current bool) {
	worker := v.fleet.findOrAdd(entry.Worker)
	// The listed capacity of a foreign worker may be outdated, so the lag cannot be derived from it.
	assigned := worker.State != Foreign && entry.State != Foreign
	if current && assigned && worker.everListed && worker.viewedAt > 0 &&
		worker.StartedAtUs == entry.StartedAtUs && v.settings.HasView {
		v.lag.learn(worker, entry)
	}
	v.fleet.update(worker, entry)
}
