package eventloop

// This file owns datagram sockets. A datagram that the system does not take at once is
// lost, as it may be on its way: nothing waits here.

import (
	"fmt"

	"golang.org/x/sys/unix"
)

const (
	// datagramMost is the largest datagram that is read whole; a longer one is cut.
	datagramMost = 2048
	// packetsATurn are read before others have their turn.
	packetsATurn = 64
)

// PacketConn is a socket for datagrams.
type PacketConn struct {
	l    *Loop
	fd   int
	take func(b []byte)
	lost int64
}

// PacketConn opens a socket for datagrams at addr. take is handed each, which it may not keep.
func (l *Loop) ListenPacket(addr string, take func(b []byte)) (*PacketConn, error) {
	family, sa, err := sockaddr(addr)
	if err != nil {
		return nil, err
	}
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("loop: datagrams at %s: %w", addr, err)
	}
	if err = unix.Bind(fd, sa); err == nil {
		err = l.watch(fd, unix.EPOLLIN, unix.EPOLL_CTL_ADD)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("loop: datagrams at %s: %w", addr, err)
	}
	p := &PacketConn{l: l, fd: fd, take: take}
	l.packets[fd] = p
	l.held++
	return p, nil
}

// Send sends a datagram, or loses it.
func (p *PacketConn) Send(addr string, b []byte) error {
	_, sa, err := sockaddr(addr)
	if err != nil {
		return err
	}
	if err := unix.Sendto(p.fd, b, 0, sa); err != nil {
		p.lost++
		return fmt.Errorf("loop: datagram to %s: %w", addr, err)
	}
	return nil
}

// Dropped is how many datagrams the system did not take.
func (p *PacketConn) Dropped() int64 { return p.lost }

func (p *PacketConn) ready() {
	var b [datagramMost]byte
	for range packetsATurn {
		n, _, err := unix.Recvfrom(p.fd, b[:], 0)
		switch err {
		case nil:
			p.take(b[:n])
		case unix.EINTR, unix.ECONNREFUSED: // the latter tells of one that was sent before
		default:
			return
		}
	}
}
