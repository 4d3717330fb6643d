package eventloop

// This file owns what is read from connections. It must never keep the loop with one connection while others wait.

import "golang.org/x/sys/unix"

const (
	// maxReadsPerTurn is how often one connection is read before others have their turn.
	maxReadsPerTurn = 4
	// maxIdleBuffer is how much capacity an empty buffer retains.
	maxIdleBuffer = 4 << 10
)

// read hands over what came in. ended says that the other side has closed its end, which is then found in the same
// turn as what came before it, so that a client that has disconnected already is not served.
func (c *Conn) read(ended bool) error {
	buffer := c.loop.readBuffer
	for i := 0; i < maxReadsPerTurn && !c.closed; i++ {
		startedAt := c.loop.Clock()
		n, err := unix.Read(c.fd, buffer)
		switch err {
		case nil:
		case unix.EINTR:
			continue
		case unix.EAGAIN:
			c.emptyAt = startedAt
			return nil
		default:
			return &OpError{Op: "read", Err: err}
		}
		if n == 0 {
			return ErrEOF
		}
		if err := c.handOver(buffer[:n]); err != nil {
			return err
		}
		if c.closed {
			return nil
		}
		if n < len(buffer) && !ended {
			c.emptyAt = startedAt
			return nil
		}
	}
	c.unreadPoll = c.loop.polls.count
	return nil
}

// handOver hands the handler all that it has not used and what was read now.
func (c *Conn) handOver(received []byte) error {
	pending := received
	if len(c.input) > 0 {
		c.input = append(c.input, received...)
		pending = c.input
	}
	used, err := c.handler.Data(c, pending)
	if err != nil || c.closed {
		return err
	}
	c.input = append(c.input[:0], pending[used:]...)
	if len(c.input) == 0 && cap(c.input) > maxIdleBuffer {
		c.input = nil
	}
	return nil
}
