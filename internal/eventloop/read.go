package eventloop

// This file contains reading from connections. The number of reads per connection and turn is bounded, so that one
// connection does not delay the others.

import (
	"errors"

	"golang.org/x/sys/unix"
)

const (
	// maxReadsPerTurn is the maximum number of reads from one connection in a turn.
	maxReadsPerTurn = 4
	// maxReadAllRounds is the maximum number of rounds of maxReadsPerTurn reads in ReadAll. A client that sends faster
	// than it is read must not hold it up.
	maxReadAllRounds = 64
	// earlyFlush is the size of the output in bytes from which it is sent while input is still delivered. Otherwise the answers
	// to the input of many connections would take much memory in one turn.
	earlyFlush = 16 << 10
	// maxIdleBuffer is the maximum capacity in bytes that an empty buffer retains.
	maxIdleBuffer = 4 << 10
)

// read delivers the received data to the handler, in at most maxReadsPerTurn reads. remoteClosed is true if the
// other side has closed the connection. In that case, read continues towards the end of the stream even after a system
// call that did not fill the buffer. If it reaches the end, the handler is notified of the data and of the close in the
// same turn, and can discard the requests of a client that has already disconnected.
func (c *Conn) read(remoteClosed bool) error {
	isEmpty, err := c.readSome(remoteClosed)
	if err == nil && !isEmpty && !c.closed {
		c.unreadPoll = c.loop.polls.count
	}
	return err
}

// readSome delivers the received data like read. It reports whether no received data was left.
func (c *Conn) readSome(remoteClosed bool) (isEmpty bool, err error) {
	buffer := c.loop.readBuffer
	for i := 0; i < maxReadsPerTurn && !c.closed; i++ {
		startedAt := c.loop.Clock()
		n, err := unix.Read(c.fd, buffer)
		c.readFailed = isTransient(err)
		switch err {
		case nil:
		case unix.EINTR:
			continue
		case unix.EAGAIN:
			c.emptyAt = startedAt
			return true, nil
		default:
			if c.readFailed {
				return false, nil
			}
			return false, &OpError{Op: "read", Err: err}
		}
		if n == 0 {
			return true, ErrEOF
		}
		if err := c.deliverInput(buffer[:n]); err != nil {
			return false, err
		}
		if c.closed {
			return false, nil
		}
		if len(c.output) > earlyFlush {
			if err := c.flush(); errors.Is(err, ErrOverflow) { // after another error, the input is still to be delivered
				return false, err
			}
		}
		if n < len(buffer) && !remoteClosed {
			c.emptyAt = startedAt
			return true, nil
		}
	}
	return false, nil
}

// ReadAll delivers the received data to the handler until none is left or the connection ends. It is called outside the
// dispatch of events. The handler is not notified of the end.
func (c *Conn) ReadAll() {
	for range maxReadAllRounds {
		if c.closed || !c.established {
			return
		}
		if isEmpty, err := c.readSome(true); isEmpty || err != nil {
			return
		}
	}
}

// deliverInput passes the unused input and the bytes just received to the handler.
func (c *Conn) deliverInput(received []byte) error {
	pending := received
	if len(c.input) > 0 {
		c.input = append(c.input, received...)
		pending = c.input
	}
	c.delivering = true
	used, err := c.handler.Data(c, pending)
	c.delivering = false
	if err != nil || c.closed {
		return err
	}
	c.input = append(c.input[:0], pending[used:]...)
	if len(c.input) == 0 && cap(c.input) > maxIdleBuffer {
		c.input = nil
	}
	return nil
}
