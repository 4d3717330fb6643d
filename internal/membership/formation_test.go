package membership

import "testing"

// TestFormation asserts that a cluster that starts at once forms soon, and sends little after that.
func TestFormation(t *testing.T) {
	const halfSecond = second / 2
	for _, c := range []struct {
		size         int
		halfSeconds  int64   // until it has formed
		maxBytesRate float64 // bytes a second and member, from 10 s after that on
	}{{3, 4, 2000}, {16, 6, 2000}, {100, 8, 2000}, {300, 20, 2000}} {
		cluster := newCluster(c.size, 5, nil)
		elapsed := int64(1)
		for cluster.run(elapsed * halfSecond); cluster.disagreement() != "" && elapsed < 60; elapsed++ {
			cluster.run((elapsed + 1) * halfSecond)
		}
		formedAt := cluster.now
		cluster.run(formedAt + 10*second)
		before := cluster.bytes
		cluster.run(formedAt + 20*second)
		rate := float64(cluster.bytes-before) / 10 / float64(c.size)
		t.Logf("%d members: formed after %s, then %.0f bytes a second and member", c.size, inMilliseconds(formedAt), rate)
		if elapsed > c.halfSeconds || rate > c.maxBytesRate {
			t.Errorf("%d members: formed after %s, then %.0f bytes a second and member", c.size, inMilliseconds(formedAt), rate)
		}
	}
}
