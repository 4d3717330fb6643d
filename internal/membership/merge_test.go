package membership

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"ravenhitch/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "20261202") }

// expectedUpdate is what is to be believed of one name after all rumours, in whatever order
// they came: the latest incarnation, of that the greater life, of that the worst state;
// a death counts as an accusation here, as nothing judges it.
func expectedUpdate(all []Update) (r Update) {
	for i, o := range all {
		o.State = min(o.State, max(Suspect, o.State/Left*Left))
		if i == 0 || o.Incarnation > r.Incarnation || o.Incarnation == r.Incarnation && (o.Life > r.Life || o.Life == r.Life && o.State > r.State) {
			r = o
		}
	}
	return r
}

// Tables that heard the same, in any order and any number of times, believe the same.
func TestUpdatesCommute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Update
		for range rapid.IntRange(1, 12).Draw(t, "rumours") {
			r := aliveUpdate("b")
			r.Incarnation = uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))
			r.Life = uint64(rapid.IntRange(1, 2).Draw(t, "life"))
			r.State = State(rapid.IntRange(0, 3).Draw(t, "state"))
			all = append(all, r)
		}
		want := expectedUpdate(all)
		var digests [2][DigestBuckets]uint32
		for i := range digests {
			x := New(second, Config{Self: aliveUpdate("a"), Seed: 1})
			order := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1)).Perm(len(all))
			for _, k := range append(order, order[0]) {
				x.applyUpdate(all[k])
			}
			got := x.members["b"]
			if got == nil || got.Incarnation != want.Incarnation || got.Life != want.Life || got.State != want.State && got.State != Dead {
				t.Fatalf("order %v: %+v, expected %+v", order, got, want)
			}
			if live := x.liveCount; live != boolToInt(got.State <= Suspect) {
				t.Fatalf("%d live", live)
			}
			digests[i] = x.digests
			if got.State == Dead { // the first word was a death, which is believed of a stranger
				return
			}
		}
		if digests[0] != digests[1] {
			t.Fatal("the digests differ")
		}
	})
}
