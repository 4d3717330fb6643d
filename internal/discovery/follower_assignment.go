package discovery

// This file owns the follower's part of the shard assignment: the follower accepts a new assignment and applies listed
// workers to it. It publishes the set of workers in active shards to the dispatcher and to the pool of connections to
// workers. Invariant: a worker in a shard that is not active in shardAssignment is never published.

import (
	"ravenhitch/internal/config"
)

// EnableAssignment restricts this orchestrator to placing tasks in the shards of the assignment. It must be called
// before Apply.
func (f *Follower) EnableAssignment(assigned Assignment) {
	f.assignment = newShardAssignment(assigned)
	f.publishAssignment()
}

// SetAssignment replaces the assignment of shards. EnableAssignment must have been called before.
func (f *Follower) SetAssignment(assigned Assignment) {
	f.dropLate() // they name shards of the assignment before
	if f.assignment.change(assigned) {
		f.publishAssignment()
	}
	if f.current != nil && f.assignment.needsPoll() {
		f.restartIn(0) // the poll in flight may block for up to maxLateReportMs and does not name the gained shards
	}
}

// updateAssignment applies a list of workers to the assignment. It does nothing if shard assignment is not enabled.
func (f *Follower) updateAssignment(workers []config.Worker, complete bool) {
	if f.assignment != nil && f.assignment.update(workers, complete) {
		f.publishAssignment()
	}
}

// publishAssignment passes a predicate to the dispatcher and to the pool of connections to workers. The predicate
// reports whether a worker is in an active shard.
func (f *Follower) publishAssignment() {
	// The pool and the dispatcher keep the predicate and call it later. It captures the current set of active shards.
	// A later change replaces this set instead of modifying it, so an unpublished change does not affect the
	// predicate. The map of zones is modified in place, so the predicate knows the zones of workers that are listed
	// later.
	active, zones := f.assignment.active, f.assignment.zones
	assigned := func(worker string) bool { return active.Has(zones[worker], worker) }
	f.pool.SetAssigned(assigned)
	f.dispatcher.SetAssignedWorkers(f.loop.Now(), assigned)
	f.log.Info("shard assignment", "shards", active.Len(), "wanted", f.assignment.wanted.Len())
}
