package eventloop

// This file contains the parts of an orderly close: the end of the output while input is still received, and the
// input that the kernel holds when a connection is about to be closed. What the other side wrote before it noticed a
// close is lost if this side closes its socket at once.

import (
	"errors"

	"golang.org/x/sys/unix"
)

const (
	// takeBufferSize is the maximum number of bytes that one read of TakeInput returns.
	takeBufferSize = 16 << 10
	// maxTakenInput is the number of bytes after which TakeInput does not read on.
	maxTakenInput = 64 << 10
)

// CloseWrite sends the output and then the end of the stream. The connection still receives, until the other side
// closes it or this side calls [Conn.Close]. Write must not be called any more. CloseWrite returns an error if the
// kernel does not accept all output at once, or if the connection is not established or broken. The connection then
// stays as it was.
func (c *Conn) CloseWrite() error {
	if !c.IsUp() {
		return ErrNotEstablished
	}
	if err := c.flush(); err != nil {
		return err
	}
	if len(c.output) > 0 {
		return ErrOutputLeft
	}
	if err := unix.Shutdown(c.fd, unix.SHUT_WR); err != nil {
		return &OpError{Op: "shutdown", Err: err}
	}
	return nil
}

// TakeInput returns the received bytes that the handler has not used, including those that the kernel still holds, up
// to maxTakenInput bytes or slightly more. The handler does not get these bytes. TakeInput is called before [Conn.Close] or
// [Conn.Abort], which would discard them. During a call of the handler's Data it returns nil, because Data has the
// received bytes.
func (c *Conn) TakeInput() []byte {
	if !c.IsUp() || c.delivering {
		return nil
	}
	taken := c.input
	c.input = nil
	buffer := c.loop.takeBuffer()
	for len(taken) < maxTakenInput {
		n, err := unix.Read(c.fd, buffer)
		if n <= 0 && err != unix.EINTR {
			break
		}
		taken = append(taken, buffer[:max(n, 0)]...)
	}
	return taken
}

// takeBuffer returns the buffer of TakeInput. It is not the buffer of [Conn.read], because a handler may take the input
// of another connection while it uses that buffer.
func (l *Loop) takeBuffer() []byte {
	if l.takeInputBuffer == nil {
		l.takeInputBuffer = make([]byte, takeBufferSize)
	}
	return l.takeInputBuffer
}

// failAfterInput closes the connection after a failed write and reports err to its handler. Before that, it delivers
// the input that was received until the connection broke, because the kernel discards it with the close. After an overflow, it
// delivers none: the other side still sends, and does not read the answers.
func (c *Conn) failAfterInput(err error) {
	if !errors.Is(err, ErrOverflow) {
		c.discardsOutput = true
		c.ReadAll()
	}
	c.fail(err)
}
