// Package eventloop implements an event loop on epoll. It owns the epoll descriptor, all sockets, their
// buffers, the timers and the descriptor budget. One goroutine runs the loop; other goroutines may access
// the resources of the loop only through [Loop.Post]. The package implements no protocol and never blocks
// on a socket. Its only lock protects the posted functions and the wake descriptor. It is held only while a
// function is added and the loop is woken, while all functions are taken, and while the wake descriptor is closed.
// Once epoll watches a connection, its descriptor is closed in one place only, [Loop.reap].
//
// One iteration of the loop is called a turn. Output is sent at the end of the turn, in the order in
// which connections were first written to. Output that must be sent before all other output of the turn
// is passed to the kernel at once by [Conn.Flush]. A close does not wait for the end of the turn either.
//
// Times are Unix times in microseconds.
package eventloop

// This file contains the loop itself: its creation and shutdown, its turns, and the functions that other goroutines
// post to it.

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	millisecond = int64(1_000) // in microseconds

	// readBufferSize is the maximum number of bytes that one read of a connection returns.
	readBufferSize = 64 << 10
	// defaultMaxBuffered is the maximum size of the unsent output of one connection, in bytes.
	// SetMaxBuffered replaces this limit.
	defaultMaxBuffered = 1 << 20
	// initialEvents is the initial size of the buffer of events, which is the number of ready descriptors
	// that a poll can report. The buffer grows on demand.
	initialEvents = 256
	// eventfdSize is the size in bytes of the counter that is read from and written to an eventfd.
	eventfdSize = 8
)

// Loop is an event loop that runs on one epoll descriptor.
type Loop struct {
	epollFD     int
	wakeFD      int // eventfd that Post writes to
	conns       map[int]*Conn
	listeners   map[int]*listener
	packetConns map[int]*PacketConn
	timers      timerHeap

	maxDescriptors  int
	openDescriptors int
	maxBuffered     int    // maximum size of the unsent output of one connection, in bytes
	readBuffer      []byte // used for the reads of all connections, because only one connection is read at a time

	takeInputBuffer []byte // used by Conn.TakeInput; nil until its first call

	unreaped  []*Conn // closed connections whose descriptors are still open
	unflushed []*Conn // connections that were written to in this turn
	// dispatching is true while events are being dispatched. During this time, the descriptors of dropped
	// connections stay open. Otherwise a new connection could get the number of a closed descriptor, and with
	// it the events of the old connection.
	dispatching bool

	startedAt    time.Time
	now          int64 // time at which this turn began
	turnDuration int64 // duration of the last turn in microseconds
	polls        pollHistory
	runAgain     bool // true if the next turn starts without waiting for events
	stopping     bool

	postsTakenAt int64 // time at which the loop last took the posted functions
	mu           sync.Mutex
	posted       []func() // guarded by mu
	closed       bool     // guarded by mu; true once wakeFD is closed
}

// New returns a loop with a descriptor budget of maxDescriptors sockets. The budget limits how many connections are
// dialled and accepted. Listening sockets and UDP sockets count against it, but are opened even if it has no
// descriptor left. [Loop.Close] releases the resources of the loop.
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
	l.updateNow()
	if err := l.epollCtl(unix.EPOLL_CTL_ADD, wakeFD, unix.EPOLLIN); err != nil {
		closeFD(epollFD)
		closeFD(wakeFD)
		return nil, err
	}
	return l, nil
}

// updateNow updates the time that Now returns.
func (l *Loop) updateNow() { l.now = l.Clock() }

// Clock returns the current Unix time in microseconds, whereas [Loop.Now] returns the time at which the turn began.
// It adds the time elapsed on the monotonic clock to the wall-clock time at which the loop was created. If the loop
// followed the wall clock, a step forward could fire all timers at once, and a step back would delay every timer by
// the size of the step.
func (l *Loop) Clock() int64 {
	return l.startedAt.UnixMicro() + time.Since(l.startedAt).Microseconds()
}

// SystemClock returns the Unix time of the system's clock, in microseconds. It differs from Clock once the system's clock
// has been stepped.
func (l *Loop) SystemClock() int64 { return time.Now().UnixMicro() }

// Now returns the Unix time at which this turn began, in microseconds.
func (l *Loop) Now() int64 { return l.now }

// TurnDuration returns the duration of the last turn, in microseconds. A turn lasts from the return of its poll
// to its last write.
func (l *Loop) TurnDuration() int64 { return l.turnDuration }

// PostsTakenAt returns the Unix time, in microseconds, at which the loop last took the functions that other goroutines
// had posted. This time advances in every turn, even if no function was posted.
func (l *Loop) PostsTakenAt() int64 { return l.postsTakenAt }

