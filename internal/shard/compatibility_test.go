package shard

import (
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"testing"
)

// previousAssignments are FNV-1a digests of the assignments of all zones of a fleet, by its number of members:
// as commit 532e1c5 computes them. Members of that build and of this one must assign the same.
var previousAssignments = []struct {
	members int
	digest  string
}{
	{1, "f09fc13b9f69052fb15c9cc423649a39"},
	{9, "7a1301e4ab3b000b18e69d83b165fbd1"},
	{32, "23534803f6967f0d49d72fad2e32e1d9"},
	{100, "cddde92bf08560af35bd6bf69276e159"},
}

// TestPreviousAssignments asserts that assignments are those of the previous build.
func TestPreviousAssignments(t *testing.T) {
	for _, want := range previousAssignments {
		zones, regions, members := newFleet(want.members)
		digest := fnv.New128a()
		for _, zone := range zones {
			for shard, name := range regions.Assignments(zone, members) {
				_, _ = fmt.Fprintf(digest, "%s %d %s\n", zone, shard, name) // a digest takes all
			}
		}
		if got := hex.EncodeToString(digest.Sum(nil)); got != want.digest {
			t.Errorf("%d members: expected the assignments %s, got %s", want.members, want.digest, got)
		}
	}
}

// TestPreviousShards asserts that workers are in the shards of the previous build.
func TestPreviousShards(t *testing.T) {
	digest := fnv.New128a()
	for i := range 4000 {
		worker := fmt.Sprintf("s-%08x", 0xc41f00+i)
		_, _ = fmt.Fprintf(digest, "%s %d\n", worker, Of(worker)) // a digest takes all
	}
	const want = "6f9821766bcbebe0b8c0a3c53807dc2c"
	if got := hex.EncodeToString(digest.Sum(nil)); got != want {
		t.Errorf("expected the shards %s, got %s", want, got)
	}
}

// TestPreviousSet asserts that the text of a set is that of the previous build.
func TestPreviousSet(t *testing.T) {
	set := Set{"zone a": 1, "b:c,d%": AllBits, "": 0x8000000000000000}
	const want = ":8000000000000000,b%3Ac%2Cd%25:ffffffffffffffff,zone%20a:0000000000000001"
	if got := set.String(); got != want {
		t.Errorf("expected %q, got %q", want, got)
	}
	if got, err := Parse(want); err != nil || !got.Equal(set) {
		t.Errorf("%q is read as %v, %v", want, got, err)
	}
}
