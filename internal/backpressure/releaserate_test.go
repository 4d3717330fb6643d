package backpressure

import "testing"

// The release rate is that of the starts while requests are pending, and unknown otherwise.
func TestReleaseRate(t *testing.T) {
	c, now := saturated(testSettings(), 50, 100)
	if rate := c.ReleaseRate(now); rate < 45 || rate > 55 {
		t.Errorf("at 50 a second: %.1f", rate)
	}
	c.SetPending(now+second, []float64{0, 0, 0})
	if rate := c.ReleaseRate(now + second); rate != 0 {
		t.Errorf("with nothing pending: %.1f", rate)
	}
}
