// Package loop owns the epoll descriptor, every socket, their buffers, the
// timers and the descriptor budget. One goroutine runs it; nothing else may
// touch what it owns, except through [Loop.Post]. It knows no protocol and must
// never block: not on a socket, not on another goroutine. A descriptor is given
// back in one place only, [Loop.reap].
//
// What a user writes goes out at the end of the turn, in the order of connections.
// What must be out before anything else of the turn is handed to the system at
// once: by [Conn.Push], and by a close, which is not put off either.
package eventloop

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// The errors that a Handler may be told of.
var (
	ErrTimeout  = errors.New("loop: connection not established in time")
	ErrEOF      = errors.New("loop: closed by the other side")
	ErrOverflow = errors.New("loop: the other side does not read")
	ErrBudget   = errors.New("loop: no descriptor left in the budget")
)

const (
	readSize   = 64 << 10
	readsATurn = 4       // reads of one connection before others have their turn
	outMost    = 1 << 20 // unread by one connection, unless Unread says less
	keptMost   = 4 << 10 // room that an empty buffer keeps
	eventsMost = 256
)

// Loop is one epoll loop.
type Loop struct {
	ep, wake  int
	telling   bool // events are being told: a number given back now could be taken for its old owner
	conns     map[int]*Conn
	listeners map[int]*listener
	packets   map[int]*PacketConn
	dead      []*Conn
	dirty     []*Conn
	timers    timers
	began     time.Time
	now       int64
	budget    int
	held      int
	outMost   int
	buf       []byte
	again     bool
	stop      bool
	askedAt   int64 // when the system last told of all that was ready
	toldAt    int64 // and when it did before: what is ready now came since
	polls     int64 // that told of all
	heardAt   int64 // when the last poll was asked of which all that it told was read
	heardPoll int64 // its number among polls
	postedAt  int64 // when what was posted was last taken
	took      int64 // how long the last turn took

	mu     sync.Mutex
	posted []func()
}

// New returns a loop that holds at most budget sockets.
func New(budget int) (*Loop, error) {
	ep, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("loop: epoll: %w", err)
	}
	wake, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		unix.Close(ep)
		return nil, fmt.Errorf("loop: eventfd: %w", err)
	}
	l := &Loop{ep: ep, wake: wake, conns: map[int]*Conn{}, listeners: map[int]*listener{}, packets: map[int]*PacketConn{},
		budget: budget, outMost: outMost, buf: make([]byte, readSize), began: time.Now()}
	l.tick()
	if err := l.watch(wake, unix.EPOLLIN, unix.EPOLL_CTL_ADD); err != nil {
		unix.Close(ep)
		unix.Close(wake)
		return nil, err
	}
	return l, nil
}

// tick reads the clock. It is the Unix clock as it stood at the start, carried on
// by the monotonic one: a step of the system's clock would fire all timers at once,
// or none for as long as it went back.
func (l *Loop) tick() { l.now = l.clock() }

// clock reads the time amid a turn.
func (l *Loop) clock() int64 { return l.began.UnixMicro() + time.Since(l.began).Microseconds() }

// TurnDuration is how long the last turn took, from what was ready to what was written.
func (l *Loop) TurnDuration() int64 { return l.took }

// LastPostAt is when what other goroutines had posted was last taken.
func (l *Loop) LastPostAt() int64 { return l.postedAt }

// Clock reads the time amid a turn, where [Loop.Now] is when the turn began.
func (l *Loop) Clock() int64 { return l.clock() }

// Now is the Unix time of this turn, in microseconds.
func (l *Loop) Now() int64 { return l.now }

// FreeDescriptors is how many sockets may still be opened.
func (l *Loop) FreeDescriptors() int { return l.budget - l.held }

// SetMaxBuffered sets how many bytes one connection may leave unread, beyond what the system
// holds, before it is cut off.
func (l *Loop) SetMaxBuffered(most int) { l.outMost = most }

// RunAgain makes the loop take another turn without waiting.
func (l *Loop) RunAgain() { l.again = true }

// Stop ends Run after this turn.
func (l *Loop) Stop() { l.stop = true }

// Post hands f to the loop from any goroutine.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	var one = [8]byte{1}
	// A full counter means that a wake-up is under way already.
	_, _ = unix.Write(l.wake, one[:])
}

func (l *Loop) watch(fd int, mask uint32, op int) error {
	if err := unix.EpollCtl(l.ep, op, fd, &unix.EpollEvent{Events: mask, Fd: int32(fd)}); err != nil {
		return fmt.Errorf("loop: epoll_ctl: %w", err)
	}
	return nil
}

// Run takes turns until Stop. In each it gathers what is ready, calls turn once
// to decide on all of it, and writes what came of that.
func (l *Loop) Run(turn func(now int64)) error {
	events := make([]unix.EpollEvent, eventsMost)
	for !l.stop {
		n, err := unix.EpollWait(l.ep, events, l.timeout())
		if err != nil && err != unix.EINTR {
			return fmt.Errorf("loop: epoll_wait: %w", err)
		}
		l.again = false
		l.tick()
		whole := err == nil && n < len(events) // else some that are ready may not have been told
		if whole {
			l.toldAt, l.askedAt = l.askedAt, l.now
			l.polls++
		}
		l.telling = true
		for _, e := range events[:max(0, n)] {
			fd := int(e.Fd)
			switch {
			case fd == l.wake:
				var b [8]byte
				_, _ = unix.Read(l.wake, b[:])
			case l.listeners[fd] != nil:
				l.acceptAll(l.listeners[fd])
			case l.packets[fd] != nil:
				l.packets[fd].ready()
			default:
				if c := l.conns[fd]; c != nil && !c.closed {
					c.ready(e.Events)
				}
			}
		}
		l.telling = false
		l.reap()
		if whole {
			l.heardAt, l.heardPoll = l.askedAt, l.polls
		} else if n == len(events) {
			events = make([]unix.EpollEvent, 2*len(events)) // the next one tells of all
		}
		l.mu.Lock()
		posted := l.posted
		l.posted, l.postedAt = nil, l.clock()
		l.mu.Unlock()
		for _, f := range posted {
			f()
		}
		l.due()
		turn(l.now)
		l.flushAll()
		l.took = l.clock() - l.now
	}
	return nil
}

func (l *Loop) flushAll() {
	for i := 0; i < len(l.dirty); i++ {
		c := l.dirty[i]
		c.dirty = false
		if c.closed {
			continue
		}
		if err := c.flush(); err != nil {
			c.fail(err)
			continue
		}
		if c.behind { // the other side read on within the turn: no event will tell
			c.drained()
		}
	}
	l.dirty = l.dirty[:0]
}

// Close gives everything back.
func (l *Loop) Close() {
	for fd := range l.listeners {
		unix.Close(fd)
	}
	for fd := range l.packets {
		unix.Close(fd)
	}
	l.telling = true // the map is being walked
	for _, c := range l.conns {
		c.drop()
	}
	l.reap()
	unix.Close(l.wake)
	unix.Close(l.ep)
}
