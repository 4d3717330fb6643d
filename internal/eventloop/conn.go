package eventloop

// This file owns connections: how they begin and end. It must never close the descriptor of a connection while events
// are being dispatched, and never notify a handler of an end that its user has asked for.

import (
	"golang.org/x/sys/unix"
)

// Handler takes the events of one connection. Data returns how many of the bytes gathered so far it has used; the rest
// comes again with what follows, and an error ends the connection. Closed is called once for every connection that opened
// or was dialled, unless its user closed or aborted it.
type Handler interface {
	Opened(c *Conn)
	Data(c *Conn, b []byte) (used int, err error)
	Closed(c *Conn, err error)
}

// Drainer is a Handler that is notified when the system has taken all that it had not taken at once.
type Drainer interface {
	Drained(c *Conn)
}

// Conn is a connection of the loop. A nil Conn is closed.
type Conn struct {
	loop      *Loop
	fd        int
	handler   Handler
	dialTimer *Timer // nil where the connection was accepted

	established bool
	closed      bool
	interest    uint32 // epoll events that it is watched for

	input       []byte // read, and not used by the handler yet
	output      []byte // written by the user, and not taken by the system yet
	flushQueued bool   // this turn will try to send the output
	awaitsDrain bool   // the system did not take all at once, and the handler waits for that

	bytesWritten int64
	bytesSent    int64

	emptyAt    int64 // when nothing was left to read, by the clock and not by the turn
	unreadPoll int64 // the number of the complete poll after which something may have been left to read
}

// Dial starts a connection, which fails with [ErrTimeout] unless it is established in timeoutUs microseconds. An error
// says that it could not be started; whatever comes later is reported to the handler.
func (l *Loop) Dial(addr string, timeoutUs int64, handler Handler) (*Conn, error) {
	if l.FreeDescriptors() <= 0 {
		return nil, ErrBudget
	}
	fd, sa, err := openSocket("dial", unix.SOCK_STREAM, addr)
	if err != nil {
		return nil, err
	}
	setSocketOptions(fd)
	if err := unix.Connect(fd, sa); err != nil && err != unix.EINPROGRESS {
		closeFD(fd)
		return nil, &OpError{Op: "dial", Target: addr, Err: err}
	}
	c := &Conn{loop: l, fd: fd, handler: handler, interest: unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP}
	if err := l.addDescriptor(fd, c.interest); err != nil {
		closeFD(fd)
		return nil, err
	}
	l.conns[fd] = c
	c.dialTimer = l.After(timeoutUs, func() {
		if !c.established {
			c.fail(ErrTimeout)
		}
	})
	return c, nil
}

// IsUp reports whether the connection is established and not closed.
func (c *Conn) IsUp() bool { return c != nil && c.established && !c.closed }

// IsClosed reports whether the connection is closed.
func (c *Conn) IsClosed() bool { return c == nil || c.closed }

// Close sends what the system takes at once and closes the connection; its handler is not notified.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	_ = c.flush() // the connection ends either way
	c.drop()
}

// Abort closes the connection with a reset; its handler is not notified. Both systems discard what the other side
// has not read yet: after a plain close they would go on trying to deliver it, and a message would arrive long
// after its time.
func (c *Conn) Abort() {
	if c.closed {
		return
	}
	// A system that rejects the option closes plainly, which still ends the connection.
	_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	c.drop()
}

// drop marks the connection closed and leaves its descriptor to reap.
func (c *Conn) drop() {
	if c.closed {
		return
	}
	c.closed = true
	c.dialTimer.Stop()
	c.loop.unreaped = append(c.loop.unreaped, c)
	if !c.loop.dispatching {
		c.loop.reap()
	}
}

// fail ends the connection and reports err to its handler.
func (c *Conn) fail(err error) {
	if c.closed {
		return
	}
	c.drop()
	c.handler.Closed(c, err)
	c.loop.runAgain = true
}

// reap closes the descriptors of dropped connections: at once where the loop is not dispatching events, so that a close
// is sent before anything that is written after it; else as soon as all events were dispatched, so that a
// descriptor that is opened again is not taken for the old connection.
func (l *Loop) reap() {
	for _, c := range l.unreaped {
		delete(l.conns, c.fd)
		l.closeDescriptor(c.fd)
		c.input, c.output = nil, nil
	}
	l.unreaped = l.unreaped[:0]
}

// ready takes the epoll events of the connection.
func (c *Conn) ready(events uint32) {
	if !c.established && !c.finishDial(events) {
		return
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		if err := c.read(events&unix.EPOLLRDHUP != 0); err != nil {
			c.fail(err)
			return
		}
	}
	if events&unix.EPOLLOUT != 0 {
		if err := c.flush(); err != nil {
			c.fail(err)
			return
		}
		c.drained()
	}
}

// finishDial takes the first epoll events of a dialled connection, and reports whether it is open.
func (c *Conn) finishDial(events uint32) bool {
	code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	if err != nil {
		c.fail(&OpError{Op: "connect", Err: err})
		return false
	}
	if events&unix.EPOLLOUT == 0 {
		return false
	}
	c.established = true
	c.dialTimer.Stop()
	c.handler.Opened(c)
	return !c.closed
}
