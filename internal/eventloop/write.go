package eventloop

// This file contains writing to connections, and the count of the bytes that the kernel has accepted. The bytes of a
// connection are always sent in the order in which they were written.

import "golang.org/x/sys/unix"

// BytesWritten returns the number of bytes passed to Write so far.
func (c *Conn) BytesWritten() int64 { return c.bytesWritten }

// BytesSent returns how many of the written bytes the kernel has accepted. The remaining bytes have not reached the
// other side.
func (c *Conn) BytesSent() int64 { return c.bytesSent }

// BytesBuffered returns the number of written bytes that the kernel has not accepted yet.
func (c *Conn) BytesBuffered() int { return len(c.output) }

// Write queues a copy of b. The loop sends it at the end of the turn, or later if the connection is not established or
// the kernel does not accept the bytes yet. On a closed connection, Write has no effect.
func (c *Conn) Write(b []byte) {
	if c.closed || c.discardsOutput {
		return
	}
	c.bytesWritten += int64(len(b))
	c.output = append(c.output, b...)
	if !c.flushQueued {
		c.flushQueued = true
		c.loop.unflushed = append(c.loop.unflushed, c)
	}
}

// Flush passes the output written so far to the kernel at once, instead of at the end of the turn. It reports whether
// the kernel accepted all of the output; on a connection that is closed or not established, it returns false. If
// sending fails, the output stays queued, and an error is reported to the handler when the loop next tries to send it.
func (c *Conn) Flush() bool {
	if c.closed || !c.established {
		return false
	}
	err := c.flush()
	return err == nil && len(c.output) == 0
}

// flush writes as much of the output as the kernel accepts. It returns [ErrOverflow] if more than maxBuffered bytes
// are left. It never closes the connection.
func (c *Conn) flush() error {
	c.flushTimer.Stop()
	for c.established && !c.closed && len(c.output) > 0 {
		n, err := unix.Write(c.fd, c.output)
		if n > 0 {
			c.bytesSent += int64(n)
			c.output = c.output[:copy(c.output, c.output[n:])]
		}
		switch err {
		case nil, unix.EINTR:
		case unix.EAGAIN:
			if len(c.output) > c.loop.maxBuffered {
				return ErrOverflow
			}
			c.awaitsDrain = true
			c.updateInterest()
			return nil
		default:
			if !isTransient(err) {
				return &OpError{Op: "write", Err: err}
			}
			if len(c.output) > c.loop.maxBuffered {
				return ErrOverflow
			}
			c.awaitsDrain = true
			c.retryFlush()
			return nil
		}
	}
	if len(c.output) > c.loop.maxBuffered {
		return ErrOverflow
	}
	if len(c.output) == 0 && cap(c.output) > maxIdleBuffer {
		c.output = nil
	}
	c.updateInterest()
	return nil
}

// updateInterest sets the epoll events that the connection is watched for: always input, and also writability
// if there is output left or the connection is not established.
func (c *Conn) updateInterest() {
	if c.closed {
		return
	}
	interest := uint32(unix.EPOLLIN | unix.EPOLLRDHUP)
	if len(c.output) > 0 || !c.established {
		interest |= unix.EPOLLOUT
	}
	if interest == c.interest {
		return
	}
	if err := c.loop.epollCtl(unix.EPOLL_CTL_MOD, c.fd, interest); err != nil {
		c.loop.After(transientRetry, c.updateInterest)
		return
	}
	c.interest = interest
}

// notifyDrained calls Drained if no output is left and the handler implements Drainer.
func (c *Conn) notifyDrained() {
	if c.closed || len(c.output) > 0 {
		return
	}
	c.awaitsDrain = false
	if drainer, ok := c.handler.(Drainer); ok {
		drainer.Drained(c)
	}
}
