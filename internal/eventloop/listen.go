package eventloop

// This file owns the listening sockets: where they listen, and whom they let in.

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// listener is a listening socket.
type listener struct {
	fd     int
	accept func() Handler
	room   func() bool
	off    bool
	queued bool // callers may wait; false once none was found
	// emptyAt is when nobody was found waiting.
	emptyAt int64
}

func sockaddr(addr string) (int, unix.Sockaddr, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return 0, nil, fmt.Errorf("loop: address %.60q: %w", addr, err)
	}
	if ap.Addr().Unmap().Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(ap.Port()), Addr: ap.Addr().Unmap().As4()}, nil
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(ap.Port()), Addr: ap.Addr().As16()}, nil
}

// Listen accepts connections at addr, each with a Handler of its own. room is
// asked before each whether there is a place for it; where it says no, callers
// wait in the system's queue.
func (l *Loop) Listen(addr string, room func() bool, accept func() Handler) (string, error) {
	family, sa, err := sockaddr(addr)
	if err != nil {
		return "", err
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", fmt.Errorf("loop: listen %s: %w", addr, err)
	}
	fail := func(err error) (string, error) {
		unix.Close(fd)
		return "", fmt.Errorf("loop: listen %s: %w", addr, err)
	}
	// A restart takes the address over while old connections still linger.
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return fail(err)
	}
	if err := unix.Bind(fd, sa); err != nil {
		return fail(err)
	}
	if err := unix.Listen(fd, 1024); err != nil {
		return fail(err)
	}
	if err := l.listen(fd, room, accept); err != nil {
		return fail(err)
	}
	return place(fd, addr), nil
}

// ListenInherited accepts connections on a listening socket that this process was started with.
func (l *Loop) ListenInherited(fd int, room func() bool, accept func() Handler) (string, error) {
	if on, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || on == 0 {
		return "", fmt.Errorf("loop: descriptor %d: expected a listening socket (%v)", fd, err)
	}
	unix.CloseOnExec(fd)
	if err := unix.SetNonblock(fd, true); err != nil {
		return "", fmt.Errorf("loop: descriptor %d: %w", fd, err)
	}
	if err := l.listen(fd, room, accept); err != nil {
		return "", err
	}
	return place(fd, ""), nil
}

func (l *Loop) listen(fd int, room func() bool, accept func() Handler) error {
	if err := l.watch(fd, unix.EPOLLIN, unix.EPOLL_CTL_ADD); err != nil {
		return err
	}
	l.listeners[fd] = &listener{fd: fd, accept: accept, room: room}
	l.held++
	return nil
}

// place is where a socket listens, as far as the system tells.
func place(fd int, addr string) string {
	if got, err := unix.Getsockname(fd); err == nil {
		if v4, ok := got.(*unix.SockaddrInet4); ok {
			addr = netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), uint16(v4.Port)).String()
		}
	}
	return addr
}

// Unlisten stops accepting at a place that Listen or Inherit returned. What the system
// has queued there goes to whoever else holds the socket.
func (l *Loop) Unlisten(addr string) {
	for fd := range l.listeners {
		if place(fd, "") == addr {
			unix.Close(fd)
			l.held--
			delete(l.listeners, fd)
		}
	}
}

func (l *Loop) acceptAll(ln *listener) {
	ln.queued = true
	for range eventsMost {
		if l.FreeDescriptors() <= 0 || !ln.room() {
			l.mute(ln)
			return
		}
		fd, _, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
		case unix.EINTR, unix.ECONNABORTED:
			continue
		case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM:
			l.mute(ln)
			return
		default:
			if ln.queued = err != unix.EAGAIN; !ln.queued {
				ln.emptyAt = l.clock()
			}
			return
		}
		tune(fd)
		c := &Conn{l: l, fd: fd, h: ln.accept(), up: true, mask: unix.EPOLLIN | unix.EPOLLRDHUP, emptyAt: ln.emptyAt, left: l.polls}
		if err := l.watch(fd, c.mask, unix.EPOLL_CTL_ADD); err != nil {
			unix.Close(fd)
			c.closed = true
			c.h.Closed(c, err)
			continue
		}
		l.conns[fd] = c
		l.held++
		c.h.Opened(c)
	}
}

// HasQueuedConnections reports whether callers may wait in the system's queue, for want of room.
func (l *Loop) HasQueuedConnections() bool {
	for _, ln := range l.listeners {
		if ln.queued {
			return true
		}
	}
	return false
}

// mute leaves callers in the system's queue for a while: a listener that stays
// ready while there is no room would keep the loop spinning.
func (l *Loop) mute(ln *listener) {
	if ln.off {
		return
	}
	ln.off = true
	_ = l.watch(ln.fd, 0, unix.EPOLL_CTL_MOD)
	l.After(20_000, func() {
		if l.listeners[ln.fd] == ln {
			ln.off = false
			_ = l.watch(ln.fd, unix.EPOLLIN, unix.EPOLL_CTL_MOD)
		}
	})
}
