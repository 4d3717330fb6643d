// Package shard assigns the workers of a fleet to the orchestrators that place tasks there. The workers
// of a zone fall into a fixed number of shards by a hash of their names, and each shard belongs to one
// member of the zone's region: the one of the highest rendezvous weight that still has room for a shard
// of that zone. All members that hold the same view of who is there reach the same assignment without a
// message between them. A member never takes over the workers of another region: a region that is cut
// off goes on with its own, and nobody outside dials what cannot be reached.
//
// The package is pure: no clock, no I/O, no state.
package shard

import (
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math/bits"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

// Count is the number of shards of a zone. It is part of what orchestrators and the source of the list
// agree on: another number would assign all workers anew.
const Count = 64

// Of is the shard of a worker in its zone, from 0 to Count-1.
func Of(worker string) int { return int(hash(worker) % Count) }

// Bits are shards of one zone, a bit each.
type Bits uint64

// AllBits are all shards of a zone.
const AllBits = ^Bits(0)

// Has reports whether a shard is among them.
func (b Bits) Has(shard int) bool { return b>>shard&1 == 1 }

// Set is a set of shards by zone. The operations return new sets.
type Set map[string]Bits

// Has reports whether the shard of a worker in a zone is in the set.
func (s Set) Has(zone, worker string) bool { return s[zone].Has(Of(worker)) }

// Len is the number of shards in the set.
func (s Set) Len() (n int) {
	for _, b := range s {
		n += bits.OnesCount64(uint64(b))
	}
	return n
}

// Equal reports whether both sets hold the same shards.
func (s Set) Equal(o Set) bool { return s.Minus(o).Len() == 0 && o.Minus(s).Len() == 0 }

// And is what both sets hold.
func (s Set) And(o Set) Set { return s.with(s, func(zone string, b Bits) Bits { return b & o[zone] }) }

// Minus is what the set holds and the other does not.
func (s Set) Minus(o Set) Set {
	return s.with(s, func(zone string, b Bits) Bits { return b &^ o[zone] })
}

// Or is what either set holds.
func (s Set) Or(o Set) Set {
	return s.with(o, func(zone string, b Bits) Bits { return b | s[zone] }).with(s, func(zone string, b Bits) Bits { return b | o[zone] })
}

// with is a copy of the set, with the zones of another changed.
func (s Set) with(zones Set, f func(zone string, b Bits) Bits) Set {
	changed := maps.Clone(s)
	if changed == nil {
		changed = Set{}
	}
	for zone, b := range zones {
		changed[zone] = f(zone, b)
	}
	return changed
}

// bitsDigits are the hex digits of the shards of one zone.
const bitsDigits = Count / 4

// String is the set as Parse reads it: zone:digits for each zone, with commas between. Names of zones
// are escaped as in URLs.
func (s Set) String() string {
	var parts []string
	for _, zone := range slices.Sorted(maps.Keys(s)) {
		escaped := strings.ReplaceAll(url.QueryEscape(zone), "+", "%20")
		parts = append(parts, fmt.Sprintf("%s:%0*x", escaped, bitsDigits, uint64(s[zone])))
	}
	return strings.Join(parts, ",")
}

// ErrSet is wrapped by the errors of Parse.
var ErrSet = errors.New("no set of shards")

// Parse reads a set as String writes it.
func Parse(text string) (Set, error) {
	s := Set{}
	if text == "" {
		return s, nil
	}
	for _, part := range strings.Split(text, ",") {
		escaped, digits, _ := strings.Cut(part, ":")
		zone, err := url.PathUnescape(escaped)
		value, errDigits := strconv.ParseUint(digits, 16, Count)
		if _, twice := s[zone]; err != nil || errDigits != nil || len(digits) != bitsDigits || twice {
			return nil, fmt.Errorf("%w: expected a zone and %d hex digits, each zone once, got %.40q", ErrSet, bitsDigits, part)
		}
		s[zone] = Bits(value)
	}
	return s, nil
}

// Member is an orchestrator that is there.
type Member struct{ Name, Zone string }

// Regions are the regions of zones. Zones that are not named form one region together.
type Regions map[string]string

// Assigned are the shards of a zone that belong to one of the members.
func (r Regions) Assigned(zone string, members []Member, self string) (own Bits) {
	for shard, owner := range r.Assignments(zone, members) {
		if owner == self {
			own |= 1 << shard
		}
	}
	return own
}

// Assignments are the members that the shards of a zone belong to, by shard; "" for all where no member is
// of the zone's region. Members come in any order; one that is named twice counts once.
func (r Regions) Assignments(zone string, members []Member) (owners [Count]string) {
	names := r.near(zone, members)
	if len(names) == 0 {
		return owners
	}
	capacity := (Count + len(names) - 1) / len(names)
	held, seeds := make([]int, len(names)), make([]uint64, len(names))
	for i, name := range names {
		seeds[i] = hash(name)
	}
	for shard := range owners {
		key := mix(hash(zone) + uint64(shard))
		best := -1
		for i := range names {
			if held[i] < capacity && (best < 0 || mix(seeds[i]^key) > mix(seeds[best]^key)) {
				best = i
			}
		}
		held[best]++
		owners[shard] = names[best]
	}
	return owners
}

// near are the names of the members of a zone's region, sorted.
func (r Regions) near(zone string, members []Member) (names []string) {
	for _, m := range members {
		if r[m.Zone] == r[zone] {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// hash is of a name.
func hash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return mix(h.Sum64())
}

// mix is the finalizer of SplitMix64: close inputs, as the names of a fleet are, lead to unrelated
// outputs.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
