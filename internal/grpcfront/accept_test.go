package grpcfront

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/nettest"
)

// failingListener is a listener whose Accept returns the given errors and then net.ErrClosed.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return nil, net.ErrClosed
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// Errors of accept that Linux documents as passing must not end the server.
func TestAcceptErrorsThatPass(t *testing.T) {
	listener := &failingListener{}
	for _, errno := range []unix.Errno{unix.ECONNABORTED, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EHOSTUNREACH} {
		listener.errs = append(listener.errs, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)})
	}
	if _, err := (retryingListener{listener}).Accept(); !errors.Is(err, net.ErrClosed) || len(listener.errs) != 0 {
		t.Errorf("got error %v with %d errors left, want %v after all errors", err, len(listener.errs), net.ErrClosed)
	}
}

// failingConn is a connection whose reads and writes fail a number of times, each after a part of a write.
type failingConn struct {
	net.Conn
	failures int
	written  string
}

func (c *failingConn) fail() error {
	if c.failures == 0 {
		return nil
	}
	c.failures--
	return &net.OpError{Op: "write", Err: os.NewSyscallError("write", unix.ENOBUFS)}
}

func (c *failingConn) Write(b []byte) (int, error) {
	err := c.fail()
	if err != nil {
		b = b[:1]
	}
	c.written += string(b)
	return len(b), err
}

func (c *failingConn) Read(b []byte) (int, error) {
	if err := c.fail(); err != nil {
		return 0, err
	}
	return copy(b, "read"), nil
}

// Guards against a connection that ends, with all calls on it, because the system is out of buffers for a moment. What was
// written before an error is not written again.
func TestTransferErrorsThatPass(t *testing.T) {
	inner := &failingConn{failures: 2}
	conn := retryingConn{inner}
	if n, err := conn.Write([]byte("written")); n != len("written") || err != nil || inner.written != "written" {
		t.Errorf("Write: got %d, error %v, written %q; want 7, no error and the message once", n, err, inner.written)
	}
	inner.failures = 2
	b := make([]byte, 16)
	if n, err := conn.Read(b); err != nil || string(b[:n]) != "read" {
		t.Errorf("Read: got %q, error %v, want the message", b[:n], err)
	}
	inner.failures = maxTransferRetries + 1
	if _, err := conn.Read(b); !errors.Is(err, unix.ENOBUFS) {
		t.Errorf("Read that fails for long: got error %v, want ENOBUFS", err)
	}
}

// Guards against a client that waits for its connection to be accepted for as long as others keep theirs. A connection above
// the maximum is closed; once another one has ended, the next is accepted.
func TestConnectionAboveMaximumIsClosed(t *testing.T) {
	tcp := nettest.Listen(t)
	listener := &boundedListener{Listener: tcp, maxConns: 1}
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	nettest.Dial(t, tcp.Addr().String())
	first := testbed.Wait(t, "the first connection", accepted)
	above := nettest.Dial(t, tcp.Addr().String())
	if err := above.SetReadDeadline(time.Now().Add(testbed.Timeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := above.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("connection above the maximum: got %v, want its end", err)
	}
	for range 2 { // a second close must not count
		testbed.CloseQuietly(first)
	}
	nettest.Dial(t, tcp.Addr().String())
	testbed.CloseQuietly(testbed.Wait(t, "the connection after the end of the first", accepted))
	if open := listener.open.Load(); open != 0 {
		t.Errorf("%d connections count as open after all have ended, want 0", open)
	}
}
