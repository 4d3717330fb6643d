package shard

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"ravenhitch/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "31") }

var (
	testZones   = []string{"a1", "a2", "b1", "b2", "other", "another"}
	testRegions = Regions{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
)

// drawMembers draws members with distinct names in random zones.
func drawMembers(t *rapid.T) (members []Member) {
	names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,3}[0-9]{0,4}`), 1, 40, rapid.ID[string]).Draw(t, "names")
	for _, name := range names {
		members = append(members, Member{Name: name, Zone: rapid.SampledFrom(testZones).Draw(t, "zone")})
	}
	return members
}

// newFleet returns the zones, regions and members of a fleet with 13 zones in four regions.
func newFleet(size int) (zones []string, regions Regions, members []Member) {
	regions = Regions{}
	for i := range 13 {
		zones = append(zones, fmt.Sprintf("zone-%d%c", i%4+1, 'a'+i/4))
		regions[zones[i]] = fmt.Sprint(i%4 + 1)
	}
	for i := range size {
		members = append(members, Member{Name: fmt.Sprint("n", i), Zone: zones[i%len(zones)]})
	}
	return zones, regions, members
}

// TestWorkersSpread asserts that workers whose names differ in few characters are distributed evenly: each of nine
// orchestrators has between 0.8 and 1.2 times an equal share of 4,000 workers, both with four regions and with one.
func TestWorkersSpread(t *testing.T) {
	const workers, cellSize = 4000, 40
	zones, regions, members := newFleet(9)
	for name, r := range map[string]Regions{"four regions": regions, "one region": nil} {
		assigned := map[string]int{}
		for i := range workers {
			zone := zones[i/cellSize%len(zones)]
			assigned[r.Assignments(zone, members)[Of(fmt.Sprintf("s-%08x", 0xc41f00+i))]]++
		}
		t.Logf("%s: workers by orchestrator: %v", name, assigned)
		for member, count := range assigned {
			if count < workers/len(members)*8/10 || count > workers/len(members)*12/10 {
				t.Errorf("%s: %s has %d of %d workers, want between %d and %d",
					name, member, count, workers, workers/len(members)*8/10, workers/len(members)*12/10)
			}
		}
	}
}
