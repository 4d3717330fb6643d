// Package nettest provides TCP listeners and connections for tests. Each is closed at the end of its test, unless the
// test has already closed it. The test fails if the close fails.
package nettest

import (
	"errors"
	"net"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// Listen returns a TCP listener on a free port of the loopback interface.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := testbed.ListenLocal()
	if err != nil {
		t.Fatal(err)
	}
	CloseAtEnd(t, listener.Close)
	return listener
}

// Dial returns a TCP connection to addr.
func Dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	CloseAtEnd(t, conn.Close)
	return conn
}

// Accept returns the next connection of a listener. All reads from the connection fail once [testbed.Timeout] has
// passed since it was accepted.
func Accept(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	CloseAtEnd(t, conn.Close)
	if err := conn.SetReadDeadline(time.Now().Add(testbed.Timeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// CloseAtEnd calls closeFunc at the end of the test. The test fails if closeFunc returns an error. Only net.ErrClosed
// is ignored, because it means that the test has already closed the socket.
func CloseAtEnd(t *testing.T, closeFunc func() error) {
	t.Helper()
	t.Cleanup(func() {
		if err := closeFunc(); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	})
}
