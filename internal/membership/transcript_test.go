package membership

import (
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"testing"
)

// transcripts holds FNV-1a digests of the transcripts of simulated clusters, by cluster size. A transcript contains all
// actions and events of the members under a randomly drawn schedule of faults. The build of commit 532e1c5 computes the
// same digests.
var transcripts = []struct {
	size, schedules int
	digest          string
}{
	{3, 12, "9d4be4c670f8ced82886d10eb6aa48e5"},
	{7, 6, "363161346763980be7d0df34c5bb0896"},
	{16, 3, "e84f22779c64dd7b7545c036ca12a31e"},
	{100, 1, "2e7fab38c7c849c6664df35b6676083a"},
}

// TestTranscript asserts that the same seeds still produce the same messages in the same order at the same times, and
// the same events with the same evidence.
func TestTranscript(t *testing.T) {
	for _, want := range transcripts {
		t.Run(fmt.Sprint(want.size), func(t *testing.T) {
			digest := fnv.New128a()
			for seed := range uint64(want.schedules) {
				faults, end := drawFaults(want.size, seed)
				f := newCluster(want.size, seed, faults)
				f.transcript = digest
				f.run(end + 3*second)
			}
			if got := hex.EncodeToString(digest.Sum(nil)); got != want.digest {
				t.Errorf("%d schedules: got transcript digest %s, want %s", want.schedules, got, want.digest)
			}
		})
	}
}
