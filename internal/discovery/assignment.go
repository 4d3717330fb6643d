package discovery

// This file owns which shards of workers are assigned to this orchestrator, and which of these are active: it
// places tasks in active shards only. A shard that is lost is inactive at once. One that is gained is active once
// discovery has reported its workers, so that no task is placed by free capacity from before another
// orchestrator placed tasks there. It must never make a shard active otherwise.

import (
	"maps"
	"strings"

	"ravenhitch/internal/config"
	"ravenhitch/internal/shard"
	"ravenhitch/placement"
)

// Assignment says which shards of a zone this orchestrator is to place tasks in.
type Assignment func(zone string) shard.Bits

// maxLateReportMs is how long a poll may wait, in milliseconds, where workers are assigned to orchestrators: no
// other orchestrator places tasks at those of this one, which knows itself how their free capacity changes, so
// that discovery may delay events that report nothing else.
const maxLateReportMs = 4_000

// shardAssignment tracks the shards of one orchestrator.
type shardAssignment struct {
	assigned  Assignment
	zones     map[string]string // of the workers that are listed
	active    shard.Set         // in which it places tasks
	wanted    shard.Set         // that are assigned, in the zones listed so far
	requested shard.Set         // that the poll in flight names
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

// update takes the zones from a list of workers, and forgets all others where the list is complete. Discovery reports
// the workers of a zone that no poll named to every orchestrator, so that the shards of a new zone are active
// at once; update reports whether there is one.
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

// pollBlockMs is how long a poll may wait for an event, in milliseconds.
func (s *shardAssignment) pollBlockMs() int64 {
	if s == nil {
		return pollBlockMs
	}
	return maxLateReportMs
}

// beginPoll notes which shards the poll that is sent now names, and returns the part of its query that
// names the shards of which discovery is to report free capacity, and those of which to report all of it.
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

// endPoll makes the shards active that the answered poll named, and reports whether there were any to make so.
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

// escapeSet returns a set as a value in the query of a URL. The percent sign is the only one of its characters that
// must be escaped.
func escapeSet(set shard.Set) string { return strings.ReplaceAll(set.String(), "%", "%25") }
