package hollow

import (
	"fmt"
	"slices"
	"testing"

	"ravenhitch/internal/shard"
)

// This file owns the shards of workers that instances hold themselves responsible for, and the test
// that a region's cut moves none, and a death only those of its region.

// deathKnown is within how many seconds the shards of an instance that was ended have new owners.
const deathKnown = 10

// regions are those of the zones.
func (n *network) regionNames() shard.Regions {
	names := shard.Regions{}
	for zone := range n.zones {
		names[fmt.Sprint("zone-", zone)] = fmt.Sprint("region-", zone%n.regions)
	}
	return names
}

// own is the part of an instance, as the program takes it from the stable view.
func (f *fleet) own(i int) shard.Set {
	x, regions, own := f.instances[i], f.network.regionNames(), shard.Set{}
	names := x.View().Names
	var members []shard.Member
	for _, m := range x.Members() {
		if slices.Contains(names, m.Name) {
			members = append(members, shard.Member{Name: m.Name, Zone: m.Zone})
		}
	}
	for zone := range regions {
		if bits := regions.Assigned(zone, members, x.name); bits != 0 {
			own[zone] = bits
		}
	}
	return own
}

// parts are the parts of all that run, by instance.
func (f *fleet) parts() map[int]shard.Set {
	parts := map[int]shard.Set{}
	for i, x := range f.instances {
		if x.running {
			parts[i] = f.own(i)
		}
	}
	return parts
}

// unowned and twice count the shards that no instance, or more than one, holds.
func (f *fleet) unownedAndTwice(parts map[int]shard.Set) (unowned, twice int) {
	for zone := range f.network.regionNames() {
		for n := range shard.Count {
			owners := 0
			for _, part := range parts {
				if part[zone].Has(n) {
					owners++
				}
			}
			if owners == 0 {
				unowned++
			}
			if owners > 1 {
				twice++
			}
		}
	}
	return unowned, twice
}

// changed counts the shards that instances hold and did not before.
func changed(before, after map[int]shard.Set) (n int) {
	for i, part := range after {
		n += part.Minus(before[i]).Len()
	}
	return n
}

// TestShardsInACut plays a region's cut and one death: each shard has one owner before, nothing moves
// for the cut or its healing, and after the death only shards of its region have moved, within
// deathKnown seconds.
func TestShardsInACut(t *testing.T) {
	const regions, zones, cutFor = 4, 13, 120
	for _, n := range sizes(t) {
		p := &play{fleet: newFleet(n, regions, zones, *seedFlag), result: result{instances: n}}
		p.untilAgreed(forming)
		p.pass(forming, settleFor)
		before := p.parts()
		if unowned, twice := p.unownedAndTwice(before); unowned+twice > 0 {
			t.Errorf("%d instances: %d shards have no owner and %d several", n, unowned, twice)
		}
		moved := 0
		look := func() { moved = max(moved, changed(before, p.parts())) }
		p.network.cutFrom, p.network.cutUntil = p.now, p.now+cutFor*second
		for range cutFor + 30 {
			p.pass(cut, second)
			look()
		}
		if moved > 0 {
			t.Errorf("%d instances: %d shards moved for the cut of a region", n, moved)
		}
		gone := 0
		p.stop(gone)
		seconds, doubles := 0, 0
		for ; seconds < deathKnown; seconds++ {
			unowned, twice := p.unownedAndTwice(p.parts())
			doubles = max(doubles, twice)
			if unowned+twice == 0 {
				break
			}
			p.pass(calm, second)
		}
		after := p.parts()
		if unowned, twice := p.unownedAndTwice(after); unowned+twice > 0 {
			t.Errorf("%d instances: %d s after a death %d shards have no owner and %d several", n, seconds, unowned, twice)
		}
		for i, part := range after {
			if p.network.region(i) != p.network.region(gone) && !part.Equal(before[i]) {
				t.Errorf("%d instances: the shards of %s moved for a death in another region", n, p.fleet.instances[i].name)
			}
		}
		fmt.Printf("assignment: instances=%d shards=%d moved_in_cut=%d moved_by_death=%d owned_again_s=%d doubles_most=%d\n", n,
			zones*shard.Count, moved, changed(before, after), seconds, doubles)
	}
}
