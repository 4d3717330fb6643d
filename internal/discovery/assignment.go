package discovery

// This file owns the set of shards of workers that are assigned to this orchestrator and the subset of them that
// is active; the orchestrator places tasks in active shards only. A lost shard becomes inactive at once. A gained
// shard becomes active after discovery has reported the free capacity of its workers: another orchestrator placed
// tasks there before, so the free capacity that is known from earlier reports may be outdated. Invariant: a shard
// becomes active in no other way, except that the shards of a new zone are active at once (see update).

import (
	"maps"
	"strings"

	"ravenhitch/internal/config"
	"ravenhitch/internal/shard"
	"ravenhitch/placement"
)

// Assignment returns the shards of a zone that are assigned to this orchestrator.
type Assignment func(zone string) shard.Bits

// maxLateReportMs replaces pollBlockMs if workers are assigned to orchestrators: it is the maximum time, in
// milliseconds, that discovery blocks a poll. It is longer than pollBlockMs because discovery may delay events
// that report only free capacity. The delay does no harm: no other orchestrator places tasks at this
// orchestrator's workers, so this orchestrator can compute the changes of their free capacity itself.
const maxLateReportMs = 4_000

// shardAssignment tracks the shards that are assigned to this orchestrator and those that are active.
type shardAssignment struct {
	assigned  Assignment
	zones     map[string]string // zone of each listed worker, by worker
	active    shard.Set         // shards in which this orchestrator places tasks
	wanted    shard.Set         // assigned shards in the zones that were listed so far
	requested shard.Set         // shards that the poll in flight names
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

// update stores the zones of the listed workers. If the list is complete, it deletes the zones of all other
// workers. The assigned shards of a new zone become active at once: as long as no poll has named a zone, discovery
// reports the workers of that zone to every orchestrator. update reports whether the list has a new zone.
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

// pollBlockMs returns the maximum time that discovery blocks a poll until there is an event, in milliseconds.
func (s *shardAssignment) pollBlockMs() int64 {
	if s == nil {
		return pollBlockMs
	}
	return maxLateReportMs
}

// beginPoll returns the part of a poll's query that names shards, and records that the poll in flight names the
// assigned shards. The parameter "shards" names the shards whose free capacity discovery reports. The parameter
// "fresh" names the gained shards, for which discovery must report the free capacity of every worker.
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

// endPoll is called when the poll in flight was answered. It activates the shards that this poll named and that
// are still assigned. It reports whether a shard became active.
func (s *shardAssignment) endPoll() (gained bool) {
	if s == nil {
		return false
	}
	active := s.active.Or(s.requested.And(s.wanted))
	gained = !active.Equal(s.active)
	s.active = active
	return gained
}

// needsPoll reports whether there are gained shards that the poll in flight does not name.
func (s *shardAssignment) needsPoll() bool {
	return s.wanted.Minus(s.active).Minus(s.requested).Len() > 0
}

// escapeSet returns the text form of a set, escaped for use as a value in a URL query. The percent sign is the only
// character of that form that must be escaped.
func escapeSet(set shard.Set) string { return strings.ReplaceAll(set.String(), "%", "%25") }
