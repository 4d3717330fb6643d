package discovery

// This file owns how the follower carries out the shard assignment: it takes a new one, applies listed workers to
// it, and publishes the result to the dispatcher and the pool of connections to workers. It must never publish a
// shard before shardAssignment says that it is active.

import (
	"ravenhitch/internal/config"
)

// EnableAssignment makes this orchestrator place tasks in its shards alone. It must be called before Apply.
func (f *Follower) EnableAssignment(assigned Assignment) {
	f.assignment = newShardAssignment(assigned)
	f.publishAssignment()
}

// SetAssignment changes the shards that this orchestrator is to place tasks in. EnableAssignment must have
// been called.
func (f *Follower) SetAssignment(assigned Assignment) {
	if f.assignment.change(assigned) {
		f.publishAssignment()
	}
	if f.conn != nil && f.assignment.needsPoll() {
		f.restartIn(0) // the poll in flight may wait for long, and does not name what was gained
	}
}

// updateAssignment applies a list of workers to the assignment, where there is one.
func (f *Follower) updateAssignment(workers []config.Worker, complete bool) {
	if f.assignment != nil && f.assignment.update(workers, complete) {
		f.publishAssignment()
	}
}

// publishAssignment sets the assigned workers at the dispatcher and at the pool of connections to workers.
func (f *Follower) publishAssignment() {
	// The pool and the dispatcher call the predicate later: it must not follow changes that are not published.
	active, zones := f.assignment.active, f.assignment.zones
	assigned := func(worker string) bool { return active.Has(zones[worker], worker) }
	f.pool.SetAssigned(assigned)
	f.dispatcher.SetAssignedWorkers(f.loop.Now(), assigned)
	f.log.Info("shard assignment", "shards", active.Len(), "wanted", f.assignment.wanted.Len())
}
