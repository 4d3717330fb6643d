package eventloop

// This file owns connections: how they begin and end, what is read from them and written
// to them.

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// Handler is what a connection tells its user. Data returns how much of the
// bytes gathered so far it has used; the rest comes again with what follows.
// Closed is called once for every connection, also for one that never opened,
// unless its user closed it.
type Handler interface {
	Opened(c *Conn)
	Data(c *Conn, b []byte) (used int, err error)
	Closed(c *Conn, err error)
}

// Drainer is a Handler that is told when the system has taken what it had left before.
type Drainer interface {
	Drained(c *Conn)
}

// Conn is a connection of the loop.
type Conn struct {
	l       *Loop
	fd      int
	h       Handler
	in, out []byte
	up      bool // established
	closed  bool
	dirty   bool // has bytes that this turn will try to write
	behind  bool // the system did not take all at once, and the Handler waits for it
	mask    uint32
	taken   int64 // bytes handed to Write
	given   int64 // bytes that the system has accepted
	dial    *Timer
	emptyAt int64 // when nothing was left to read, by the clock and not by the turn
	left    int64 // the poll after which something may have been left to read
}

// EarliestArrival is the earliest moment at which what the connection hands over in this turn
// can have come: when it was last found empty, or when the system last told of all
// connections with something to read and this was not among them.
func (c *Conn) EarliestArrival() int64 {
	if c.l.polls <= c.left+1 {
		return min(c.l.now, c.emptyAt)
	}
	return min(c.l.now, max(c.emptyAt, c.l.toldAt))
}

// LastSeenAt is a moment up to which nothing that the other side had sent, an end of the
// connection included, was left unread. It lies back by as long as the turn takes so far,
// and by more where a turn did not read all that there was.
func (c *Conn) LastSeenAt() int64 {
	if c.left < c.l.heardPoll {
		return c.l.heardAt
	}
	return c.emptyAt
}

// Dial starts a connection. It reports failure to start at once; whatever comes
// later is told to h.
func (l *Loop) Dial(addr string, timeoutUs int64, h Handler) (*Conn, error) {
	if l.FreeDescriptors() <= 0 {
		return nil, ErrBudget
	}
	family, sa, err := sockaddr(addr)
	if err != nil {
		return nil, err
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("loop: dial %s: %w", addr, err)
	}
	tune(fd)
	if err := unix.Connect(fd, sa); err != nil && err != unix.EINPROGRESS {
		unix.Close(fd)
		return nil, fmt.Errorf("loop: dial %s: %w", addr, err)
	}
	c := &Conn{l: l, fd: fd, h: h, mask: unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP}
	if err := l.watch(fd, c.mask, unix.EPOLL_CTL_ADD); err != nil {
		unix.Close(fd)
		return nil, err
	}
	l.conns[fd] = c
	l.held++
	c.dial = l.After(timeoutUs, func() {
		if !c.up {
			c.fail(ErrTimeout)
		}
	})
	return c, nil
}

// tune sets what every connection wants: small messages go out at once, and a
// peer that vanished without a word is found out. A system that refuses any of
// this still gives a usable connection.
func tune(fd int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 30)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 10)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 3)
}

// SetKeepAlive has the system ask the other side's for a sign after so many seconds without one, and
// twice more a second apart; a connection that shows none ends.
func (c *Conn) KeepAlive(seconds int) error {
	for option, value := range map[int]int{unix.TCP_KEEPIDLE: seconds, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: 3} {
		if err := unix.SetsockoptInt(c.fd, unix.IPPROTO_TCP, option, value); err != nil {
			return fmt.Errorf("loop: keepalive: %w", err)
		}
	}
	return nil
}

// LastAckAge is how long ago, in microseconds, the other side's system last gave a sign that it
// holds the connection; false where the system does not tell.
func (c *Conn) LastAckAge() (ago int64, ok bool) {
	if !c.IsUp() {
		return 0, false
	}
	info, err := unix.GetsockoptTCPInfo(c.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil || info.State != tcpEstablished {
		return 0, false
	}
	return int64(info.Last_ack_recv) * 1000, true
}

// tcpEstablished is the state of a connection that is up, as the system numbers them.
const tcpEstablished = 1

// IsUp reports whether the connection is established and not closed.
func (c *Conn) IsUp() bool { return c != nil && c.up && !c.closed }

// IsClosed reports whether the connection is closed.
func (c *Conn) IsClosed() bool { return c == nil || c.closed }

// BytesWritten is the count of bytes handed to Write so far; Given is how many of them
// the system has accepted. What was not given has not reached the other side.
func (c *Conn) BytesWritten() int64 { return c.taken }

// BytesBuffered is how many bytes wait for the system to take them.
func (c *Conn) BytesBuffered() int { return len(c.out) }

// BytesSent is described at Taken.
func (c *Conn) BytesSent() int64 { return c.given }

// Write queues b, which is copied; the bytes go out at the end of the turn.
func (c *Conn) Write(b []byte) {
	if c.closed {
		return
	}
	c.taken += int64(len(b))
	c.out = append(c.out, b...)
	if !c.dirty {
		c.dirty = true
		c.l.dirty = append(c.l.dirty, c)
	}
}

// Flush hands what was written so far to the system now, ahead of what other
// connections have to write in this turn. It reports whether the system took all of
// it; an error is told to the Handler at the end of the turn.
func (c *Conn) Flush() bool {
	if c.closed || !c.up {
		return false
	}
	err := c.flush()
	return err == nil && len(c.out) == 0
}

// Close ends the connection; its Handler is not told.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.flush()
	c.drop()
}

