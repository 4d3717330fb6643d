package hollow

import (
	"fmt"
	"slices"
	"testing"

	"ravenhitch/internal/shard"
)

// This file owns the shards of workers that members take as assigned to them, and the test that a
// region's cut moves none, and a death only those of its region.

// reassignedWithin is within how many seconds the shards of a member that ended are assigned again.
const reassignedWithin = 10

// regionsOfZones are the regions of all zones.
func (n *network) regionsOfZones() shard.Regions {
	names := shard.Regions{}
	for zone := range n.zones {
		names[fmt.Sprint("zone-", zone)] = fmt.Sprint("region-", zone%n.regions)
	}
	return names
}

// assignedTo are the shards of a member, as the program takes them from the stable view.
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

// assignments are the shards of all members that run.
type assignments map[int]shard.Set

func (s *simulation) assignments() assignments {
	assigned := assignments{}
	for i, m := range s.members {
		if m.running {
			assigned[i] = s.assignedTo(i)
		}
	}
	return assigned
}

// conflicts count the shards that no member, or more than one, takes as assigned to it.
type conflicts struct{ unassigned, duplicates int }

func (c conflicts) any() bool { return c.unassigned+c.duplicates > 0 }

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

// addedSince counts the shards that members have now and did not have before.
func (a assignments) addedSince(before assignments) (n int) {
	for i, assigned := range a {
		n += assigned.Minus(before[i]).Len()
	}
	return n
}

// TestShardsInACut runs a region's cut and one death: each shard is assigned once before, nothing
// moves for the cut or its healing, and after the death only shards of its region have moved, within
// reassignedWithin seconds.
func TestShardsInACut(t *testing.T) {
	const regions, zones = 4, 13
	for _, n := range sizes(t) {
		s := newScenario(n, regions, zones, *seedFlag)
		s.untilAgreed(forming)
		s.advance(forming, settleTime)
		before := s.assignments()
		s.checkConflicts(t, "before the cut", before)
		moved := s.moveInCut(before)
		if moved > 0 {
			t.Errorf("%d members: %d shards moved for the cut of a region", n, moved)
		}
		const dead = 0
		s.stop(dead)
		seconds, maxDuplicates := s.untilAssigned()
		after := s.assignments()
		s.checkConflicts(t, fmt.Sprintf("%d s after a death", seconds), after)
		for i, assigned := range after {
			if s.network.region(i) != s.network.region(dead) && !assigned.Equal(before[i]) {
				t.Errorf("%d members: the shards of %s moved for a death in another region", n, s.members[i].name)
			}
		}
		fmt.Printf("assignment: instances=%d shards=%d moved_in_cut=%d moved_by_death=%d owned_again_s=%d doubles_most=%d\n", n,
			zones*shard.Count, moved, after.addedSince(before), seconds, maxDuplicates)
	}
}

// checkConflicts asserts that each shard is assigned to one member.
func (s *scenario) checkConflicts(t *testing.T, when string, assigned assignments) {
	t.Helper()
	if c := assigned.conflicts(s.network.regionsOfZones()); c.any() {
		t.Errorf("%d members, %s: %d shards are assigned to nobody and %d to several", s.memberCount, when, c.unassigned, c.duplicates)
	}
}

// moveInCut cuts a region for a while, and returns the highest number of shards that had moved
// during the cut or shortly after.
func (s *scenario) moveInCut(before assignments) (moved int) {
	const cutSeconds, secondsAfter = 120, 30
	s.network.cutFrom, s.network.cutUntil = s.now, s.now+cutSeconds*second
	for range cutSeconds + secondsAfter {
		s.advance(cut, second)
		moved = max(moved, s.assignments().addedSince(before))
	}
	return moved
}

// untilAssigned lets time pass until each shard is assigned to one member, or reassignedWithin. It
// returns the seconds, and the highest number of shards that were assigned to several.
func (s *scenario) untilAssigned() (seconds, maxDuplicates int) {
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
