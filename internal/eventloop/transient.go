package eventloop

// This file contains the handling of calls that fail because the system is out of memory or buffers, which passes. A
// connection must neither be closed for such an error, nor be left without the call that failed.

import (
	"errors"

	"golang.org/x/sys/unix"
)

// transientRetry is the time, in microseconds, after which a call is repeated that has failed for lack of a resource.
const transientRetry = 10 * millisecond

// maxWatchRetries is the number of times that an accepted connection is watched again before it is closed.
const maxWatchRetries = 100

// isTransient reports whether a call has failed for lack of a resource of the system.
func isTransient(err error) bool {
	return errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM) || errors.Is(err, unix.ENOSPC)
}

// LacksResource reports whether the last read or write of the connection failed for lack of a resource of the system.
func (c *Conn) LacksResource() bool { return !c.closed && (c.readFailed || c.flushTimer.Pending()) }

// retryFlush sends the output later.
func (c *Conn) retryFlush() {
	if c.flushTimer.Pending() {
		return
	}
	c.flushTimer = c.loop.After(transientRetry, func() {
		if c.closed {
			return
		}
		if err := c.flush(); err != nil {
			c.failAfterInput(err)
			return
		}
		c.notifyDrained()
	})
}

// watchLater watches an accepted connection later. Until then, its input waits in the kernel.
func (l *Loop) watchLater(c *Conn, retries int) {
	l.After(transientRetry, func() {
		err := l.watch(c)
		switch {
		case err == nil:
		case isTransient(err) && retries < maxWatchRetries:
			l.watchLater(c, retries+1)
		default:
			closeFD(c.fd)
		}
	})
}

// watch watches an accepted connection and notifies its handler.
func (l *Loop) watch(c *Conn) error {
	if err := l.addDescriptor(c.fd, c.interest); err != nil {
		return err
	}
	l.conns[c.fd] = c
	c.handler.Opened(c)
	return nil
}
