package eventloop

// This file contains the datagram sockets. Outgoing datagrams are not queued: a datagram that the kernel does not
// accept at once is dropped, just as the network may drop any datagram.

import (
	"golang.org/x/sys/unix"
)

const (
	// maxDatagramSize is the size in bytes of the largest datagram that is read completely. A longer datagram is
	// truncated.
	maxDatagramSize = 2048
	// maxDatagramsPerTurn is the maximum number of datagrams that one socket reads in a turn. The limit
	// ensures that other descriptors are served as well.
	maxDatagramsPerTurn = 64
)

// PacketConn is a UDP socket that a [Loop] owns.
type PacketConn struct {
	fd      int
	receive func(b []byte)
	dropped int64
}

// ListenPacket opens a UDP socket at addr. The loop calls receive with each datagram; receive must not retain
// the datagram after it returns. The loop closes the socket when the loop itself is closed.
func (l *Loop) ListenPacket(addr string, receive func(b []byte)) (*PacketConn, error) {
	const op = "listen for datagrams at"
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

// Send sends a datagram to addr. A datagram that cannot be sent at once is dropped, and Send returns the error.
func (p *PacketConn) Send(addr string, b []byte) error {
	_, sa, err := parseAddr(addr)
	if err != nil {
		return err
	}
	if err := unix.Sendto(p.fd, b, 0, sa); err != nil {
		p.dropped++
		return &OpError{Op: "send datagram to", Target: addr, Err: err}
	}
	return nil
}

// Dropped returns the number of outgoing datagrams that the kernel did not accept.
func (p *PacketConn) Dropped() int64 { return p.dropped }

// receiveAll calls receive with the datagrams that have arrived, up to maxDatagramsPerTurn.
func (p *PacketConn) receiveAll() {
	var datagram [maxDatagramSize]byte
	for range maxDatagramsPerTurn {
		n, _, err := unix.Recvfrom(p.fd, datagram[:], 0)
		switch err {
		case nil:
			p.receive(datagram[:n])
		// ECONNREFUSED reports that a datagram sent earlier was refused, so reading continues.
		case unix.EINTR, unix.ECONNREFUSED:
		default:
			return
		}
	}
}