// FreeDescriptors returns the number of sockets that may still be opened within the budget.
func (l *Loop) FreeDescriptors() int { return l.maxDescriptors - l.openDescriptors }

// SetMaxBuffered sets the maximum size of the unsent output of a connection, in bytes. Unsent output is output that
// the kernel has not accepted. If more is left after the loop has tried to send the output, the connection is closed
// with [ErrOverflow].
func (l *Loop) SetMaxBuffered(maxBytes int) { l.maxBuffered = maxBytes }

// RunAgain makes the loop start the next turn without waiting for events.
func (l *Loop) RunAgain() { l.runAgain = true }

// Stop makes Run return after this turn.
func (l *Loop) Stop() { l.stopping = true }

// Post makes the loop call f on the goroutine of the loop. The loop calls f in the current turn if it has not
// yet taken the posted functions of this turn, otherwise in the next turn. After [Loop.Close], Post does nothing. Any
// goroutine may call Post.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock() // held during the write, because wakeFD must not be closed before it
	if l.closed {
		return
	}
	l.posted = append(l.posted, f)
	one := [eventfdSize]byte{1}         // any value other than 0, in any byte order, wakes the loop
	_, _ = unix.Write(l.wakeFD, one[:]) // fails only if the counter is full, and then a wake-up is already pending
}

// Run runs turns until Stop is called. It returns an error if a poll fails. Each turn handles the events that its poll
// reported, the posted functions and the expired timers, then calls turn once with the time at which the turn began,
// and finally sends the output.
func (l *Loop) Run(turn func(now int64)) error {
	events := make([]unix.EpollEvent, initialEvents)
	for !l.stopping {
		n, err := unix.EpollWait(l.epollFD, events, l.pollTimeout())
		if err != nil && err != unix.EINTR {
			return &OpError{Op: "epoll_wait", Err: err}
		}
		l.runAgain = false
		l.updateNow()
		// A poll that was interrupted or that filled the buffer may have omitted ready descriptors, so it is not
		// complete.
		complete := err == nil && n < len(events)
		if complete {
			l.polls.recordPoll(l.now)
		}
		l.dispatchAll(events[:max(0, n)])
		if complete {
			l.polls.markProcessed()
		} else if n == len(events) {
			events = make([]unix.EpollEvent, 2*len(events)) // makes room for descriptors that may have been omitted
		}
		l.runPosted()
		l.fireTimers()
		turn(l.now)
		l.flushAll()
		l.turnDuration = l.Clock() - l.now
	}
	return nil
}

// dispatchAll dispatches each event to the owner of its descriptor, and then closes the descriptors of dropped
// connections.
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
		_, _ = unix.Read(l.wakeFD, counter[:]) // resets the counter; posted functions are taken in every turn
		return
	}
	if listener := l.listeners[fd]; listener != nil {
		if !listener.paused {
			l.acceptAll(listener)
		}
		return
	}
	if packetConn := l.packetConns[fd]; packetConn != nil {
		packetConn.receiveAll()
		return
	}
	if c := l.conns[fd]; c != nil && !c.closed {
		c.handleEvents(events)
	}
}

// runPosted calls the functions that other goroutines have posted.
func (l *Loop) runPosted() {
	l.mu.Lock()
	posted := l.posted
	l.posted, l.postsTakenAt = nil, l.Clock()
	l.mu.Unlock()
	for _, f := range posted {
		f()
	}
}

// flushAll sends the output of all connections that were written to in this turn. It may notify handlers, which may
// write further output. flushAll sends this output too.
func (l *Loop) flushAll() {
	for i := 0; i < len(l.unflushed); i++ {
		c := l.unflushed[i]
		c.flushQueued = false
		if c.closed {
			continue
		}
		if err := c.flush(); err != nil {
			c.failAfterInput(err)
			continue
		}
		// This flush may have sent the output that an earlier flush left over. Then the descriptor is no longer
		// watched for writability, and no event reports that the output is drained. The handler is therefore
		// notified here.
		if c.awaitsDrain {
			c.notifyDrained()
		}
	}
	l.unflushed = l.unflushed[:0]
}

// Close closes all descriptors of the loop. Handlers are not notified.
func (l *Loop) Close() {
	for fd := range l.listeners {
		l.closeDescriptor(fd)
	}
	for fd := range l.packetConns {
		l.closeDescriptor(fd)
	}
	l.dispatching = true // defers reap until all connections are dropped
	for _, c := range l.conns {
		c.drop()
	}
	l.reap()
	l.closeWakeFD()
	closeFD(l.epollFD)
}

// closeWakeFD closes the wake descriptor. A call of Post then no longer writes to it, because its number may belong to
// another descriptor of the process.
func (l *Loop) closeWakeFD() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	closeFD(l.wakeFD)
}
