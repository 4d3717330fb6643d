package eventloop

// This file owns what is written to connections, and what of it the system has taken. It must never send the bytes of
// one connection in another order than they were written in.

import "golang.org/x/sys/unix"

// BytesWritten is how many bytes were handed to Write so far.
func (c *Conn) BytesWritten() int64 { return c.bytesWritten }

// BytesSent is how many of the bytes written the system has taken. The others have not reached the other side.
func (c *Conn) BytesSent() int64 { return c.bytesSent }

// BytesBuffered is how many bytes wait for the system to take them.
func (c *Conn) BytesBuffered() int { return len(c.output) }

// Write queues b, which is copied; the bytes go out at the end of the turn.
func (c *Conn) Write(b []byte) {
	if c.closed {
		return
	}
	c.bytesWritten += int64(len(b))
	c.output = append(c.output, b...)
	if !c.flushQueued {
		c.flushQueued = true
		c.loop.unflushed = append(c.loop.unflushed, c)
	}
}

// Flush hands what was written so far to the system now, ahead of what other connections have to write in this turn. It
// reports whether the system took all of it; an error is reported to the handler at the end of the turn.
func (c *Conn) Flush() bool {
	if c.closed || !c.established {
		return false
	}
	err := c.flush()
	return err == nil && len(c.output) == 0
}

// flush writes what the system takes. It returns the error that ends the connection.
func (c *Conn) flush() error {
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
			return &OpError{Op: "write", Err: err}
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

// updateInterest watches the connection for what it waits for now.
func (c *Conn) updateInterest() {
	if c.closed {
		return
	}
	interest := uint32(unix.EPOLLIN | unix.EPOLLRDHUP)
	if len(c.output) > 0 || !c.established {
		interest |= unix.EPOLLOUT
	}
	if interest != c.interest {
		c.interest = interest
		_ = c.loop.epollCtl(unix.EPOLL_CTL_MOD, c.fd, interest) // it can't fail for a descriptor that is watched
	}
}

// drained notifies the handler that nothing is left of what the system had not taken at once.
func (c *Conn) drained() {
	if c.closed || len(c.output) > 0 {
		return
	}
	c.awaitsDrain = false
	if drainer, ok := c.handler.(Drainer); ok {
		drainer.Drained(c)
	}
}
