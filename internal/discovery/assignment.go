package discovery

// This file owns the shards of workers that are assigned to this orchestrator: those that it places tasks
// in, and those that it is to and has not read the free capacity of yet. A shard that is lost is not used
// from that moment on. One that is gained is used once the command channel has reported its workers, so
// that no task is placed by a view that is older than what another orchestrator placed there.

import (
	"maps"
	"strings"

	"ravenhitch/internal/config"
	"ravenhitch/internal/shard"
	"ravenhitch/placement"
)

// Assignment says which shards of a zone this orchestrator is to place tasks in.
type Assignment func(zone string) shard.Bits

// maxLateReportMs is how long a poll may wait where workers are assigned to orchestrators: nobody else
// places tasks at those of this orchestrator, so that their free capacity changes by what it does itself,
// and reports of nothing but that may come together.
const maxLateReportMs = 4_000

// shardAssignment tracks the shards of one orchestrator.
type shardAssignment struct {
	assigned  Assignment
	zones     map[string]string // of the workers that are listed
	active    shard.Set         // where it places tasks
	wanted    shard.Set         // where it is to place tasks
	requested shard.Set         // what the poll in flight names
}

func newShardAssignment(assigned Assignment) *shardAssignment {
	return &shardAssignment{assigned: assigned, zones: map[string]string{}, active: shard.Set{}, wanted: shard.Set{}}
}

// change replaces the assignment, and reports whether an active shard was lost.
func (s *shardAssignment) change(assigned Assignment) (lost bool) {
	s.assigned = assigned
	wanted := shard.Set{}
	for zone := range s.wanted {
		wanted[zone] = assigned(zone)
	}
	s.wanted = wanted
	remaining := s.active.And(wanted)
	lost = !remaining.Equal(s.active)
	s.active = remaining
	return lost
}

// update takes over the zones of listed workers, and forgets all others where the list is complete. The
// workers of a zone that no poll named are reported to everybody, so that the shards of a new zone are
// active at once; it reports whether there is one.
func (s *shardAssignment) update(members []config.Worker, complete bool) (hasNewZone bool) {
	if complete {
		clear(s.zones)
	}
	for _, member := range members {
		if member.State == placement.Removed {
			delete(s.zones, member.Worker)
			continue
		}
		s.zones[member.Worker] = member.Zone
		if _, known := s.wanted[member.Zone]; known {
			continue
		}
		if !hasNewZone {
			s.wanted, s.active = maps.Clone(s.wanted), maps.Clone(s.active)
		}
		hasNewZone = true
		s.wanted[member.Zone] = s.assigned(member.Zone)
		s.active[member.Zone] = s.wanted[member.Zone]
	}
	return hasNewZone
}

// pollBlockMs is how long a poll may wait for an event, in milliseconds.
func (s *shardAssignment) pollBlockMs() int64 {
	if s == nil {
		return pollBlockMs
	}
	return maxLateReportMs
}

// beginPoll notes which shards the poll that is sent now names, and returns the part of its query that
// names to the command channel the shards of which to report free capacity, and those of which to report all of it.
func (s *shardAssignment) beginPoll() (query string) {
	if s == nil {
		return ""
	}
	s.requested = s.wanted
	query = "&room=late&shards=" + escapeSet(s.wanted)
	if gained := s.wanted.Minus(s.active); gained.Len() > 0 {
		query += "&fresh=" + escapeSet(gained)
	}
	return query
}

// endPoll makes the shards active that the answered poll named, and reports whether any was gained so.
func (s *shardAssignment) endPoll() (gained bool) {
	if s == nil {
		return false
	}
	active := s.active.Or(s.requested.And(s.wanted))
	gained = !active.Equal(s.active)
	s.active = active
	return gained
}

// needsPoll reports whether shards were gained that the poll in flight does not name.
func (s *shardAssignment) needsPoll() bool {
	return s.wanted.Minus(s.active).Minus(s.requested).Len() > 0
}

// escapeSet is a set as a value in the query of a URL, where of its characters the percent sign alone
// must be escaped.
func escapeSet(set shard.Set) string { return strings.ReplaceAll(set.String(), "%", "%25") }

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

// updateZones takes over the zones of listed workers, where workers are assigned to orchestrators.
func (f *Follower) updateZones(members []config.Worker, complete bool) {
	if f.assignment != nil && f.assignment.update(members, complete) {
		f.publishAssignment()
	}
}

// publishAssignment sets the assigned workers at the dispatcher and at the pool of connections to workers.
func (f *Follower) publishAssignment() {
	// The predicate answers by the shards of this moment until the next one is published.
	active, zones := f.assignment.active, f.assignment.zones
	assigned := func(worker string) bool { return active.Has(zones[worker], worker) }
	f.pool.SetAssigned(assigned)
	f.dispatcher.SetAssignedWorkers(f.loop.Now(), assigned)
	f.log.Info("shard assignment", "shards", active.Len(), "wanted", f.assignment.wanted.Len())
}
