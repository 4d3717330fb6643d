package hollow

import (
	"fmt"
	"slices"
	"testing"

	"ravenhitch/internal/shard"
)

// This file contains the calculation of the shards that members consider assigned to them. Its test checks
// that cutting off a region moves no shards, and that the death of a member moves only shards of its region.

// reassignedWithin is the maximum time in seconds from the stop of a member until its shards are assigned to
// other members.
const reassignedWithin = 10

// regionsOfZones returns the region of each zone.
func (n *network) regionsOfZones() shard.Regions {
	names := shard.Regions{}
	for zone := range n.zones {
		names[fmt.Sprint("zone-", zone)] = fmt.Sprint("region-", zone%n.regions)
	}
	return names
}

// assignedTo returns the shards that member i considers assigned to it. It derives them from the member's stable
// view, as the program does.
func (s *simulation) assignedTo(i int) shard.Set {
	self, regions, assigned := s.members[i], s.network.regionsOfZones(), shard.Set{}
	names := self.View().Names
	var members []shard.Member
	for _, m := range self.Members() {
		if slices.Contains(names, m.Name) {
			members = append(members, shard.Member{Name: m.Name, Zone: m.Zone})
		}
	}
	for zone := range regions {
		if bits := regions.Assigned(zone, members, self.name); bits != 0 {
			assigned[zone] = bits
		}
	}
	return assigned
}

// assignments maps the index of each running member to the shards that the member considers assigned to it.
type assignments map[int]shard.Set

// assignments returns the current assignments of all running members.
func (s *simulation) assignments() assignments {
	assigned := assignments{}
	for i, m := range s.members {
		if m.running {
			assigned[i] = s.assignedTo(i)
		}
	}
	return assigned
}

// conflicts holds the number of shards that no member has, and the number of shards that several members have.
type conflicts struct{ unassigned, duplicates int }

func (c conflicts) any() bool { return c.unassigned+c.duplicates > 0 }

// conflicts counts the shards that no member has in a, and the shards that several members have in a.
func (a assignments) conflicts(regions shard.Regions) (found conflicts) {
	for zone := range regions {
		for n := range shard.Count {
			assignees := 0
			for _, assigned := range a {
				if assigned[zone].Has(n) {
					assignees++
				}
			}
			if assignees == 0 {
				found.unassigned++
			}
			if assignees > 1 {
				found.duplicates++
			}
		}
	}
	return found
}

// addedSince counts, over all members, the shards that a member has in a but did not have in before.
func (a assignments) addedSince(before assignments) (n int) {
	for i, assigned := range a {
		n += assigned.Minus(before[i]).Len()
	}
	return n
}

// TestShardsInACut cuts off a region, heals the cut, and then stops one member. Before the cut, each shard must
// be assigned to exactly one member. Neither the cut nor its end may move a shard. After the member has stopped,
// only shards of its region may move, and within reassignedWithin seconds each shard must again be assigned to
// exactly one member.
func TestShardsInACut(t *testing.T) {
	const regions, zones = 4, 13
	for _, n := range sizes(t) {
		s := newScenario(n, regions, zones, *seedFlag)
		s.waitForAgreement(forming)
		s.advance(forming, settleTime)
		before := s.assignments()
		s.checkConflicts(t, "before the cut", before)
		moved := s.maxMovedInCut(before)
		if moved > 0 {
			t.Errorf("%d members: %d shards moved during or after the cut of a region, want 0", n, moved)
		}
		const dead = 0
		s.stop(dead)
		seconds, maxDuplicates := s.waitForAssignment()
		after := s.assignments()
		s.checkConflicts(t, fmt.Sprintf("%d s after a death", seconds), after)
		for i, assigned := range after {
			if s.network.region(i) != s.network.region(dead) && !assigned.Equal(before[i]) {
				t.Errorf("%d members: shards of %s moved after a death in another region", n, s.members[i].name)
			}
		}
		fmt.Printf("assignment: instances=%d shards=%d moved_in_cut=%d moved_by_death=%d owned_again_s=%d doubles_most=%d\n", n,
			zones*shard.Count, moved, after.addedSince(before), seconds, maxDuplicates)
	}
}

// checkConflicts asserts that each shard is assigned to exactly one member.
func (s *scenario) checkConflicts(t *testing.T, when string, assigned assignments) {
	t.Helper()
	if c := assigned.conflicts(s.network.regionsOfZones()); c.any() {
		t.Errorf("%d members, %s: %d shards assigned to no member and %d to several, want none of either", s.memberCount, when, c.unassigned, c.duplicates)
	}
}

// maxMovedInCut cuts off a region for cutSeconds and lets secondsAfter pass after the cut. The parameter before
// holds the assignments before the cut. Once per second, maxMovedInCut counts the shards that members have but did not
// have in before. It returns the maximum count.
func (s *scenario) maxMovedInCut(before assignments) (moved int) {
	const cutSeconds, secondsAfter = 120, 30
	s.network.cutFrom, s.network.cutUntil = s.now, s.now+cutSeconds*second
	for range cutSeconds + secondsAfter {
		s.advance(cut, second)
		moved = max(moved, s.assignments().addedSince(before))
	}
	return moved
}

// waitForAssignment advances time until each shard is assigned to exactly one member, but at most for
// reassignedWithin seconds. It returns the seconds that passed and the maximum number of shards that were
// assigned to several members at the same time.
func (s *scenario) waitForAssignment() (seconds, maxDuplicates int) {
	for ; seconds < reassignedWithin; seconds++ {
		c := s.assignments().conflicts(s.network.regionsOfZones())
		maxDuplicates = max(maxDuplicates, c.duplicates)
		if !c.any() {
			break
		}
		s.advance(calm, second)
	}
	return seconds, maxDuplicates
}
