package discovery

// This file owns the cursor: all events with numbers up to the cursor have been processed. The functions in this file
// apply events to the scheduler, to the pool of connections to workers and to the shard assignment. Events without a
// list of workers only move the cursor. Invariant: events are applied in order, and each at most once.

import (
	"maps"
	"slices"

	"ravenhitch/internal/config"
	"ravenhitch/placement"
)

// Apply applies the new events of an update in order, and moves the cursor to the update's cursor unless the cursor is
// higher already. If cached is true, the events come from the configuration, and their information about workers may
// be outdated.
func (f *Follower) Apply(update config.Update, cached bool) {
	f.convertStartTimes(update, cached)
	if cached {
		f.applyCached(update)
	} else {
		f.applyLive(update)
	}
	f.cursor = max(f.cursor, update.Cursor)
}

// convertStartTimes converts the start times of the workers in an update to the clock of the event loop.
func (f *Follower) convertStartTimes(update config.Update, cached bool) {
	f.startTimes.observe(f.loop.SystemClock(), f.loop.Clock())
	for _, event := range update.Events {
		if event.Cursor <= f.cursor {
			continue // it is not applied
		}
		for i := range event.Workers {
			worker := &event.Workers[i]
			if !cached && !event.Complete {
				f.correctStartTimes(f.startTimes.observeStart(worker.Worker, worker.StartedAtUs, f.loop.SystemClock(), f.loop.Clock()))
			}
			worker.StartedAtUs = f.startTimes.convert(worker.Worker, worker.StartedAtUs, f.loop.Now())
			if worker.State == placement.Removed {
				f.startTimes.forget(worker.Worker)
			}
		}
	}
}

// observeDate compares the date of a response with the clock of this host, and corrects the start times of workers that
// were converted with a wrong clock. It does nothing if date is 0.
func (f *Follower) observeDate(date int64) {
	if date == 0 {
		return
	}
	f.correctStartTimes(f.startTimes.observeDate(date, f.loop.SystemClock(), f.loop.Clock()))
}

// correctStartTimes replaces the start times of workers that were converted with a wrong clock.
func (f *Follower) correctStartTimes(changed map[string]int64) {
	if len(changed) == 0 {
		return
	}
	f.log.Warn("system clock differs from that of discovery", "workers", len(changed))
	f.dispatcher.CorrectStartTimes(f.loop.Now(), changed)
	for _, worker := range slices.Sorted(maps.Keys(changed)) {
		f.updateStart(worker, changed[worker])
	}
}

// updateStart applies the start time of a worker to the pool.
func (f *Follower) updateStart(worker string, startedAt int64) {
	if f.startTimes.isExact() {
		f.pool.UpdateWorkerStart(worker, startedAt)
	} else {
		f.pool.UpdateLatestWorkerStart(worker, startedAt)
	}
}

// applyLive applies each new event to the pool and the shard assignment, and passes each to the scheduler as a
// separate list.
func (f *Follower) applyLive(update config.Update) {
	now := f.loop.Now()
	for _, event := range update.Events {
		if !f.advance(event) {
			continue
		}
		f.updatePool(event)
		kind := placement.ListDelta
		if event.Complete {
			kind = placement.ListFull
		}
		f.dispatcher.UpdateWorkers(now, placement.WorkerList{Kind: kind, Entries: placementEntries(event.Workers)})
	}
}

// applyCached applies each new event of the configuration to the pool and the shard assignment, and passes all of them
// to the scheduler as one combined list.
func (f *Follower) applyCached(update config.Update) {
	var list foldedList
	for _, event := range update.Events {
		if !f.advance(event) {
			continue
		}
		list.fold(event)
		f.updatePool(event)
	}
	f.dispatcher.UpdateWorkers(f.loop.Now(), placement.WorkerList{Kind: placement.ListCached, Entries: list.present()})
}

// advance moves the cursor to an event if the event is newer than the cursor. It reports whether the event must be
// applied, which is the case if it is newer and has a list of workers.
func (f *Follower) advance(event config.Event) bool {
	if event.Cursor <= f.cursor {
		return false
	}
	f.cursor = event.Cursor
	return event.HasList
}

// updatePool applies an event to the pool of connections to workers and to the shard assignment.
func (f *Follower) updatePool(event config.Event) {
	if event.Complete {
		f.pool.RemoveUnlisted(workerNames(event.Workers))
	}
	f.updateAssignment(event.Workers, event.Complete)
	for _, member := range event.Workers {
		f.pool.UpdateWorker(member.Worker, member.Addr, member.State != placement.Removed)
		f.updateStart(member.Worker, member.StartedAtUs)
	}
}

// workerNames returns the set of the names of listed workers.
func workerNames(workers []config.Worker) map[string]bool {
	names := make(map[string]bool, len(workers))
	for _, member := range workers {
		names[member.Worker] = true
	}
	return names
}

// placementEntries returns the entries of listed workers, without their addresses.
func placementEntries(workers []config.Worker) []placement.Entry {
	entries := make([]placement.Entry, 0, len(workers))
	for _, member := range workers {
		entries = append(entries, member.Entry)
	}
	return entries
}

// foldedList combines a sequence of events into one list of workers, in the order in which the workers were first
// listed. The zero value is an empty list.
type foldedList struct {
	entries []placement.Entry
	index   map[string]int // index into entries, by worker
}

// fold applies an event to the list. A complete event replaces the list.
func (l *foldedList) fold(event config.Event) {
	if event.Complete || l.index == nil {
		l.entries, l.index = nil, map[string]int{}
	}
	for _, member := range event.Workers {
		if i, found := l.index[member.Worker]; found {
			l.entries[i] = member.Entry
			continue
		}
		l.index[member.Worker] = len(l.entries)
		l.entries = append(l.entries, member.Entry)
	}
}

// present returns the entries of the list without those of removed workers.
func (l *foldedList) present() []placement.Entry {
	var present []placement.Entry
	for _, entry := range l.entries {
		if entry.State != placement.Removed {
			present = append(present, entry)
		}
	}
	return present
}
