package backpressure

import "testing"

// The release rate is the rate of starts while requests are pending, and is unknown
// otherwise.
func TestReleaseRate(t *testing.T) {
	c, now := saturated(testSettings(), 50, 100)
	if rate := c.ReleaseRate(now); rate < 45 || rate > 55 {
		t.Errorf("at 50 starts per second, release rate is %.1f, want 45 to 55", rate)
	}
	c.SetPending(now+second, []float64{0, 0, 0})
	if rate := c.ReleaseRate(now + second); rate != 0 {
		t.Errorf("without pending requests, release rate is %.1f, want 0", rate)
	}
}
