package membership

import (
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"testing"
)

// transcripts are FNV-1a digests of all that the members of a simulated cluster sent, asked for and
// reported under drawn schedules, by the cluster's size: as commit 532e1c5 computes them.
var transcripts = []struct {
	size, schedules int
	digest          string
}{
	{3, 12, "9bf53fce9ad27b0d2a5028550f1ea07c"},
	{7, 6, "75cd9c6b8c1b5611bd5ae9b9e92b0b96"},
	{16, 3, "bda2ecf6b13f1613a24451e1268d2988"},
	{100, 1, "c97c26208ce49073dff75bc4ac14655a"},
}

// TestTranscript asserts that the same seeds lead to the same messages, in the same order, at the same
// times, and to the same events with the same evidence, as they did before.
func TestTranscript(t *testing.T) {
	for _, want := range transcripts {
		t.Run(fmt.Sprint(want.size), func(t *testing.T) {
			digest := fnv.New128a()
			for seed := range uint64(want.schedules) {
				faults, end := draw(want.size, seed)
				f := newFleet(want.size, seed, faults)
				f.transcript = digest
				f.run(end + 3*second)
			}
			if got := hex.EncodeToString(digest.Sum(nil)); got != want.digest {
				t.Errorf("%d schedules: expected the transcript %s, got %s", want.schedules, want.digest, got)
			}
		})
	}
}
