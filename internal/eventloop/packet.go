package eventloop

// This file owns datagram sockets. A datagram that the system does not take at once is dropped, as it may be on the
// network: nothing waits here.

import (
	"golang.org/x/sys/unix"
)

const (
	// maxDatagramSize is the largest datagram that is read completely; a longer one is cut.
	maxDatagramSize = 2048
	// maxDatagramsPerTurn is how many datagrams are read before others have their turn.
	maxDatagramsPerTurn = 64
)

// PacketConn is a socket for datagrams.
type PacketConn struct {
	fd      int
	receive func(b []byte)
	dropped int64
}

// ListenPacket opens a socket for datagrams at addr, which the loop closes. receive is handed each, which it must not
// retain.
func (l *Loop) ListenPacket(addr string, receive func(b []byte)) (*PacketConn, error) {
	const op = "datagrams at"
	fd, sa, err := openSocket(op, unix.SOCK_DGRAM, addr)
	if err != nil {
		return nil, err
	}
	if err = unix.Bind(fd, sa); err == nil {
		err = l.addDescriptor(fd, unix.EPOLLIN)
	}
	if err != nil {
		closeFD(fd)
		return nil, &OpError{Op: op, Target: addr, Err: err}
	}
	p := &PacketConn{fd: fd, receive: receive}
	l.packetConns[fd] = p
	return p, nil
}

// Send sends a datagram, or drops it.
func (p *PacketConn) Send(addr string, b []byte) error {
	_, sa, err := parseAddr(addr)
	if err != nil {
		return err
	}
	if err := unix.Sendto(p.fd, b, 0, sa); err != nil {
		p.dropped++
		return &OpError{Op: "datagram to", Target: addr, Err: err}
	}
	return nil
}

// Dropped is how many datagrams the system did not take.
func (p *PacketConn) Dropped() int64 { return p.dropped }

// receiveAll hands over the datagrams that came in.
func (p *PacketConn) receiveAll() {
	var datagram [maxDatagramSize]byte
	for range maxDatagramsPerTurn {
		n, _, err := unix.Recvfrom(p.fd, datagram[:], 0)
		switch err {
		case nil:
			p.receive(datagram[:n])
		case unix.EINTR, unix.ECONNREFUSED: // the latter is about one that was sent before
		default:
			return
		}
	}
}
