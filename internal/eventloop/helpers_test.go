package eventloop

// This file contains the helpers shared by the tests of this package: running loops, handlers and connections.

import (
	"net"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/nettest"
)

// dialTimeoutUs is a dial timeout, in microseconds, that is longer than any test takes.
const dialTimeoutUs = 10_000_000

// testHandler is a Handler that reports the calls of Opened and Closed on channels and passes received bytes to data.
type testHandler struct {
	opened chan struct{}
	closed chan error
	data   func(c *Conn, b []byte) (int, error)
}

func (h *testHandler) Opened(*Conn)                        { h.opened <- struct{}{} }
func (h *testHandler) Data(c *Conn, b []byte) (int, error) { return h.data(c, b) }
func (h *testHandler) Closed(_ *Conn, err error)           { h.closed <- err }

// newEchoHandler returns a handler that sends back all bytes that it receives.
func newEchoHandler() *testHandler {
	return &testHandler{
		opened: make(chan struct{}, 10),
		closed: make(chan error, 10),
		data:   func(c *Conn, b []byte) (int, error) { c.Write(b); return len(b), nil },
	}
}

// admitAll is an Admission that always has capacity.
var admitAll = AdmissionFunc(func() bool { return true })

// startLoop runs a loop until the end of the test. onLoop calls a function on the goroutine of the loop and waits
// until it returns.
func startLoop(t *testing.T, maxDescriptors int) (loop *Loop, onLoop func(f func())) {
	t.Helper()
	loop, err := New(maxDescriptors)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		err := loop.Run(func(int64) {})
		loop.Close()
		ended <- err
	}()
	t.Cleanup(func() {
		loop.Post(loop.Stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return loop, func(f func()) {
		t.Helper()
		done := make(chan bool, 1)
		loop.Post(func() { f(); done <- true })
		testbed.Wait(t, "a function call on the loop", done)
	}
}

// write writes b to conn and reports an error to the test.
func write(t *testing.T, conn net.Conn, b []byte) {
	t.Helper()
	if _, err := conn.Write(b); err != nil {
		t.Error(err)
	}
}

// setReadDeadline sets the read deadline of conn and reports an error to the test.
func setReadDeadline(t *testing.T, conn net.Conn, deadline time.Time) {
	t.Helper()
	if err := conn.SetReadDeadline(deadline); err != nil {
		t.Error(err)
	}
}

// connectThree makes the loop dial three connections to a listener of the test. It returns both ends of each.
func connectThree(t *testing.T, loop *Loop, onLoop func(func())) (local [3]*Conn, remote [3]net.Conn) {
	t.Helper()
	listener := nettest.Listen(t)
	for i := range local {
		handler := newEchoHandler()
		onLoop(func() {
			var err error
			if local[i], err = loop.Dial(listener.Addr().String(), dialTimeoutUs, handler); err != nil {
				t.Error(err)
			}
		})
		testbed.Wait(t, "a dialled connection", handler.opened)
		remote[i] = nettest.Accept(t, listener)
	}
	return local, remote
}
