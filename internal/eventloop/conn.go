package eventloop

// This file contains the opening and closing of connections. While events are being dispatched, the descriptors of
// connections that epoll watches are not closed. If the user of the package closes a connection, its handler is not
// notified.

import (
	"golang.org/x/sys/unix"
)

// Handler handles the events of one connection.
//
// Opened is called when the connection is established. Data is called with the received bytes that the
// handler has not used yet, and returns how many of them it has used. The loop keeps the rest and passes it
// again together with the bytes that it receives next. Data must not retain b after it returns. If Data returns
// an error, the connection is closed and that error is passed to Closed. Closed is called once for every
// connection that was opened or dialled, except for connections that the user of the package closed or aborted
// and for connections that [Loop.Close] closed.
type Handler interface {
	Opened(c *Conn)
	Data(c *Conn, b []byte) (used int, err error)
	Closed(c *Conn, err error)
}

// Drainer may be implemented by a Handler. If the kernel does not accept all output of a connection at the first
// attempt, Drained is called after it has accepted the rest. If [Conn.Flush] sends the rest in a later turn, the call
// of Drained may be omitted. For a dialled connection, Drained is also called after Opened if no output is left.
type Drainer interface {
	Drained(c *Conn)
}

// Conn is a TCP connection that a [Loop] owns. [Conn.IsUp] and [Conn.IsClosed] treat a nil Conn as closed.
type Conn struct {
	loop      *Loop
	fd        int
	handler   Handler
	dialTimer *Timer // nil if the connection was accepted

	established bool
	closed      bool
	delivering  bool   // true while the handler's Data is called
	interest    uint32 // epoll events that the descriptor is watched for
	flushTimer  *Timer // sends the output after a write that failed for lack of a resource
	readFailed  bool   // the last read failed for lack of a resource

	input       []byte // received bytes that the handler has not used yet
	output      []byte // bytes passed to Write that the kernel has not accepted yet
	flushQueued bool   // true if the output will be flushed at the end of this turn
	// discardsOutput is true once nothing can be sent any more, and input is still delivered.
	discardsOutput bool
	awaitsDrain    bool // true from a write that failed with EAGAIN until notifyDrained finds no output left

	bytesWritten int64
	bytesSent    int64

	// emptyAt is the start time, by [Loop.Clock], of the last read that left no received data in the socket. Before
	// the first such read, it is 0 for a dialled connection, and the listener's emptyAt for an accepted one.
	emptyAt int64
	// unreadPoll is the value of pollHistory.count in the last turn that may have left received data unread. Its
	// initial value is the count when the connection was accepted, or 0 for a dialled connection.
	unreadPoll int64
}

// Dial starts to connect to addr. If the connection is not established within timeoutUs microseconds, it fails
// with [ErrTimeout]. Dial returns an error if the attempt cannot be started; later failures are reported to the
// handler.
func (l *Loop) Dial(addr string, timeoutUs int64, handler Handler) (*Conn, error) {
	if l.FreeDescriptors() <= 0 {
		return nil, ErrNoDescriptor
	}
	fd, sa, err := openSocket("dial", unix.SOCK_STREAM, addr)
	if err != nil {
		return nil, err
	}
	setSocketOptions(fd)
	// A connect that a signal interrupts continues, as one that is in progress does.
	if err := unix.Connect(fd, sa); err != nil && err != unix.EINPROGRESS && err != unix.EINTR {
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

// Close sends as much of the output as the kernel accepts at once, and closes the connection. The handler is not
// notified.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	_ = c.flush() // the connection is closed even if this fails
	c.drop()
}

// Abort closes the connection with a TCP reset. The handler is not notified. The local kernel discards the output
// that the kernel of the other side has not received yet. After a close without a reset, the local kernel would keep
// trying to deliver this output, and a message could arrive long after its deadline. If the other side runs on
// Linux, it can still read what its kernel received before the reset.
func (c *Conn) Abort() {
	if c.closed {
		return
	}
	// If the kernel rejects the option, the connection is closed without a reset.
	_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	c.drop()
}

// drop marks the connection as closed. Its descriptor is closed by [Loop.reap].
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

// fail closes the connection and reports err to its handler.
func (c *Conn) fail(err error) {
	if c.closed {
		return
	}
	c.drop()
	c.handler.Closed(c, err)
	c.loop.runAgain = true
}

// reap closes the descriptors of dropped connections. Outside the dispatch of events, drop calls reap at once, so that
// the close is sent before anything that is written after it. During the dispatch, reap is deferred until all events
// are dispatched. Otherwise a new connection could get the number of a closed descriptor, and with it the events of
// the old connection.
func (l *Loop) reap() {
	for _, c := range l.unreaped {
		delete(l.conns, c.fd)
		l.closeDescriptor(c.fd)
		c.input, c.output = nil, nil
	}
	l.unreaped = l.unreaped[:0]
}

// handleEvents handles the given epoll events of the connection.
func (c *Conn) handleEvents(events uint32) {
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
			c.failAfterInput(err)
			return
		}
		c.notifyDrained()
	}
}

// finishDial handles the epoll events of a dialled connection until it is established. It reports whether the
// connection is established and not closed.
func (c *Conn) finishDial(events uint32) bool {
	code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	if err != nil {
		c.failDial(err)
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

// failDial handles a dialled connection that has failed. If it was established first and the other side has sent data,
// the handler gets this data before the error: the connection broke before the loop noticed that it was established.
func (c *Conn) failDial(cause error) {
	n, err := unix.Read(c.fd, c.loop.readBuffer)
	if err != nil || n <= 0 {
		c.fail(&OpError{Op: "connect", Err: cause})
		return
	}
	c.established = true
	c.dialTimer.Stop()
	c.handler.Opened(c)
	if !c.closed {
		if err := c.deliverInput(c.loop.readBuffer[:n]); err != nil {
			c.fail(err)
			return
		}
	}
	c.failAfterInput(&OpError{Op: "read", Err: cause})
}
