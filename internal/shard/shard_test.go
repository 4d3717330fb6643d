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

// drawMembers draws names of members that differ.
func drawMembers(t *rapid.T) []string {
	return rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,3}[0-9]{0,4}`), 1, 60, rapid.ID[string]).Draw(t, "members")
}

func loads(owners []string) map[string]int {
	held := map[string]int{}
	for _, owner := range owners {
		held[owner]++
	}
	return held
}

// TestOwners asserts that each shard has one owner that is a member, in whatever order members are
// named, that nobody has more than an even part, and that Assign agrees.
func TestOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		owners := Owners(members)
		if len(owners) != Count {
			t.Fatalf("expected %d owners, got %d", Count, len(owners))
		}
		even := (Count + len(members) - 1) / len(members)
		for member, n := range loads(owners) {
			if !slices.Contains(members, member) {
				t.Fatalf("%q owns shards and is no member", member)
			}
			if n > even {
				t.Fatalf("%s has %d shards, %d is an even part of %d members", member, n, even, len(members))
			}
		}
		shuffled := rapid.Permutation(append(slices.Clone(members), members[0])).Draw(t, "shuffled")
		if !slices.Equal(owners, Owners(shuffled)) {
			t.Fatal("the order of the members, or one that is named twice, changes the owners")
		}
		var all Set
		total := 0
		for _, member := range members {
			own := Assign(members, member)
			all = all.Or(own)
			total += own.Len()
		}
		if all != All() || total != Count {
			t.Fatalf("expected each shard assigned once, got %d assignments of %d shards", total, all.Len())
		}
	})
}

// TestMoves bounds how many shards get another owner when a member goes: those that it had must, and
// an eighth of all at most follow, since the others' even parts grow.
func TestMoves(t *testing.T) {
	for _, size := range []int{2, 3, 5, 9, 16, 32, 100} {
		most, sum := 0, 0
		for gone := range size {
			var members []string
			for i := range size {
				members = append(members, fmt.Sprintf("n%d", i))
			}
			before := Owners(members)
			without := fmt.Sprintf("n%d", gone)
			after := Owners(slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == without }))
			moved := 0
			for shard := range before {
				if before[shard] != after[shard] {
					moved++
				}
			}
			most, sum = max(most, moved), sum+moved
		}
		even := (Count + size - 1) / size
		t.Logf("%d members: %d shards each at most, %d moved at most and %.1f in the mean when one goes", size, even, most,
			float64(sum)/float64(size))
		if most > even+Count/8 {
			t.Errorf("%d members: expected at most the even part of %d shards and an eighth of all to move, got %d", size, even, most)
		}
	}
}

func TestNobody(t *testing.T) {
	if owners := Owners(nil); owners != nil {
		t.Errorf("expected no owners, got %v", owners)
	}
	if own := Assign([]string{"a", "b"}, "c"); !own.Empty() {
		t.Errorf("expected nothing for one that is no member, got %d shards", own.Len())
	}
	if own := Assign([]string{"a"}, "a"); own != All() {
		t.Errorf("expected all shards for the only member, got %d", own.Len())
	}
}

// TestWorkersSpread asserts that the names of a fleet, which differ in few letters, fall into all
// shards evenly: nine orchestrators have between 0.8 and 1.2 of their parts of 4,000 workers.
func TestWorkersSpread(t *testing.T) {
	const workers, members = 4000, 9
	var names []string
	for i := range members {
		names = append(names, fmt.Sprintf("n%d", i))
	}
	owners := Owners(names)
	held := map[string]int{}
	for i := range workers {
		held[owners[Of(fmt.Sprintf("s-%08x", 0xc41f00+i))]]++
	}
	t.Logf("workers by orchestrator: %v", held)
	for name, n := range held {
		if n < workers/members*8/10 || n > workers/members*12/10 {
			t.Errorf("%s has %d of %d workers", name, n, workers)
		}
	}
}

func TestText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Set
		for _, shard := range rapid.SliceOf(rapid.IntRange(0, Count-1)).Draw(t, "shards") {
			s.add(shard)
			if !s.Has(shard) {
				t.Fatalf("shard %d was added and is not there", shard)
			}
		}
		back, err := Parse(s.String())
		if err != nil || back != s {
			t.Fatalf("expected %v, got %v, %v", s, back, err)
		}
		if !s.Minus(s).Empty() || s.And(All()) != s || s.Or(s) != s || All().Minus(s).Len() != Count-s.Len() {
			t.Fatal("the operations on sets do not agree")
		}
	})
	for _, text := range []string{"", "zz", "00", All().String() + "00"} {
		if _, err := Parse(text); !errors.Is(err, ErrSet) {
			t.Errorf("%q: expected ErrSet, got %v", text, err)
		}
	}
}
