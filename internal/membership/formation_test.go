package membership

import "testing"

// TestFormation asserts that a cluster whose members all start at the same time forms within a maximum time, and that
// the average rate at which its members send bytes afterwards is bounded.
func TestFormation(t *testing.T) {
	const interval = second / 2
	for _, c := range []struct {
		size         int
		maxIntervals int64   // maximum number of intervals until the cluster has formed
		maxBytesRate float64 // maximum bytes sent per second and member, from 10 to 20 s after the formation
	}{{3, 4, 2000}, {16, 6, 2000}, {100, 8, 2000}, {300, 20, 2000}} {
		cluster := newCluster(c.size, 5, nil)
		intervals := int64(1)
		for cluster.run(intervals * interval); cluster.disagreement() != "" && intervals < 60; intervals++ {
			cluster.run((intervals + 1) * interval)
		}
		formedAt := cluster.now
		cluster.run(formedAt + 10*second)
		before := cluster.bytes
		cluster.run(formedAt + 20*second)
		rate := float64(cluster.bytes-before) / 10 / float64(c.size)
		t.Logf("%d members: formed after %s, then %.0f bytes per second and member", c.size, formatMilliseconds(formedAt), rate)
		if intervals > c.maxIntervals || rate > c.maxBytesRate {
			t.Errorf("%d members: formed after %s, then %.0f bytes per second and member; want at most %s and %.0f",
				c.size, formatMilliseconds(formedAt), rate, formatMilliseconds(c.maxIntervals*interval), c.maxBytesRate)
		}
	}
}
