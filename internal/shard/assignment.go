package shard

// This file owns the assignment of shards to members: rendezvous hashing with bounded loads. It must depend on
// nothing but names, zones and regions, so that all members compute the same.

import "slices"

// Member is an orchestrator in the stable view.
type Member struct{ Name, Zone string }

// Regions are the regions of zones. Zones that are not named form one region together.
type Regions map[string]string

// Assigned are the shards of a zone that are assigned to one of the members.
func (r Regions) Assigned(zone string, members []Member, name string) (assigned Bits) {
	for shard, assignee := range r.Assignments(zone, members) {
		if assignee == name {
			assigned |= 1 << shard
		}
	}
	return assigned
}

// Assignments are the members that the shards of a zone are assigned to, by shard; "" for all where no member is
// of the zone's region. Members come in any order; one that is named twice counts once.
func (r Regions) Assignments(zone string, members []Member) (assignments [Count]string) {
	names := r.eligible(zone, members)
	if len(names) == 0 {
		return assignments
	}
	capacity := (Count + len(names) - 1) / len(names)
	loads, seeds := make([]int, len(names)), make([]uint64, len(names))
	for i, name := range names {
		seeds[i] = hash(name)
	}
	for shard := range assignments {
		key := mix(hash(zone) + uint64(shard))
		best := -1
		for i := range names {
			if loads[i] < capacity && (best < 0 || weight(seeds[i], key) > weight(seeds[best], key)) {
				best = i
			}
		}
		loads[best]++
		assignments[shard] = names[best]
	}
	return assignments
}

// weight is the rendezvous weight of a member for a shard.
func weight(seed, key uint64) uint64 { return mix(seed ^ key) }

// eligible are the names of the members of a zone's region, sorted.
func (r Regions) eligible(zone string, members []Member) (names []string) {
	for _, m := range members {
		if r[m.Zone] == r[zone] {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
