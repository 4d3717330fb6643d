package eventloop

// This file tests which connections a listener accepts, and for whom room is made.

import (
	"os"
	"testing"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/nettest"
)

// countingAdmission has no capacity, and makes some for each connection.
type countingAdmission struct{ made int }

func (*countingAdmission) HasCapacity() bool    { return false }
func (a *countingAdmission) MakeCapacity() bool { a.made++; return true }

// At the limit room is made once for each connection that comes, and not for the look that finds that no further one
// waits. Each accept was preceded by the call that makes room, so that a client's idle connection was closed for nobody:
// it was made 6 times for 3 that came.
func TestCapacityIsMadeForThoseThatWait(t *testing.T) {
	loop, onLoop := startLoop(t, 20)
	admission := &countingAdmission{}
	handler := newEchoHandler()
	var addr string
	onLoop(func() {
		var err error
		if addr, err = loop.Listen("127.0.0.1:0", admission, func() Handler { return handler }); err != nil {
			t.Error(err)
		}
	})
	const clients = 3
	for range clients {
		nettest.Dial(t, addr)
		testbed.Wait(t, "the connection", handler.opened)
	}
	onLoop(func() {
		if admission.made != clients || loop.HasQueuedConnections() {
			t.Errorf("capacity was made %d times for %d connections; more wait: %v", admission.made, clients, loop.HasQueuedConnections())
		}
	})
}

// A listener without capacity and without a connection that waits does not hold back a shutdown.
func TestNobodyWaitsAtAFullListener(t *testing.T) {
	loop, onLoop := startLoop(t, 20)
	full := false
	handler := newEchoHandler()
	var addr string
	onLoop(func() {
		var err error
		admission := AdmissionFunc(func() bool { return !full })
		addr, err = loop.Listen("127.0.0.1:0", admission, func() Handler { full = true; return handler })
		if err != nil {
			t.Error(err)
		}
	})
	nettest.Dial(t, addr)
	testbed.Wait(t, "the connection", handler.opened)
	onLoop(func() {
		if loop.HasQueuedConnections() {
			t.Error("a connection is taken to wait")
		}
	})
}

// A connection that epoll rejects ends unseen. Its handler was notified of the end alone, so that the count of a peer's
// pending connections, which begins with Opened, fell below zero, and its limit rose by one with each.
func TestUnwatchableConnectionEndsUnseen(t *testing.T) {
	loop, err := New(10)
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Close()
	file, err := os.CreateTemp(t.TempDir(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer testbed.CloseQuietly(file)
	fd, err := unix.Dup(int(file.Fd())) // epoll rejects regular files
	if err != nil {
		t.Fatal(err)
	}
	handler := newEchoHandler()
	loop.addAccepted(fd, &listener{accept: func() Handler { return handler }})
	if len(handler.opened)+len(handler.closed) > 0 {
		t.Errorf("opened %d times, closed %d times", len(handler.opened), len(handler.closed))
	}
	if _, err := unix.FcntlInt(uintptr(fd), unix.F_GETFD, 0); err == nil {
		t.Error("its descriptor is open")
	}
	if loop.FreeDescriptors() != 10 {
		t.Errorf("%d descriptors are free", loop.FreeDescriptors())
	}
}
