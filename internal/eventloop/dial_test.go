package eventloop

import (
	"errors"
	"io"
	"net"
	"testing"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/nettest"
)

// closedPort returns a loopback address on which no socket listens.
func closedPort(t *testing.T) string {
	t.Helper()
	listener := nettest.Listen(t)
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// TestDial checks that a dial succeeds at a listener and is refused without one, that dials are limited by the
// descriptor budget, and that bytes written before a close still arrive.
func TestDial(t *testing.T) {
	const timeoutUs = 250_000
	loop, onLoop := startLoop(t, 3)
	listener := nettest.Listen(t)
	accepted, refused := newEchoHandler(), newEchoHandler()
	refusedAddr := closedPort(t)
	var conn *Conn
	onLoop(func() {
		var err error
		if conn, err = loop.Dial(listener.Addr().String(), timeoutUs, accepted); err != nil {
			t.Error(err)
		}
		if _, err := loop.Dial(refusedAddr, timeoutUs, refused); err != nil {
			refused.closed <- err
		}
	})
	testbed.Wait(t, "the dialled connection", accepted.opened)
	if err := testbed.Wait(t, "the refused connection", refused.closed); !errors.Is(err, unix.ECONNREFUSED) {
		t.Errorf("dial of a closed port: got error %v, want %v", err, unix.ECONNREFUSED)
	}

	onLoop(func() {
		for range 2 {
			if _, err := loop.Dial(listener.Addr().String(), timeoutUs, newEchoHandler()); err != nil {
				t.Errorf("dial within the descriptor budget: got error %v, want none", err)
			}
		}
		if _, err := loop.Dial(listener.Addr().String(), timeoutUs, newEchoHandler()); !errors.Is(err, ErrNoDescriptor) {
			t.Errorf("dial over the descriptor budget: got error %v, want %v", err, ErrNoDescriptor)
		}
		if _, err := loop.Dial("nowhere", timeoutUs, newEchoHandler()); err == nil {
			t.Error("dial of an invalid address: got no error, want one")
		}
	})

	remote := nettest.Accept(t, listener)
	onLoop(func() {
		conn.Write([]byte("last words"))
		conn.Close()
		conn.Close()
	})
	if received, err := io.ReadAll(remote); err != nil || string(received) != "last words" {
		t.Errorf("remote end received %q, error %v; want %q and no error", received, err, "last words")
	}
	onLoop(func() {
		if loop.FreeDescriptors() != 1 {
			t.Errorf("free descriptors: got %d, want 1", loop.FreeDescriptors())
		}
	})
}

// listenWithFullQueue returns the address of a listening socket that never accepts, and whose accept queue has room
// for one connection. Only the first connection to it is established.
func listenWithFullQueue(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	nettest.CloseAtEnd(t, func() error { return unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sa, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: sa.(*unix.SockaddrInet4).Port}
	return addr.String()
}

// TestDialTimeout checks that a dialled connection that is not established in time is closed with ErrTimeout.
func TestDialTimeout(t *testing.T) {
	loop, onLoop := startLoop(t, 100)
	addr := listenWithFullQueue(t)
	closed := make(chan error, 10)
	onLoop(func() {
		for range 6 {
			handler := newEchoHandler()
			handler.closed = closed
			if _, err := loop.Dial(addr, 100_000, handler); err != nil {
				t.Error(err)
			}
		}
	})
	if err := testbed.Wait(t, "the dial timeout", closed); !errors.Is(err, ErrTimeout) {
		t.Errorf("connection closed with error %v, want %v", err, ErrTimeout)
	}
}

// TestOpErrorNamesOperationAndTarget checks the text of an OpError and that it wraps its cause.
func TestOpErrorNamesOperationAndTarget(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{
		{&OpError{Op: "read", Err: unix.ECONNRESET}, "eventloop: read: connection reset by peer"},
		{&OpError{Op: "dial", Target: "127.0.0.1:1", Err: unix.ECONNRESET}, "eventloop: dial 127.0.0.1:1: connection reset by peer"},
	} {
		if got := c.err.Error(); got != c.want || !errors.Is(c.err, unix.ECONNRESET) {
			t.Errorf("OpError: got text %q, want %q and an error that wraps %v", got, c.want, unix.ECONNRESET)
		}
	}
}
