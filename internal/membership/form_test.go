package membership

import "testing"

// A fleet that starts at once knows itself soon, and is quiet after that.
func TestFormation(t *testing.T) {
	for _, c := range []struct {
		size   int
		within int64   // half seconds
		calm   float64 // bytes a second and member, from 10 s after that on
	}{{3, 4, 2000}, {16, 6, 2000}, {100, 8, 2000}, {300, 20, 2000}} {
		f := newCluster(c.size, 5, nil)
		at := int64(1)
		for f.run(at * second / 2); f.disagreement() != "" && at < 60; at++ {
			f.run((at + 1) * second / 2)
		}
		whole := f.now
		f.run(whole + 10*second)
		before := f.bytes
		f.run(whole + 20*second)
		calm := float64(f.bytes-before) / 10 / float64(c.size)
		t.Logf("%d instances: whole after %s, %.0f bytes a second and member in calm", c.size, inMilliseconds(whole), calm)
		if at > c.within || calm > c.calm {
			t.Errorf("%d instances: whole after %s, %.0f bytes a second and member in calm", c.size, inMilliseconds(whole), calm)
		}
	}
}
