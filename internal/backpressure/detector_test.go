package backpressure

import "testing"

// The detector classifies each kind of surge, and returns to Calm after the surge.
func TestDetection(t *testing.T) {
	for _, test := range []struct {
		name string
		send func(c *Controller, now int64, i int)
		want Kind
	}{
		{"new demand", func(c *Controller, now int64, i int) {
			c.Requested(now, Request{Key: uint64(i), Program: uint64(i / 10), Units: 1})
		}, Burst},
		{"retries", func(c *Controller, now int64, i int) {
			r := Request{Key: uint64(i % 40), Program: uint64(i % 40), Units: 1}
			c.Requested(now, r)
			c.Rejected(now, r)
		}, Retries},
		{"most requests from one program", func(c *Controller, now int64, i int) {
			program := uint64(1)
			if i%10 == 0 {
				program = uint64(i)
			}
			c.Requested(now, Request{Key: uint64(i), Program: program, Units: 1})
		}, Reconnect},
		{"orchestrator start", func(c *Controller, now int64, i int) {
			c.Adopted(now, Request{Key: uint64(i), Program: uint64(i / 10), Units: 1})
		}, Restart},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := New(testSettings(), 1)
			now := testStart
			if test.want != Restart {
				now, _ = sendUsual(c, now, 5)
			}
			now, kind := sendSurge(c, now, test.send)
			if kind != test.want {
				t.Errorf("surge is classified as %s, want %s", kind, test.want)
			}
			c.SetPending(now, nil)
			_, last := sendUsual(c, now, 8)
			if last.To != Calm || last.Cause == "" || c.detector.state != Calm {
				t.Errorf("after the surge, state is %s and the last change is %+v, want calm with a cause", c.detector.state, last)
			}
		})
	}
}

// sendUsual sends ten requests per second for a number of seconds. It returns the time of
// the last request, and the last change of state.
func sendUsual(c *Controller, now int64, seconds int) (end int64, last Change) {
	for range seconds * 10 {
		now += second / 10
		c.Requested(now, Request{Key: uint64(now), Program: uint64(now), Units: 1})
		if change, changed := c.Tick(now); changed {
			last = change
		}
	}
	return now, last
}

// sendSurge calls send 300 times per second for two seconds while the pending units increase.
// It returns the time of the last call, and the last kind of surge that the detector reported
// in the state Overloaded.
func sendSurge(c *Controller, now int64, send func(c *Controller, now int64, i int)) (end int64, kind Kind) {
	for i := range 600 {
		now += second / 300
		send(c, now, i)
		c.SetPending(now, []float64{float64(i), 0, 0})
		c.Tick(now)
		if c.detector.state == Overloaded {
			kind = c.detector.kind
		}
	}
	return now, kind
}

// If clients return with their tasks still running while other clients send new requests,
// adopted tasks do not count as retries, and the surge is a Reconnect.
func TestAdoptedTasksAreNoRetries(t *testing.T) {
	c := New(testSettings(), 1)
	now := testStart
	for i := range 200 {
		now += second / 10
		c.Requested(now, Request{Key: uint64(i), Program: uint64(i), Units: 1})
		c.Tick(now)
	}
	var kind Kind
	for i := range 400 {
		now += second / 400
		if i%2 == 0 {
			c.Adopted(now, Request{Key: uint64(1000 + i), Program: uint64(i), Units: 1})
		} else {
			c.Requested(now, Request{Key: uint64(2000 + i), Program: uint64(i), Units: 1})
		}
		c.SetPending(now, []float64{float64(i), 0, 0})
		if change, changed := c.Tick(now); changed {
			kind = change.Kind
		}
	}
	if kind != Reconnect || c.ReleaseRate(now) > 1 {
		t.Errorf("surge is classified as %s, want %s; release rate is %.1f without any start, want at most 1",
			kind, Reconnect, c.ReleaseRate(now))
	}
}
