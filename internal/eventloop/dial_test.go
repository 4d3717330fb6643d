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

// closedPort returns an address where nobody listens.
func closedPort(t *testing.T) string {
	t.Helper()
	listener := nettest.Listen(t)
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// Dials succeed, are refused, are bounded by the budget, and what was written before a close still arrives.
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
	testbed.Wait(t, "the connection", accepted.opened)
	if err := testbed.Wait(t, "the refusal", refused.closed); !errors.Is(err, unix.ECONNREFUSED) {
		t.Errorf("refused with %v", err)
	}

	onLoop(func() {
		for range 2 {
			if _, err := loop.Dial(listener.Addr().String(), timeoutUs, newEchoHandler()); err != nil {
				t.Errorf("within the budget: %v", err)
			}
		}
		if _, err := loop.Dial(listener.Addr().String(), timeoutUs, newEchoHandler()); !errors.Is(err, ErrBudget) {
			t.Errorf("over the budget: %v", err)
		}
		if _, err := loop.Dial("nowhere", timeoutUs, newEchoHandler()); err == nil {
			t.Error("an address that is none was dialled")
		}
	})

	remote := nettest.Accept(t, listener)
	onLoop(func() {
		conn.Write([]byte("last words"))
		conn.Close()
		conn.Close()
	})
	if received, err := io.ReadAll(remote); err != nil || string(received) != "last words" {
		t.Errorf("received %q, %v", received, err)
	}
	onLoop(func() {
		if loop.FreeDescriptors() != 1 {
			t.Errorf("%d descriptors are free", loop.FreeDescriptors())
		}
	})
}

// fullQueue listens with a queue of one that nobody empties, and returns the address: what comes after the first is
// never established.
func fullQueue(t *testing.T) string {
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

// A connection that is not established in time ends with ErrTimeout.
func TestDialTimeout(t *testing.T) {
	loop, onLoop := startLoop(t, 100)
	addr := fullQueue(t)
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
	if err := testbed.Wait(t, "the timeout", closed); !errors.Is(err, ErrTimeout) {
		t.Errorf("ended with %v", err)
	}
}

func TestOpErrorNamesOperationAndTarget(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{
		{&OpError{Op: "read", Err: unix.ECONNRESET}, "eventloop: read: connection reset by peer"},
		{&OpError{Op: "dial", Target: "127.0.0.1:1", Err: unix.ECONNRESET}, "eventloop: dial 127.0.0.1:1: connection reset by peer"},
	} {
		if got := c.err.Error(); got != c.want || !errors.Is(c.err, unix.ECONNRESET) {
			t.Errorf("got %q, expected %q", got, c.want)
		}
	}
}
