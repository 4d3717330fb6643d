// Package eventloop owns the epoll descriptor, every socket, their buffers, the timers and the
// descriptor budget. One goroutine runs the loop; nothing else may touch what it owns, except through
// [Loop.Post]. It knows no protocol and must never block: not on a socket, not on another goroutine.
// The descriptor of a connection is closed in one place only, [Loop.reap].
//
// What a user writes goes out at the end of the turn, in the order in which connections were first
// written to. What must be sent before anything else of the turn is handed to the system at once: by
// [Conn.Flush], and by a close, which is not put off either.
//
// Times are in microseconds of the Unix clock.
package eventloop

// This file owns the loop itself: its start and end, its turns, and what other goroutines post to it.

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	millisecond = int64(1_000)

	// readBufferSize bounds one read of a connection.
	readBufferSize = 64 << 10
	// defaultMaxBuffered bounds what one connection may leave unread, unless SetMaxBuffered sets another bound.
	defaultMaxBuffered = 1 << 20
	// initialEvents is how many ready descriptors one poll reports at first; it grows on demand.
	initialEvents = 256
	// eventfdSize is the size in bytes of the counter that is read from and written to an eventfd.
	eventfdSize = 8
)

// Loop is one epoll loop.
type Loop struct {
	epollFD     int
	wakeFD      int // an eventfd that is written to by Post
	conns       map[int]*Conn
	listeners   map[int]*listener
	packetConns map[int]*PacketConn
	timers      timerHeap

	maxDescriptors  int
	openDescriptors int
	maxBuffered     int    // bytes that one connection may leave unread
	readBuffer      []byte // of all connections, as one is read at a time

	unreaped  []*Conn // closed connections whose descriptors are still open
	unflushed []*Conn // connections that were written to in this turn
	// dispatching says that events are being dispatched. A descriptor that was closed now could be opened again for
	// another connection, which would then get the events of the old one.
	dispatching bool

	startedAt    time.Time
	now          int64 // when this turn began
	turnDuration int64 // of the last turn
	polls        pollHistory
	runAgain     bool // take the next turn without waiting
	stopping     bool

	lastPostAt int64 // when what was posted was last taken
	mu         sync.Mutex
	posted     []func() // guarded by mu
}

// New returns a loop that holds at most maxDescriptors sockets. Close releases it.
func New(maxDescriptors int) (*Loop, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, &OpError{Op: "epoll", Err: err}
	}
	wakeFD, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		closeFD(epollFD)
		return nil, &OpError{Op: "eventfd", Err: err}
	}
	l := &Loop{
		epollFD:        epollFD,
		wakeFD:         wakeFD,
		conns:          map[int]*Conn{},
		listeners:      map[int]*listener{},
		packetConns:    map[int]*PacketConn{},
		maxDescriptors: maxDescriptors,
		maxBuffered:    defaultMaxBuffered,
		readBuffer:     make([]byte, readBufferSize),
		startedAt:      time.Now(),
	}
	l.tick()
	if err := l.epollCtl(unix.EPOLL_CTL_ADD, wakeFD, unix.EPOLLIN); err != nil {
		closeFD(epollFD)
		closeFD(wakeFD)
		return nil, err
	}
	return l, nil
}

// tick sets the time of this turn.
func (l *Loop) tick() { l.now = l.Clock() }

// Clock reads the time amid a turn, where [Loop.Now] is when the turn began. It is the Unix clock as it stood at the
// start, carried on by the monotonic one: a step of the system's clock would fire all timers at once, or none for
// as long as it went back.
func (l *Loop) Clock() int64 {
	return l.startedAt.UnixMicro() + time.Since(l.startedAt).Microseconds()
}

// Now is the Unix time at which this turn began, in microseconds.
func (l *Loop) Now() int64 { return l.now }

// TurnDuration is how long the last turn took, in microseconds, from the poll to the last write.
func (l *Loop) TurnDuration() int64 { return l.turnDuration }

// LastPostAt is when what other goroutines had posted was last taken.
func (l *Loop) LastPostAt() int64 { return l.lastPostAt }

