package shard

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// inRegion returns the names of the members of a zone's region.
func inRegion(zone string, members []Member) map[string]bool {
	names := map[string]bool{}
	for _, m := range members {
		if testRegions[m.Zone] == testRegions[zone] {
			names[m.Name] = true
		}
	}
	return names
}

// checkBalanced asserts that the shards of a zone are assigned only to members of its region, that no member has more
// than an equal share, rounded up, and that Assigned returns each shard for exactly one member.
func checkBalanced(t *rapid.T, zone string, members []Member, assignments [Count]string) {
	t.Helper()
	eligible := inRegion(zone, members)
	loads := map[string]int{}
	for _, name := range assignments {
		loads[name]++
	}
	maxLoad := (Count + len(eligible) - 1) / len(eligible)
	var all Bits
	total := 0
	for name, load := range loads {
		if !eligible[name] {
			t.Fatalf("%q has shards of zone %s and is not in the zone's region", name, zone)
		}
		if load > maxLoad {
			t.Fatalf("%s has %d shards, want at most %d with %d members", name, load, maxLoad, len(eligible))
		}
		assigned := testRegions.Assigned(zone, members, name)
		all |= assigned
		total += Set{zone: assigned}.Len()
	}
	if all != AllBits || total != Count {
		t.Fatalf("got %d assigned shards with the bit set %x, want each of %d shards assigned once", total, all, Count)
	}
}

// TestAssignments asserts that each shard is assigned to one member of the zone's region, or to none if the region has
// no member, and that the order of members and duplicate names do not change the assignments.
func TestAssignments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		zone := rapid.SampledFrom(testZones).Draw(t, "assigned zone")
		assignments := testRegions.Assignments(zone, members)
		if len(inRegion(zone, members)) == 0 {
			if assignments != [Count]string{} {
				t.Fatalf("zone %s has no members in its region: got assignments %v, want none", zone, assignments)
			}
			return
		}
		checkBalanced(t, zone, members, assignments)
		shuffled := rapid.Permutation(append(slices.Clone(members), members[0])).Draw(t, "shuffled")
		if assignments != testRegions.Assignments(zone, shuffled) {
			t.Fatal("the assignments changed with the order of the members or a duplicate name")
		}
	})
}

// moves counts the shards of a fleet that are reassigned when a member departs.
type moves struct {
	departed     int // shards of the departed member, which must move
	others       int // shards of other members that move
	otherRegions int // shards of zones outside the departed member's region that move
}

// countMoves compares the assignments with and without a member, given by index.
func countMoves(zones []string, regions Regions, members []Member, departing int) (m moves) {
	rest := slices.Delete(slices.Clone(members), departing, departing+1)
	for _, zone := range zones {
		before, after := regions.Assignments(zone, members), regions.Assignments(zone, rest)
		sameRegion := regions[zone] == regions[members[departing].Zone]
		for shard := range before {
			own := before[shard] == members[departing].Name
			moved := before[shard] != after[shard]
			if own {
				m.departed++
			}
			if moved && !own {
				m.others++
			}
			if moved && !sameRegion {
				m.otherRegions++
			}
		}
	}
	return m
}

// TestMoves bounds the number of shards that are reassigned when a member departs: in addition to its own shards,
// at most an eighth of all shards, and no shard of another region.
func TestMoves(t *testing.T) {
	for _, size := range []int{9, 16, 32, 100} {
		zones, regions, members := newFleet(size)
		maxOthers, own, otherRegions := 0, 0, 0
		for gone := range members {
			m := countMoves(zones, regions, members, gone)
			maxOthers = max(maxOthers, m.others)
			own += m.departed
			otherRegions += m.otherRegions
		}
		t.Logf("%d members: %d shards on average must move at a departure, up to %d others moved", size, own/size, maxOthers)
		if maxOthers > Count*len(zones)/8 {
			t.Errorf("%d members: %d shards of other members moved, want at most %d (an eighth of all shards)",
				size, maxOthers, Count*len(zones)/8)
		}
		if otherRegions > 0 {
			t.Errorf("%d members: %d shards of other regions moved, want 0", size, otherRegions)
		}
	}
}
