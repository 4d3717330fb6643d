package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"ravenhitch/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "20261202") }

// expectedUpdate returns the update that a table must hold for a name after all updates, whatever their order: the one
// with the highest incarnation, then the greatest nonce, then the latest state in the order of the State constants. A
// death counts as a suspicion: a table does not take over a death that another member declared, and the test does not
// call evaluateSuspects.
func expectedUpdate(all []Update) (expected Update) {
	for i, u := range all {
		u.State = min(u.State, max(Suspect, u.State/Left*Left))
		later := u.Incarnation > expected.Incarnation || u.Incarnation == expected.Incarnation &&
			(u.Nonce > expected.Nonce || u.Nonce == expected.Nonce && u.State > expected.State)
		if i == 0 || later {
			expected = u
		}
	}
	return expected
}

// drawUpdate draws a random update of b.
func drawUpdate(t *rapid.T) Update {
	u := aliveUpdate("b")
	u.Incarnation = uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))
	u.Nonce = uint64(rapid.IntRange(1, 2).Draw(t, "nonce"))
	u.State = State(rapid.IntRange(0, 3).Draw(t, "state"))
	return u
}

// TestUpdatesCommute asserts that tables that received the same updates hold the same state and digests, whatever the
// order and repetition of the updates.
func TestUpdatesCommute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Update
		for range rapid.IntRange(1, 12).Draw(t, "updates") {
			all = append(all, drawUpdate(t))
		}
		want := expectedUpdate(all)
		var digests [2][DigestBuckets]uint32
		for i := range digests {
			table := New(second, Config{Self: aliveUpdate("a"), Seed: 1})
			order := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1)).Perm(len(all))
			for _, k := range append(order, order[0]) {
				table.applyUpdate(all[k])
			}
			got := table.members["b"]
			if got == nil || got.Incarnation != want.Incarnation || got.Nonce != want.Nonce ||
				got.State != want.State && got.State != Dead {
				t.Fatalf("order %v: got %+v, want %+v", order, got, want)
			}
			if live := table.liveCount; live != boolToInt(got.State <= Suspect) {
				t.Fatalf("got a live count of %d, want %d", live, boolToInt(got.State <= Suspect))
			}
			digests[i] = table.digests
			if got.State == Dead { // the first update was a death, which a table accepts for an unknown member
				return
			}
		}
		if digests[0] != digests[1] {
			t.Fatal("the digests of the two tables differ")
		}
	})
}

// TestMembersAreBounded asserts that the table holds at most maxMembers names, so that a peer that invents names cannot
// exhaust memory.
func TestMembersAreBounded(t *testing.T) {
	h := newHarness(t)
	for i := range maxMembers + 100 {
		h.receiveUpdates(aliveUpdate(fmt.Sprint("m", i)))
	}
	if count := len(h.members); count != maxMembers || count != len(h.names) || h.Size() != count+1 {
		t.Errorf("got %d members, %d sorted names and size %d, want %d, %d and %d",
			count, len(h.names), h.Size(), maxMembers, maxMembers, maxMembers+1)
	}
}
