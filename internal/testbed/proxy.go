package testbed

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// This file owns the path between an orchestrator and one worker, as a proxy that a test
// delays and partitions. It acts as a network does: what is sent into a partition waits in
// the sender and arrives once that heals, unless the sender resets its connection, which
// takes it back; the other side learns nothing of a reset during a partition, and takes its
// connection for open; no connection comes up during a partition.

const (
	proxyBuffer     = 16 << 10 // bytes of one read
	maxSegments     = 10_000   // in flight in one connection
	normalBacklog   = 1024
	backlogFullTime = 50 * time.Millisecond // after which a dial that does not come up shows a full backlog
)

// Proxy forwards connections to one address.
type Proxy struct {
	listener *net.TCPListener
	target   string
	attempts *AttemptLog

	mu          sync.Mutex
	changed     *sync.Cond // partitioned or healed, or closed
	delay       time.Duration
	partitioned bool
	muted       bool // what the worker sends waits
	closed      bool
	returned    int                 // reads from the worker that were handed on so far
	stranded    map[net.Conn]bool   // connections that carry nothing any more
	fillers     map[string]net.Conn // fill the backlog during a partition, by local address
	connections []net.Conn
}

// NewProxy forwards to a worker, whose list entries name the proxy's address from now on.
func NewProxy(t Host, w *Worker) *Proxy {
	proxy := newProxy(t, w.listener.Addr().String(), w.Attempts)
	w.proxyAddress = proxy.Addr()
	return proxy
}

// NewProxyTo forwards to an address.
func NewProxyTo(t Host, addr string) *Proxy { return newProxy(t, addr, nil) }

func newProxy(t Host, target string, attempts *AttemptLog) *Proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{listener: listener.(*net.TCPListener), target: target, attempts: attempts, fillers: map[string]net.Conn{}}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	t.Cleanup(p.close)
	return p
}

// Addr is where it listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

func (p *Proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed, p.partitioned, p.muted = true, false, false
	p.changed.Broadcast()
	CloseQuietly(p.listener)
	for _, conn := range p.connections {
		CloseQuietly(conn)
	}
}

// Strand lets the connections that are open stay so and carry nothing any more. New ones
// are as before.
func (p *Proxy) Strand() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stranded = map[net.Conn]bool{}
	for _, conn := range p.connections {
		p.stranded[conn] = true
	}
}

// Mute lets what the worker sends wait until Unmute; what is sent to it arrives.
func (p *Proxy) Mute() { p.setMuted(true) }

// Unmute is described at Mute.
func (p *Proxy) Unmute() { p.setMuted(false) }

func (p *Proxy) setMuted(muted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.muted = muted
	p.changed.Broadcast()
}

// RefuseConnections refuses new connections and resets the open ones.
func (p *Proxy) RefuseConnections(t Host) {
	Refuse(t, p.listener)
	p.ResetConnections()
}

// ResetConnections resets the open connections, on both sides. New ones are as before.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.connections {
		ResetConnection(conn)
	}
	p.connections = nil
}

// Delay sets how long messages to the worker are on their way.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Partition partitions both sides: nothing passes in either direction, and no connection comes up.
func (p *Proxy) Partition(t Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned = true
	p.setAcceptDeadline(t, time.Unix(1, 0)) // accept stops
	setBacklog(t, p.listener, 0)
	for {
		conn, err := net.DialTimeout("tcp", p.listener.Addr().String(), backlogFullTime)
		if err != nil {
			return // the backlog is full
		}
		p.fillers[conn.LocalAddr().String()] = conn
	}
}

// Heal ends a partition.
func (p *Proxy) Heal(t Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	setBacklog(t, p.listener, normalBacklog)
	p.setAcceptDeadline(t, time.Time{})
	p.partitioned = false
	p.changed.Broadcast()
}

func (p *Proxy) setAcceptDeadline(t Host, deadline time.Time) {
	if err := p.listener.SetDeadline(deadline); err != nil {
		t.Fatal(err)
	}
}

// waitHealed waits for the end of a partition; it returns false once the proxy is closed.
func (p *Proxy) waitHealed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.partitioned {
		p.changed.Wait()
	}
	return !p.closed
}

func (p *Proxy) waitUnmuted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.muted {
		p.changed.Wait()
	}
}

// carries waits for the end of a partition; it reports whether a connection still carries
// something.
func (p *Proxy) carries(conn net.Conn) bool {
	if !p.waitHealed() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stranded[conn]
}

func (p *Proxy) isPartitioned() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.partitioned
}

func (p *Proxy) currentDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay
}

// Returned is how many reads from the worker were handed on to the orchestrator so far.
func (p *Proxy) Returned() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.returned
}

// accept forwards connections until the proxy is closed.
func (p *Proxy) accept() {
	for p.waitHealed() {
		from, err := p.listener.Accept()
		if err != nil {
			continue
		}
		if filler := p.takeFiller(from); filler != nil {
			CloseQuietly(filler)
			CloseQuietly(from)
			continue
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			ResetConnection(from)
			continue
		}
		p.mu.Lock()
		p.connections = append(p.connections, from, to)
		p.mu.Unlock()
		p.attempts.connected(to.LocalAddr().String(), func() bool { return closedByPeer(from.(*net.TCPConn)) })
		go p.forward(from, to)
		go p.backward(from, to)
	}
}

// takeFiller returns the far end of an accepted connection that filled the backlog, or nil.
func (p *Proxy) takeFiller(accepted net.Conn) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	address := accepted.RemoteAddr().String()
	filler := p.fillers[address]
	delete(p.fillers, address)
	return filler
}

// segment is what was read at once, and when; or the error that ended the reading.
type segment struct {
	at    time.Time
	bytes []byte
	err   error
}

// forward carries what the orchestrator sends.
func (p *Proxy) forward(from, to net.Conn) {
	segments := make(chan segment, maxSegments)
	reset := make(chan struct{})
	go p.readSegments(from, to, segments, reset)
	for next := range segments {
		time.Sleep(time.Until(next.at.Add(p.currentDelay())))
		wasPartitioned := p.isPartitioned()
		if !p.carries(from) {
			return
		}
		select {
		case <-reset:
			if !wasPartitioned {
				ResetConnection(to)
			} // else the worker learns nothing of it, and what was on its way is lost
			return
		default:
		}
		if next.err != nil {
			CloseQuietly(to)
			return
		}
		_, _ = to.Write(next.bytes) // backward notices the worker's end
	}
}

// readSegments reads what the orchestrator sends, to the end of its connection. It closes
// reset where that end is a reset.
func (p *Proxy) readSegments(from, to net.Conn, segments chan<- segment, reset chan<- struct{}) {
	for {
		buffer := make([]byte, proxyBuffer)
		n, err := from.Read(buffer)
		if n > 0 {
			segments <- segment{at: time.Now(), bytes: buffer[:n]}
		}
		if err != nil {
			p.attempts.connectionClosed(to.LocalAddr().String())
			if errors.Is(err, syscall.ECONNRESET) {
				close(reset)
			}
			segments <- segment{at: time.Now(), err: err}
			return
		}
	}
}

// backward carries what the worker sends. What comes for a connection that is gone is lost.
func (p *Proxy) backward(from, to net.Conn) {
	for {
		buffer := make([]byte, proxyBuffer)
		n, err := to.Read(buffer)
		p.waitUnmuted()
		if !p.carries(from) {
			return
		}
		if err != nil {
			CloseQuietly(from)
			return
		}
		_, _ = from.Write(buffer[:n]) // forward notices the orchestrator's end
		p.mu.Lock()
		p.returned++
		p.mu.Unlock()
	}
}
