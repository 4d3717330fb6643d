// Package shard assigns the workers of a fleet to the orchestrators that place tasks there. Workers
// fall into a fixed number of shards by a hash of their names, and each shard belongs to one member:
// the one of the highest rendezvous weight that still has room for a shard. All members that hold the
// same view of who is there reach the same assignment without a message between them.
//
// The package is pure: no clock, no I/O, no state.
package shard

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/fnv"
	"math/bits"
	"slices"
)

// Count is the number of shards. It is part of what orchestrators and the source of the list agree
// on: another number would assign all workers anew.
const Count = 256

const wordBits = 64

// Set is a set of shards.
type Set [Count / wordBits]uint64

// ErrSet is wrapped by the errors of Parse.
var ErrSet = errors.New("no set of shards")

// Of is the shard of a worker, from 0 to Count-1.
func Of(worker string) int { return int(hash(worker) % Count) }

// All is the set of all shards.
func All() (s Set) {
	for i := range s {
		s[i] = ^uint64(0)
	}
	return s
}

// Has reports whether a shard is in the set.
func (s Set) Has(shard int) bool { return s[shard/wordBits]>>(shard%wordBits)&1 == 1 }

// HasWorker reports whether the shard of a worker is in the set.
func (s Set) HasWorker(worker string) bool { return s.Has(Of(worker)) }

// Empty reports whether no shard is in the set.
func (s Set) Empty() bool { return s == Set{} }

// Len is the number of shards in the set.
func (s Set) Len() (n int) {
	for _, word := range s {
		n += bits.OnesCount64(word)
	}
	return n
}

// And is what both sets hold.
func (s Set) And(o Set) Set {
	for i := range s {
		s[i] &= o[i]
	}
	return s
}

// Or is what either set holds.
func (s Set) Or(o Set) Set {
	for i := range s {
		s[i] |= o[i]
	}
	return s
}

// Minus is what the set holds and the other does not.
func (s Set) Minus(o Set) Set {
	for i := range s {
		s[i] &^= o[i]
	}
	return s
}

// add puts a shard into the set.
func (s *Set) add(shard int) { s[shard/wordBits] |= 1 << (shard % wordBits) }

// String is the set in hex digits, as Parse reads it.
func (s Set) String() string {
	var b []byte
	for _, word := range s {
		b = binary.BigEndian.AppendUint64(b, word)
	}
	return hex.EncodeToString(b)
}

// Parse reads a set as String writes it.
func Parse(text string) (s Set, err error) {
	b, err := hex.DecodeString(text)
	if err != nil {
		return Set{}, fmt.Errorf("%w: %w", ErrSet, err)
	}
	if len(b) != Count/8 {
		return Set{}, fmt.Errorf("%w: expected %d hex digits, got %d", ErrSet, Count/4, len(text))
	}
	for i := range s {
		s[i] = binary.BigEndian.Uint64(b[8*i:])
	}
	return s, nil
}

// Assign returns the shards that belong to one of the members. A member that is not among them has
// none. No member has more than its even part, rounded up.
func Assign(members []string, self string) (own Set) {
	for shard, owner := range Owners(members) {
		if owner == self {
			own.add(shard)
		}
	}
	return own
}

// Owners returns the member that each shard belongs to, by shard; nothing where there is no member.
// Members are named in any order; one that is named twice counts once.
func Owners(members []string) []string {
	members = slices.Compact(slices.Sorted(slices.Values(members)))
	if len(members) == 0 {
		return nil
	}
	capacity := (Count + len(members) - 1) / len(members)
	held, seeds := make([]int, len(members)), make([]uint64, len(members))
	for i, member := range members {
		seeds[i] = hash(member)
	}
	owners := make([]string, Count)
	for shard := range owners {
		best := -1
		for i := range members {
			if held[i] < capacity && (best < 0 || weight(shard, seeds[i]) > weight(shard, seeds[best])) {
				best = i
			}
		}
		held[best]++
		owners[shard] = members[best]
	}
	return owners
}

// weight is the rendezvous weight of a member for a shard.
func weight(shard int, member uint64) uint64 { return mix(member ^ mix(uint64(shard)+1)) }

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