// FreeDescriptors is how many sockets may still be opened.
func (l *Loop) FreeDescriptors() int { return l.maxDescriptors - l.openDescriptors }

// SetMaxBuffered sets how many bytes one connection may leave unread, beyond what the system buffers, before it
// is closed with [ErrOverflow].
func (l *Loop) SetMaxBuffered(maxBytes int) { l.maxBuffered = maxBytes }

// RunAgain makes the loop take another turn without waiting.
func (l *Loop) RunAgain() { l.runAgain = true }

// Stop ends Run after this turn.
func (l *Loop) Stop() { l.stopping = true }

// Post has the loop call f in its next turn. Any goroutine may call it.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	one := [eventfdSize]byte{1}         // any value but 0, in any byte order, wakes the loop
	_, _ = unix.Write(l.wakeFD, one[:]) // a full counter means that the loop is being woken already
}

// Run takes turns until Stop. In each it gathers what is ready, calls turn once to decide on all of it, and writes
// what came of that.
func (l *Loop) Run(turn func(now int64)) error {
	events := make([]unix.EpollEvent, initialEvents)
	for !l.stopping {
		n, err := unix.EpollWait(l.epollFD, events, l.pollTimeout())
		if err != nil && err != unix.EINTR {
			return &OpError{Op: "epoll_wait", Err: err}
		}
		l.runAgain = false
		l.tick()
		complete := err == nil && n < len(events) // else some that are ready may not be reported
		if complete {
			l.polls.begin(l.now)
		}
		l.dispatchAll(events[:max(0, n)])
		if complete {
			l.polls.processed()
		} else if n == len(events) {
			events = make([]unix.EpollEvent, 2*len(events)) // the next poll reports all
		}
		l.runPosted()
		l.fireTimers()
		turn(l.now)
		l.flushAll()
		l.turnDuration = l.Clock() - l.now
	}
	return nil
}

// dispatchAll hands each event to what is ready, and then closes the descriptors of the connections that ended.
func (l *Loop) dispatchAll(events []unix.EpollEvent) {
	l.dispatching = true
	for _, event := range events {
		l.dispatch(int(event.Fd), event.Events)
	}
	l.dispatching = false
	l.reap()
}

func (l *Loop) dispatch(fd int, events uint32) {
	if fd == l.wakeFD {
		var counter [eventfdSize]byte
		_, _ = unix.Read(l.wakeFD, counter[:]) // resets it; what was posted is taken in every turn
		return
	}
	if listener := l.listeners[fd]; listener != nil {
		l.acceptAll(listener)
		return
	}
	if packetConn := l.packetConns[fd]; packetConn != nil {
		packetConn.receiveAll()
		return
	}
	if c := l.conns[fd]; c != nil && !c.closed {
		c.ready(events)
	}
}

// runPosted calls what other goroutines have posted.
func (l *Loop) runPosted() {
	l.mu.Lock()
	posted := l.posted
	l.posted, l.lastPostAt = nil, l.Clock()
	l.mu.Unlock()
	for _, f := range posted {
		f()
	}
}

// flushAll writes what was written to connections in this turn, also by the handlers that it calls.
func (l *Loop) flushAll() {
	for i := 0; i < len(l.unflushed); i++ {
		c := l.unflushed[i]
		c.flushQueued = false
		if c.closed {
			continue
		}
		if err := c.flush(); err != nil {
			c.fail(err)
			continue
		}
		if c.awaitsDrain { // the other side read on within the turn: no event will report that
			c.drained()
		}
	}
	l.unflushed = l.unflushed[:0]
}

// Close closes all descriptors. Handlers are not notified.
func (l *Loop) Close() {
	for fd := range l.listeners {
		l.closeDescriptor(fd)
	}
	for fd := range l.packetConns {
		l.closeDescriptor(fd)
	}
	l.dispatching = true // connections are reaped after the loop over them
	for _, c := range l.conns {
		c.drop()
	}
	l.reap()
	closeFD(l.wakeFD)
	closeFD(l.epollFD)
}
