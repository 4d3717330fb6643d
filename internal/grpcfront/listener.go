package grpcfront

// This file owns the acceptance of connections by the gRPC server. Invariant: no connection waits to be accepted while the
// server serves others.

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// acceptRetryDelay is the delay after a connection could not be accepted.
	acceptRetryDelay = 20 * time.Millisecond
	// transferRetryDelay is the delay after a read or a write that failed because the system was out of buffers, and
	// maxTransferRetries the number of times in a row that it is repeated.
	transferRetryDelay = 10 * time.Millisecond
	maxTransferRetries = 100
)

// retryingListener is a listener whose Accept retries after the errors of a system call that pass, for example if the
// system is out of buffers or a network error is pending. The gRPC server would stop for good at most of them.
type retryingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		var errno unix.Errno
		if !errors.As(err, &errno) || errno == unix.EBADF || errno == unix.EINVAL {
			return conn, err
		}
		time.Sleep(acceptRetryDelay)
	}
}

// boundedListener is a listener that closes each connection above a maximum number of open ones. The client then learns at
// once that it has to go to another orchestrator, instead of waiting for a connection of another client to end.
type boundedListener struct {
	net.Listener
	maxConns int64
	open     atomic.Int64
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.maxConns {
			return &countedConn{Conn: retryingConn{conn}, release: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		_ = conn.Close() // the client sees the end of the connection in any case
	}
}

// retryingConn is a connection whose Read and Write retry while the system is out of buffers. The gRPC server would end the
// connection, with the calls on it. Both block, as they do on any connection, so they must not be called on the event loop.
type retryingConn struct{ net.Conn }

// Read implements net.Conn.
func (c retryingConn) Read(b []byte) (n int, err error) {
	err = retryTransfer(func() error {
		n, err = c.Conn.Read(b)
		return err
	})
	return n, err
}

// Write implements net.Conn.
func (c retryingConn) Write(b []byte) (written int, err error) {
	err = retryTransfer(func() error {
		n, err := c.Conn.Write(b[written:])
		written += n
		return err
	})
	return written, err
}

// retryTransfer calls transfer until it does not fail for lack of buffers, and returns its last error.
func retryTransfer(transfer func() error) error {
	for retries := 0; ; retries++ {
		err := transfer()
		if !errors.Is(err, unix.ENOBUFS) && !errors.Is(err, unix.ENOMEM) || retries == maxTransferRetries {
			return err
		}
		time.Sleep(transferRetryDelay)
	}
}

// countedConn is a connection that calls release once it is closed.
type countedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
