package discovery

// This file owns the number of the last event that was applied, and what an event does to the scheduler,
// to the connections to workers and to the shards. It must never apply an event twice or out of order.

import (
	"ravenhitch/internal/config"
	"ravenhitch/placement"
)

// Apply applies events in order. Where cached is set they come from the configuration, and what they say
// of workers may be old.
func (f *Follower) Apply(update config.Update, cached bool) {
	if cached {
		f.applyCached(update)
	} else {
		f.applyLive(update)
	}
	f.cursor = max(f.cursor, update.Cursor)
}

// applyLive hands each event to the scheduler as a list of its own.
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
		f.dispatcher.UpdateWorkers(now, placement.WorkerList{Kind: kind, Entries: entriesOf(event.Workers)})
	}
}

// applyCached folds the events of the configuration into one list for the scheduler.
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

// advance moves the cursor to an event. It reports whether the event is to be applied: it is a new one,
// and it lists workers.
func (f *Follower) advance(event config.Event) bool {
	if event.Cursor <= f.cursor {
		return false
	}
	f.cursor = event.Cursor
	return event.HasList
}

// updatePool brings the shards and the connections to workers up to date with an event.
func (f *Follower) updatePool(event config.Event) {
	if event.Complete {
		f.pool.RemoveUnlisted(namesOf(event.Workers))
	}
	f.updateAssignment(event.Workers, event.Complete)
	for _, member := range event.Workers {
		f.pool.UpdateWorker(member.Worker, member.Addr, member.State != placement.Removed)
		f.pool.WorkerStarted(member.Worker, member.StartedAtUs)
	}
}

// namesOf is the set of the names of listed workers.
func namesOf(workers []config.Worker) map[string]bool {
	names := make(map[string]bool, len(workers))
	for _, member := range workers {
		names[member.Worker] = true
	}
	return names
}

// entriesOf is what a list says of its workers, without their addresses.
func entriesOf(workers []config.Worker) []placement.Entry {
	entries := make([]placement.Entry, 0, len(workers))
	for _, member := range workers {
		entries = append(entries, member.Entry)
	}
	return entries
}

// foldedList is the list of workers after some events, in the order in which the workers were first
// listed. The zero value is an empty list.
type foldedList struct {
	entries []placement.Entry
	index   map[string]int // into entries, by worker
}

// fold applies an event to the list.
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

// present is the list without the workers that were removed.
func (l *foldedList) present() []placement.Entry {
	var present []placement.Entry
	for _, entry := range l.entries {
		if entry.State != placement.Removed {
			present = append(present, entry)
		}
	}
	return present
}