// Abort ends the connection with a reset, and its Handler is not told. What the other
// side has not taken yet is thrown away on both sides: after a plain close the system
// would go on trying to deliver it, and a set-up would arrive long after its time.
func (c *Conn) Abort() {
	if c.closed {
		return
	}
	// A system that refuses this closes plainly, which still ends the connection.
	_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	c.drop()
}

func (c *Conn) drop() {
	if c.closed {
		return
	}
	c.closed = true
	c.dial.Stop()
	c.l.dead = append(c.l.dead, c)
	if !c.l.telling {
		c.l.reap()
	}
}

func (c *Conn) fail(err error) {
	if c.closed {
		return
	}
	c.drop()
	c.h.Closed(c, err)
	c.l.again = true
}

// reap gives descriptors back, which closes the connections: at once where the loop
// is not telling of events, so that a close is out before anything that is written
// after it; else as soon as all were told, so that a number in use again is not taken
// for the old connection.
func (l *Loop) reap() {
	for _, c := range l.dead {
		delete(l.conns, c.fd)
		unix.Close(c.fd)
		l.held--
		c.in, c.out = nil, nil
	}
	l.dead = l.dead[:0]
}

func (c *Conn) arm() {
	if c.closed {
		return
	}
	mask := uint32(unix.EPOLLIN | unix.EPOLLRDHUP)
	if len(c.out) > 0 || !c.up {
		mask |= unix.EPOLLOUT
	}
	if mask != c.mask {
		c.mask = mask
		_ = c.l.watch(c.fd, mask, unix.EPOLL_CTL_MOD)
	}
}

// flush writes what it can. It returns the error that ends the connection.
func (c *Conn) flush() error {
	for c.up && !c.closed && len(c.out) > 0 {
		n, err := unix.Write(c.fd, c.out)
		if n > 0 {
			c.given += int64(n)
			c.out = c.out[:copy(c.out, c.out[n:])]
		}
		switch err {
		case nil, unix.EINTR:
		case unix.EAGAIN:
			if len(c.out) > c.l.outMost {
				return ErrOverflow
			}
			c.behind = true
			c.arm()
			return nil
		default:
			return fmt.Errorf("loop: write: %w", err)
		}
	}
	if len(c.out) > c.l.outMost {
		return ErrOverflow
	}
	if len(c.out) == 0 && cap(c.out) > keptMost {
		c.out = nil
	}
	c.arm()
	return nil
}

func (c *Conn) ready(events uint32) {
	if !c.up {
		code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if err == nil && code != 0 {
			err = unix.Errno(code)
		}
		if err != nil {
			c.fail(fmt.Errorf("loop: connect: %w", err))
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		c.up = true
		c.dial.Stop()
		c.h.Opened(c)
		if c.closed {
			return
		}
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

// drained tells the Handler that nothing is left of what the system had not taken at once.
func (c *Conn) drained() {
	if c.closed || len(c.out) > 0 {
		return
	}
	c.behind = false
	if d, ok := c.h.(Drainer); ok {
		d.Drained(c)
	}
}

// read hands over what came; ended says that the other side has closed its end, which is
// then found in the same turn as what came before it: who has left already is not served.
func (c *Conn) read(ended bool) error {
	for i := 0; i < readsATurn && !c.closed; i++ {
		asked := c.l.clock()
		n, err := unix.Read(c.fd, c.l.buf)
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			c.emptyAt = asked
			return nil
		case err != nil:
			return fmt.Errorf("loop: read: %w", err)
		case n == 0:
			return ErrEOF
		}
		b := c.l.buf[:n]
		if len(c.in) > 0 {
			c.in = append(c.in, b...)
			b = c.in
		}
		used, err := c.h.Data(c, b)
		if err != nil {
			return err
		}
		if c.closed {
			return nil
		}
		c.in = append(c.in[:0], b[used:]...)
		if len(c.in) == 0 && cap(c.in) > keptMost {
			c.in = nil
		}
		if n < len(c.l.buf) && !ended {
			c.emptyAt = asked
			return nil
		}
	}
	c.left = c.l.polls
	return nil
}
