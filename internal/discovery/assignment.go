package discovery

// This file owns the set of worker shards that are assigned to this orchestrator, and the subset of these shards that
// is active; the orchestrator places tasks in active shards only. A shard that is no longer assigned (a lost shard)
// becomes inactive at once. A newly assigned shard (a gained shard) becomes active when discovery has answered a poll
// that named it. Such a poll requests the free capacity of the shard's workers, because another orchestrator placed
// tasks on them before, so earlier reports may be outdated. Invariant: a shard becomes active in no other way, except
// that the shards of a new zone are active at once (see update).

import (
	"maps"
	"strings"

	"ravenhitch/internal/config"
	"ravenhitch/internal/shard"
	"ravenhitch/placement"
)

// Assignment returns the shards of a zone that are assigned to this orchestrator.
type Assignment func(zone string) shard.Bits

// maxLateReportMs is the maximum time, in milliseconds, that discovery blocks a poll if shard assignment is enabled.
// It replaces the constant pollBlockMs, which is shorter. While discovery blocks the poll, it may delay events that
// report only free capacity. The delay does no harm: no other orchestrator places tasks at this orchestrator's
// workers, so this orchestrator can compute the changes of their free capacity itself.
const maxLateReportMs = 4_000

// shardAssignment tracks the shards that are assigned to this orchestrator and those that are active. If shard
// assignment is not enabled, the Follower has a nil *shardAssignment, which pollBlockMs, beginPoll and endPoll accept.
type shardAssignment struct {
	assigned  Assignment
	zones     map[string]string // zone of each listed worker, by worker
	active    shard.Set         // shards in which this orchestrator places tasks
	wanted    shard.Set         // assigned shards in the zones that were listed so far
	requested shard.Set         // shards that the latest poll names
}

func newShardAssignment(assigned Assignment) *shardAssignment {
	return &shardAssignment{assigned: assigned, zones: map[string]string{}, active: shard.Set{}, wanted: shard.Set{}}
}

// change replaces the assignment and deactivates the active shards that are no longer assigned. It reports whether
// any shard was deactivated.
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

// update stores the zones of the workers in a list and deletes those of removed workers. If the list is complete, it
// also deletes the zones of all workers that are not in the list. The assigned shards of a new zone become active at
// once: until a poll of this orchestrator has named a zone, discovery reports the free capacity of all workers in the
// zone to this orchestrator. update reports whether the list has a new zone.
func (s *shardAssignment) update(workers []config.Worker, complete bool) (hasNewZone bool) {
	if complete {
		clear(s.zones)
	}
	for _, member := range workers {
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

// pollBlockMs returns the maximum time that discovery blocks a poll, in milliseconds: maxLateReportMs if shard
// assignment is enabled, otherwise the constant pollBlockMs.
func (s *shardAssignment) pollBlockMs() int64 {
	if s == nil {
		return pollBlockMs
	}
	return maxLateReportMs
}

// beginPoll returns the parameters that shard assignment adds to a poll's query, and the assigned shards, which the poll
// names. The parameter "room=late" permits discovery to delay events that report only free
// capacity. The parameter "shards" names the shards whose changes of free capacity discovery reports. The parameter
// "fresh" names the gained shards, for which discovery must report the free capacity of every worker, changed or not.
// beginPoll returns an empty query and no shards if shard assignment is not enabled.
func (s *shardAssignment) beginPoll() (query string, named shard.Set) {
	if s == nil {
		return "", nil
	}
	s.requested = s.wanted
	query = "&room=late&shards=" + escapeSet(s.wanted)
	if gained := s.wanted.Minus(s.active); gained.Len() > 0 {
		query += "&fresh=" + escapeSet(gained)
	}
	return query, s.requested
}

// endPoll must be called when a poll has been answered. It activates the shards that this poll named and that are still
// assigned. It reports whether a shard became active.
func (s *shardAssignment) endPoll(named shard.Set) (gained bool) {
	if s == nil {
		return false
	}
	active := s.active.Or(named.And(s.wanted))
	gained = !active.Equal(s.active)
	s.active = active
	return gained
}

// needsPoll reports whether there are assigned shards that are not active yet and that the poll in flight does not
// name.
func (s *shardAssignment) needsPoll() bool {
	return s.wanted.Minus(s.active).Minus(s.requested).Len() > 0
}

// escapeSet returns the text form of a set, escaped for use as a value in a URL query. The percent sign is the only
// character of that form that must be escaped.
func escapeSet(set shard.Set) string { return strings.ReplaceAll(set.String(), "%", "%25") }
