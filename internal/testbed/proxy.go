package testbed

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// This file owns the way between an orchestrator and one minion, as a relay that a
// test delays and cuts. It acts as a network does: what is sent into a cut waits in the
// sender and arrives once that heals, unless the sender resets its connection, which
// takes it back; the other side hears nothing of a reset that met a cut, and believes
// in its connection; no connection comes up during a cut.

// Proxy is a relay to one address.
type Proxy struct {
	ln       *net.TCPListener
	to       string
	attempts *AttemptLog
	mu       sync.Mutex
	turned   *sync.Cond // cut or healed, or closed
	delay    time.Duration
	cut      bool
	done     bool
	stranded map[net.Conn]bool   // connections that carry nothing any more
	fillers  map[string]net.Conn // keep the queue of callers full during a cut
	all      []net.Conn
}

// NewProxy relays to a minion, which is told to the orchestrator by the link's address
// from now on.
func NewProxy(t Host, m *Worker) *Proxy {
	l := newProxy(t, m.ln.Addr().String(), m.Attempts)
	m.via = l.Addr()
	return l
}

// NewProxyTo relays to an address.
func NewProxyTo(t Host, addr string) *Proxy { return newProxy(t, addr, nil) }

func newProxy(t Host, to string, attempts *AttemptLog) *Proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &Proxy{ln: ln.(*net.TCPListener), to: to, attempts: attempts, fillers: map[string]net.Conn{}}
	l.turned = sync.NewCond(&l.mu)
	go l.accept()
	t.Cleanup(l.close)
	return l
}

// Addr is where it listens.
func (l *Proxy) Addr() string { return l.ln.Addr().String() }

func (l *Proxy) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done, l.cut = true, false
	l.turned.Broadcast()
	l.ln.Close()
	for _, c := range l.all {
		c.Close()
	}
}

// Strand lets the connections that are there stay open and carry nothing any more. New
// ones are as before.
func (l *Proxy) Strand() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stranded = map[net.Conn]bool{}
	for _, c := range l.all {
		l.stranded[c] = true
	}
}

// carries waits until nothing is cut; it reports whether a connection still carries something.
func (l *Proxy) carries(c net.Conn) bool {
	if !l.through() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.stranded[c]
}

// Delay sets how long messages to the minion are on their way.
func (l *Proxy) Delay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Cut lets nothing through, in either direction, and no connection come up.
func (l *Proxy) Cut(t Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	l.ln.SetDeadline(time.Unix(1, 0)) // whoever accepts stops
	l.backlog(t, 0)
	for {
		c, err := net.DialTimeout("tcp", l.ln.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return // the queue is full
		}
		l.fillers[c.LocalAddr().String()] = c
	}
}

// Heal ends a cut.
func (l *Proxy) Heal(t Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backlog(t, 1024)
	l.ln.SetDeadline(time.Time{})
	l.cut = false
	l.turned.Broadcast()
}

func (l *Proxy) backlog(t Host, n int) {
	raw, err := l.ln.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), n) }); err != nil {
		t.Fatal(err)
	}
}

// through waits until nothing is cut; it reports whether the link is still there.
func (l *Proxy) through() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.cut {
		l.turned.Wait()
	}
	return !l.done
}

func (l *Proxy) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *Proxy) accept() {
	for l.through() {
		a, err := l.ln.Accept()
		if err != nil {
			continue
		}
		l.mu.Lock()
		filler := l.fillers[a.RemoteAddr().String()]
		delete(l.fillers, a.RemoteAddr().String())
		l.mu.Unlock()
		if filler != nil {
			filler.Close()
			a.Close()
			continue
		}
		b, err := net.Dial("tcp", l.to)
		if err != nil {
			a.(*net.TCPConn).SetLinger(0)
			a.Close()
			continue
		}
		l.mu.Lock()
		l.all = append(l.all, a, b)
		l.mu.Unlock()
		l.attempts.opened(b.LocalAddr().String(), func() bool { return shut(a.(*net.TCPConn)) })
		go l.forth(a, b)
		go l.back(a, b)
	}
}

// shut reports whether the other side of a connection has closed it, by what the system
// knows and not by what was read.
func shut(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	state := uint8(0)
	if err := raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	}); err != nil {
		return true
	}
	const established = 1
	return state != established
}

// parcel is what was read at once, and when; or the end.
type parcel struct {
	at  time.Time
	b   []byte
	err error
}

// forth carries what the orchestrator sends.
func (l *Proxy) forth(a, b net.Conn) {
	parcels := make(chan parcel, 10_000)
	reset := make(chan struct{})
	go func() {
		for {
			buf := make([]byte, 16<<10)
			n, err := a.Read(buf)
			if n > 0 {
				parcels <- parcel{at: time.Now(), b: buf[:n]}
			}
			if err != nil {
				l.attempts.closed(b.LocalAddr().String())
				if errors.Is(err, syscall.ECONNRESET) {
					close(reset)
				}
				parcels <- parcel{at: time.Now(), err: err}
				return
			}
		}
	}()
	for p := range parcels {
		l.mu.Lock()
		delay := l.delay
		l.mu.Unlock()
		time.Sleep(time.Until(p.at.Add(delay)))
		wasCut := l.isCut()
		if !l.carries(a) {
			return
		}
		select {
		case <-reset:
			if !wasCut {
				b.(*net.TCPConn).SetLinger(0)
				b.Close()
			} // else the minion hears nothing of it, and what lay in between is gone
			return
		default:
		}
		if p.err != nil {
			b.Close()
			return
		}
		b.Write(p.b)
	}
}

// back carries what the minion sends. What comes for a connection that is gone is lost.
func (l *Proxy) back(a, b net.Conn) {
	for {
		buf := make([]byte, 16<<10)
		n, err := b.Read(buf)
		if !l.carries(a) {
			return
		}
		if err != nil {
			a.Close()
			return
		}
		a.Write(buf[:n])
	}
}
