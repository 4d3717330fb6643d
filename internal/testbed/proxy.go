package testbed

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// This file owns the path between an orchestrator and one worker or discovery: a proxy that a test can delay and
// partition. The comments below say "the worker" for the target of the proxy. During a partition, the proxy behaves
// like a network:
//   - Data that a sender writes is held back and arrives once the partition heals. If the orchestrator resets the
//     connection first, its data is discarded.
//   - A reset by the orchestrator never reaches the worker, where the connection still looks open. Once the partition has
//     healed, the first data that the worker writes on it is lost and answered with a reset.
//   - A close or a reset by the worker reaches the orchestrator as a close once the partition heals.
//   - No connection is established.

const (
	proxyBuffer = 16 << 10 // maximum size of one read in bytes
	maxSegments = 10_000   // maximum number of segments per connection that wait to be forwarded
)

// Proxy forwards connections to one address and injects network faults.
type Proxy struct {
	listener *net.TCPListener
	target   string
	attempts *AttemptLog

	mu          sync.Mutex
	changed     *sync.Cond // signalled when partitioned, muted or closed changes
	delay       time.Duration
	partitioned bool
	muted       bool // data from the worker is held back
	closed      bool
	returned    int // number of reads from the worker that were forwarded
	// stranded contains the orchestrator's side of each connection on which nothing is forwarded any more: it was open
	// when Blackhole was called, or the orchestrator reset it during a partition.
	stranded    map[net.Conn]bool
	halfOpen    map[net.Conn]bool // those of the stranded connections that the orchestrator reset during a partition
	connections []net.Conn        // both sides of each connection
}

// NewProxy returns a proxy that forwards to a worker. The worker's list entries then have the
// proxy's address.
func NewProxy(t Host, w *Worker) *Proxy {
	proxy := newProxy(t, w.listener.Addr().String(), w.attempts)
	w.useProxy(proxy.Addr())
	return proxy
}

// NewProxyTo returns a proxy that forwards to an address.
func NewProxyTo(t Host, addr string) *Proxy { return newProxy(t, addr, nil) }

func newProxy(t Host, target string, attempts *AttemptLog) *Proxy {
	listener, err := ListenLocal()
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{listener: listener.(*net.TCPListener), target: target, attempts: attempts, stranded: map[net.Conn]bool{},
		halfOpen: map[net.Conn]bool{}}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	t.Cleanup(p.close)
	return p
}

// Addr returns the address at which the proxy listens.
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

// Blackhole stops all forwarding on the connections that are open now: neither their data nor their end reaches the
// other side. New connections are not affected.
func (p *Proxy) Blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.connections {
		p.stranded[conn] = true
	}
}

// Mute holds back all data from the worker until Unmute. Data to the worker is still forwarded.
func (p *Proxy) Mute() { p.setMuted(true) }

// Unmute ends the effect of Mute and forwards the data that was held back.
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

// ResetConnections resets both sides of the open connections. New connections are not affected.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.connections {
		ResetConnection(conn)
	}
	p.connections = nil
}

// Delay sets the delay of data to the worker.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Partition separates the orchestrator from the worker until Heal: no data passes in either
// direction, and no connection is established. A connection that the kernel established before the partition
// but that the proxy has not accepted yet stays open, and its data is held back.
func (p *Proxy) Partition(t Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned = true
	dropPackets(t, p.listener)
}

// Heal ends a partition. Data that was held back is then forwarded, except on connections that the orchestrator has
// reset.
func (p *Proxy) Heal(t Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.connections {
		if isReset(conn) {
			p.stranded[conn], p.halfOpen[conn] = true, true
		}
	}
	receivePackets(t, p.listener)
	p.partitioned = false
	p.changed.Broadcast()
}

// waitHealed waits for the end of a partition. It returns false if the proxy is closed.
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

// isHalfOpen reports whether only the worker still considers a connection open, because the orchestrator reset it during a
// partition that has healed.
func (p *Proxy) isHalfOpen(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.halfOpen[conn]
}

// waitForwarding waits for the end of a partition. It then reports whether the proxy still forwards data of the
// given connection.
func (p *Proxy) waitForwarding(conn net.Conn) bool {
	if !p.waitHealed() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stranded[conn]
}

func (p *Proxy) currentDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay
}

// ForwardedReads returns the number of reads from the worker that were forwarded to the orchestrator.
func (p *Proxy) ForwardedReads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.returned
}

// accept forwards connections until the listener is closed or refuses connections.
func (p *Proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		if !p.add(from) {
			continue
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			ResetConnection(from)
			continue
		}
		p.mu.Lock()
		p.connections = append(p.connections, to)
		p.mu.Unlock()
		p.attempts.connected(to.LocalAddr().String(), func() bool { return closedByPeer(from.(*net.TCPConn)) })
		go p.forward(from, to)
		go p.backward(from, to)
	}
}

// add registers an accepted connection and reports whether to forward it. A connection that the orchestrator has reset
// before is not forwarded, because a partition may have healed since the reset.
func (p *Proxy) add(from net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isReset(from) {
		CloseQuietly(from)
		return false
	}
	p.connections = append(p.connections, from)
	return true
}

// segment is the result of one read from the orchestrator: the time of the read, and either the data or the error
// that ended the connection.
type segment struct {
	at    time.Time
	bytes []byte
	err   error
}

// forward forwards data from the orchestrator to the worker. It forwards each segment once the delay
// has elapsed since the segment was read, and any partition has ended.
func (p *Proxy) forward(from, to net.Conn) {
	segments := make(chan segment, maxSegments)
	reset := make(chan struct{})
	go p.readSegments(from, to, segments, reset)
	for next := range segments {
		time.Sleep(time.Until(next.at.Add(p.currentDelay())))
		if !p.waitForwarding(from) {
			return
		}
		select {
		case <-reset:
			ResetConnection(to)
			return
		default:
		}
		if next.err != nil {
			// The orchestrator may still read what the worker sends before it notices.
			_ = to.(*net.TCPConn).CloseWrite() // an error means that the connection has ended
			return
		}
		_, _ = to.Write(next.bytes) // a write error is ignored: backward detects that the worker closed the connection
	}
}

// readSegments reads data from the orchestrator until the connection ends. It closes reset if
// the orchestrator resets the connection.
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

// backward forwards data from the worker to the orchestrator. Data for a connection that the
// orchestrator has closed is lost.
func (p *Proxy) backward(from, to net.Conn) {
	for {
		buffer := make([]byte, proxyBuffer)
		n, err := to.Read(buffer)
		p.waitUnmuted()
		if !p.waitForwarding(from) {
			if p.isHalfOpen(from) {
				ResetConnection(to)
			}
			return
		}
		if err != nil {
			CloseQuietly(from)
			return
		}
		_, _ = from.Write(buffer[:n]) // a write error is ignored: forward detects that the orchestrator closed the connection
		p.mu.Lock()
		p.returned++
		p.mu.Unlock()
	}
}
