package shard

import (
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"testing"
)

// previousAssignments holds FNV-1a digests of the assignments of all zones of a fleet, by number of members. Commit
// 532e1c5 computes the same digests: members of that build and of this one must compute the same assignments.
var previousAssignments = []struct {
	members int
	digest  string
}{
	{1, "f09fc13b9f69052fb15c9cc423649a39"},
	{9, "7a1301e4ab3b000b18e69d83b165fbd1"},
	{32, "23534803f6967f0d49d72fad2e32e1d9"},
	{100, "cddde92bf08560af35bd6bf69276e159"},
}

// TestPreviousAssignments asserts that the assignments have the digests in previousAssignments.
func TestPreviousAssignments(t *testing.T) {
	for _, want := range previousAssignments {
		zones, regions, members := newFleet(want.members)
		digest := fnv.New128a()
		for _, zone := range zones {
			for shard, name := range regions.Assignments(zone, members) {
				_, _ = fmt.Fprintf(digest, "%s %d %s\n", zone, shard, name) // a hash never returns an error
			}
		}
		if got := hex.EncodeToString(digest.Sum(nil)); got != want.digest {
			t.Errorf("%d members: got digest %s of the assignments, want %s", want.members, got, want.digest)
		}
	}
}

// TestPreviousShards asserts that workers are in the same shards as in the build of commit 532e1c5.
func TestPreviousShards(t *testing.T) {
	digest := fnv.New128a()
	for i := range 4000 {
		worker := fmt.Sprintf("s-%08x", 0xc41f00+i)
		_, _ = fmt.Fprintf(digest, "%s %d\n", worker, Of(worker)) // a hash never returns an error
	}
	const want = "6f9821766bcbebe0b8c0a3c53807dc2c"
	if got := hex.EncodeToString(digest.Sum(nil)); got != want {
		t.Errorf("got digest %s of the workers' shards, want %s", got, want)
	}
}

// TestPreviousSet asserts that the text form of a set is the same as in the build of commit 532e1c5, and that Parse
// reads it.
func TestPreviousSet(t *testing.T) {
	set := Set{"zone a": 1, "b:c,d%": AllBits, "": 0x8000000000000000}
	const want = ":8000000000000000,b%3Ac%2Cd%25:ffffffffffffffff,zone%20a:0000000000000001"
	if got := set.String(); got != want {
		t.Errorf("got text form %q, want %q", got, want)
	}
	if got, err := Parse(want); err != nil || !got.Equal(set) {
		t.Errorf("Parse(%q): got %v, %v, want %v", want, got, err, set)
	}
}
