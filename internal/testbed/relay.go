package testbed

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// This file owns the relay from one process to another, which forwards datagrams and connections at one port. During
// a cut, datagrams are lost, and the data of connections is held back until the cut ends. If the target process does
// not run, the relay refuses connections and drops datagrams, as the host of that process would.

const (
	maxDatagram       = 64 << 10 // in bytes
	relayBuffer       = 16 << 10 // maximum size of one read of a connection in bytes
	relayDialTimeout  = time.Second
	listenAttempts    = 200
	listenRetryPeriod = time.Millisecond
)

// relay forwards datagrams and connections from one process to another. Data that the receiver sends back on
// these connections is subject to the conditions of the reverse direction.
type relay struct {
	direction
	network   *Network
	address   string // address at which the relay listens
	datagrams *net.UDPConn

	mu          sync.Mutex
	listener    net.Listener // nil while the relay refuses connections
	connections map[net.Conn]bool
}

func newRelay(n *Network, d direction, datagrams *net.UDPConn) *relay {
	return &relay{direction: d, network: n, datagrams: datagrams, address: datagrams.LocalAddr().String(), connections: map[net.Conn]bool{}}
}

func (r *relay) close() {
	CloseQuietly(r.datagrams)
	r.mu.Lock()
	if r.listener != nil {
		CloseQuietly(r.listener)
	}
	r.mu.Unlock()
	r.resetConnections()
}

// setListening makes the relay accept or refuse connections. When the relay starts to refuse connections, it
// also resets the open ones.
func (r *relay) setListening(on bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case on && r.listener == nil:
		listener, err := listenAgain(r.address)
		if err != nil {
			return fmt.Errorf("%s: the relay from %s to %s: %w", errorPrefix, r.from, r.to, err)
		}
		r.listener = listener
		go r.accept(listener)
	case !on && r.listener != nil:
		CloseQuietly(r.listener)
		r.listener = nil
		go r.resetConnections()
	}
	return nil
}

// listenAgain listens at an address whose previous listener may just have been closed. It retries while the
// address is in use, because a child process that is being started keeps a copy of the old descriptor until it
// executes its program.
func listenAgain(address string) (listener net.Listener, err error) {
	for range listenAttempts {
		if listener, err = net.Listen("tcp4", address); !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
		time.Sleep(listenRetryPeriod)
	}
	return listener, err
}

// resetConnections resets all open connections.
func (r *relay) resetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.connections {
		ResetConnection(conn)
	}
	clear(r.connections)
}

// relayDatagrams forwards datagrams until the relay is closed.
func (r *relay) relayDatagrams() {
	out, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return
	}
	defer CloseQuietly(out)
	buffer := make([]byte, maxDatagram)
	for {
		n, err := r.datagrams.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			r.relayDatagram(out, buffer[:n])
		}
	}
}

// relayDatagram forwards a datagram once or twice, or drops it, as the conditions of the direction require. It also
// drops the datagram if the target process does not run. The delay of each copy is drawn separately.
func (r *relay) relayDatagram(out *net.UDPConn, datagram []byte) {
	conditions, target := r.network.path(r.direction)
	if target == "" || conditions.Refuse || conditions.isCut(time.Now()) || r.network.drawEvent(conditions.Loss) {
		r.network.Stopped.Add(1)
		return
	}
	r.network.Passed.Add(1)
	copies := 1
	if r.network.drawEvent(conditions.Duplicate) {
		copies = 2
	}
	address, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return
	}
	for range copies {
		delay := r.network.delay(conditions, len(datagram))
		if r.network.drawEvent(conditions.Reorder) {
			delay += conditions.extraDelay()
		}
		content := append([]byte(nil), datagram...)
		send := func() { _, _ = out.WriteToUDP(content, address) } // an error is ignored: datagrams may be lost
		if delay == 0 {
			send()
		} else {
			time.AfterFunc(delay, send)
		}
	}
}

// accept accepts connections until the listener is closed.
func (r *relay) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.add(conn)
		go r.connect(conn)
	}
}

// connect connects an accepted connection to the target process, once neither direction is cut, and forwards
// data in both directions. It returns when both directions have ended. If the target process cannot be reached,
// connect resets the accepted connection.
func (r *relay) connect(near net.Conn) {
	defer r.remove(near)
	if !r.network.waitOpen(r.direction) || !r.network.waitOpen(r.reverse()) {
		return
	}
	_, target := r.network.path(r.direction)
	far, err := net.DialTimeout("tcp4", target, relayDialTimeout)
	if err != nil {
		resetOnClose(near)
		return
	}
	r.add(far)
	defer r.remove(far)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.copyStream(far, near, r.reverse())
	}()
	r.copyStream(near, far, r.direction)
	<-done
}

func (r *relay) add(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections[conn] = true
}

func (r *relay) remove(conn net.Conn) {
	r.mu.Lock()
	delete(r.connections, conn)
	r.mu.Unlock()
	CloseQuietly(conn)
}

// copyStream forwards data from source to sink until either ends, then closes both. If source ends with an error, for
// example a reset, copyStream resets sink.
func (r *relay) copyStream(source, sink net.Conn, d direction) {
	defer CloseQuietly(sink)
	defer CloseQuietly(source)
	buffer := make([]byte, relayBuffer)
	for {
		n, err := source.Read(buffer)
		if n > 0 && !r.writeWhenOpen(sink, buffer[:n], d) {
			return
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				resetOnClose(sink)
			}
			return
		}
	}
}

// writeWhenOpen waits until the direction is not cut, then waits for the delay, and writes data to sink. It
// reports whether the write succeeded.
func (r *relay) writeWhenOpen(sink net.Conn, content []byte, d direction) bool {
	if conditions, _ := r.network.path(d); conditions.isCut(time.Now()) {
		r.network.Stopped.Add(1)
	}
	if !r.network.waitOpen(d) {
		return false
	}
	conditions, _ := r.network.path(d)
	time.Sleep(r.network.delay(conditions, len(content)))
	r.network.Passed.Add(1)
	_, err := sink.Write(content)
	return err == nil
}
