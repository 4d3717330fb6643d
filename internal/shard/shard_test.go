package shard

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"ravenhitch/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "31") }

// drawMembers draws members of some zones, whose names differ.
func drawMembers(t *rapid.T) (members []Member) {
	names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,3}[0-9]{0,4}`), 1, 40, rapid.ID[string]).Draw(t, "names")
	for _, name := range names {
		members = append(members, Member{Name: name, Zone: rapid.SampledFrom(testZones).Draw(t, "zone")})
	}
	return members
}

var (
	testZones   = []string{"a1", "a2", "b1", "b2", "other", "another"}
	testRegions = Regions{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
)

// TestOwners asserts that each shard has one owner of the zone's region, in whatever order members are
// named, that nobody has more than an even part of a zone, and that Own agrees.
func TestOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		zone := rapid.SampledFrom(testZones).Draw(t, "of")
		owners, near := testRegions.Assignments(zone, members), 0
		byName := map[string]Member{}
		for _, m := range members {
			byName[m.Name] = m
			if testRegions[m.Zone] == testRegions[zone] {
				near++
			}
		}
		held := map[string]int{}
		for _, owner := range owners {
			held[owner]++
		}
		if near == 0 {
			if held[""] != Count {
				t.Fatalf("a zone without members near is owned: %v", owners)
			}
			return
		}
		even := (Count + near - 1) / near
		var all Bits
		total := 0
		for name, n := range held {
			if m, there := byName[name]; !there || testRegions[m.Zone] != testRegions[zone] {
				t.Fatalf("%q owns shards of %s and is of %s", name, zone, m.Zone)
			}
			if n > even {
				t.Fatalf("%s has %d shards, %d is an even part of %d members", name, n, even, near)
			}
			own := testRegions.Assigned(zone, members, name)
			all |= own
			total += Set{zone: own}.Len()
		}
		if all != AllBits || total != Count {
			t.Fatalf("expected each shard assigned once, got %d assignments: %x", total, all)
		}
		shuffled := rapid.Permutation(append(slices.Clone(members), members[0])).Draw(t, "shuffled")
		if owners != testRegions.Assignments(zone, shuffled) {
			t.Fatal("the order of the members, or one that is named twice, changes the owners")
		}
	})
}

// sizeOf are the names and zones of a fleet of the planned size: 13 zones in four regions.
func sizeOf(members int) (zones []string, regions Regions, all []Member) {
	regions = Regions{}
	for i := range 13 {
		zones = append(zones, fmt.Sprintf("zone-%d%c", i%4+1, 'a'+i/4))
		regions[zones[i]] = fmt.Sprint(i%4 + 1)
	}
	for i := range members {
		all = append(all, Member{Name: fmt.Sprint("n", i), Zone: zones[i%len(zones)]})
	}
	return zones, regions, all
}

// TestMoves bounds how many shards get another owner when a member goes: those that it had must; and
// none of a region that it is not of.
func TestMoves(t *testing.T) {
	for _, size := range []int{9, 16, 32, 100} {
		zones, regions, members := sizeOf(size)
		most, least, away := 0, 0, 0
		for gone := range members {
			left := slices.Delete(slices.Clone(members), gone, gone+1)
			moved, own := 0, 0
			for _, zone := range zones {
				before, after := regions.Assignments(zone, members), regions.Assignments(zone, left)
				for shard := range before {
					if before[shard] == members[gone].Name {
						own++
					}
					if before[shard] == after[shard] {
						continue
					}
					moved++
					if regions[zone] != regions[members[gone].Zone] {
						away++
					}
				}
			}
			most, least = max(most, moved-own), least+own
		}
		t.Logf("%d members: %d shards in the mean must move when one goes, %d more move at most", size, least/size, most)
		if most > Count*len(zones)/8 {
			t.Errorf("%d members: expected an eighth of all shards to move beside at most, got %d", size, most)
		}
		if away > 0 {
			t.Errorf("%d members: %d shards of other regions moved", size, away)
		}
	}
}

// TestWorkersSpread asserts that the names of a fleet, which differ in few letters, fall into all
// shards evenly: nine orchestrators have between 0.8 and 1.2 of their parts of 4,000 workers, with
// regions and without.
func TestWorkersSpread(t *testing.T) {
	const workers, rack = 4000, 40
	zones, regions, members := sizeOf(9)
	for name, r := range map[string]Regions{"regions": regions, "one region": nil} {
		held := map[string]int{}
		for i := range workers {
			zone := zones[i/rack%len(zones)]
			held[r.Assignments(zone, members)[Of(fmt.Sprintf("s-%08x", 0xc41f00+i))]]++
		}
		t.Logf("%s: workers by orchestrator: %v", name, held)
		for member, n := range held {
			if n < workers/len(members)*8/10 || n > workers/len(members)*12/10 {
				t.Errorf("%s: %s has %d of %d workers", name, member, n, workers)
			}
		}
	}
}

// drawSet draws a set of shards.
func drawSet(t *rapid.T, name string) Set {
	return rapid.MapOf(rapid.SampledFrom(append(testZones, "", "with:colon, and 100%+")), rapid.Custom(func(t *rapid.T) Bits {
		return Bits(rapid.Uint64().Draw(t, "bits"))
	})).Draw(t, name)
}

// TestSets compares the operations on sets with those on each shard.
func TestSets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := Set(drawSet(t, "a")), Set(drawSet(t, "b"))
		and, or, minus := a.And(b), a.Or(b), a.Minus(b)
		count, same := 0, true
		for _, zone := range append(testZones, "", "with:colon, and 100%+") {
			for shard := range Count {
				x, y := a[zone].Has(shard), b[zone].Has(shard)
				if and[zone].Has(shard) != (x && y) || or[zone].Has(shard) != (x || y) || minus[zone].Has(shard) != (x && !y) {
					t.Fatalf("shard %d of %q: %v and %v", shard, zone, x, y)
				}
				if x {
					count++
				}
				same = same && x == y
			}
		}
		if a.Len() != count || a.Equal(b) != same {
			t.Fatalf("%d shards counted as %d; equal %v", count, a.Len(), a.Equal(b))
		}
		back, err := Parse(a.String())
		if err != nil || !back.Equal(a) {
			t.Fatalf("%q is read as %v, %v", a, back, err)
		}
	})
}

func TestParseErrors(t *testing.T) {
	const one = "a:0000000000000001"
	if s, err := Parse(one); err != nil || !s.Equal(Set{"a": 1}) {
		t.Errorf("%q: got %v, %v", one, s, err)
	}
	for _, text := range []string{"a", "a:", "a:12", one + "0", "a:zzzzzzzzzzzzzzzz", one + ",", "," + one, one + "," + one, "a:-000000000000001"} {
		if s, err := Parse(text); !errors.Is(err, ErrSet) {
			t.Errorf("%q: expected ErrSet, got %v, %v", text, s, err)
		}
	}
}
