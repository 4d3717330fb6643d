package shard

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// inRegion are the members of a zone's region, by name.
func inRegion(zone string, members []Member) map[string]bool {
	names := map[string]bool{}
	for _, m := range members {
		if testRegions[m.Zone] == testRegions[zone] {
			names[m.Name] = true
		}
	}
	return names
}

// checkBalanced asserts that the shards of a zone are assigned to members of its region alone, to nobody over the
// even part, each once, and that Assigned agrees.
func checkBalanced(t *rapid.T, zone string, members []Member, assignments [Count]string) {
	t.Helper()
	eligible := inRegion(zone, members)
	loads := map[string]int{}
	for _, name := range assignments {
		loads[name]++
	}
	even := (Count + len(eligible) - 1) / len(eligible)
	var all Bits
	total := 0
	for name, load := range loads {
		if !eligible[name] {
			t.Fatalf("%q has shards of %s and is not of its region", name, zone)
		}
		if load > even {
			t.Fatalf("%s has %d shards, %d is an even part of %d members", name, load, even, len(eligible))
		}
		assigned := testRegions.Assigned(zone, members, name)
		all |= assigned
		total += Set{zone: assigned}.Len()
	}
	if all != AllBits || total != Count {
		t.Fatalf("expected each shard assigned once, got %d assignments: %x", total, all)
	}
}

// TestAssignments asserts that each shard is assigned to one member of the zone's region, in whatever order
// members are named, and to none where the region has none.
func TestAssignments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		zone := rapid.SampledFrom(testZones).Draw(t, "of")
		assignments := testRegions.Assignments(zone, members)
		if len(inRegion(zone, members)) == 0 {
			if assignments != [Count]string{} {
				t.Fatalf("shards of a zone without members in its region are assigned: %v", assignments)
			}
			return
		}
		checkBalanced(t, zone, members, assignments)
		shuffled := rapid.Permutation(append(slices.Clone(members), members[0])).Draw(t, "shuffled")
		if assignments != testRegions.Assignments(zone, shuffled) {
			t.Fatal("the order of the members, or one that is named twice, changes the assignments")
		}
	})
}

// moves counts what happens to the shards of a fleet when a member goes.
type moves struct {
	departed     int // shards that it had: they must move
	others       int // that move besides
	otherRegions int // of them or these, in regions that it is not of
}

// countMoves compares the assignments with a member and without it.
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

// TestMoves bounds how many shards are assigned anew when a member goes: those that it had must; and none of a
// region that it is not of.
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
		t.Logf("%d members: %d shards in the mean must move when one goes, %d more move at most", size, own/size, maxOthers)
		if maxOthers > Count*len(zones)/8 {
			t.Errorf("%d members: expected an eighth of all shards to move beside at most, got %d", size, maxOthers)
		}
		if otherRegions > 0 {
			t.Errorf("%d members: %d shards of other regions moved", size, otherRegions)
		}
	}
}
