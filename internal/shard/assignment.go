package shard

// This file assigns shards to members by rendezvous hashing with bounded loads. The assignment must depend only on
// names, zones and regions, so that all members compute the same one.

import "slices"

// Member is an orchestrator in the stable view.
type Member struct{ Name, Zone string }

// Regions maps each zone to its region. All zones without an entry form one region together.
type Regions map[string]string

// Assigned returns the shards of a zone that are assigned to the named member.
func (r Regions) Assigned(zone string, members []Member, name string) (assigned Bits) {
	for shard, assignee := range r.Assignments(zone, members) {
		if assignee == name {
			assigned |= 1 << shard
		}
	}
	return assigned
}

// Assignments returns, for each shard of a zone, the name of the member that it is assigned to. All names are "" if
// the zone's region has no member. The order of members does not matter, and duplicate names count once.
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

// weight returns the rendezvous weight of a member for a shard, from the member's seed and the shard's key.
func weight(seed, key uint64) uint64 { return mix(seed ^ key) }

// eligible returns the sorted names of the members of a zone's region, without duplicates.
func (r Regions) eligible(zone string, members []Member) (names []string) {
	for _, m := range members {
		if r[m.Zone] == r[zone] {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
