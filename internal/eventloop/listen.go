package eventloop

// This file owns the listening sockets: where they listen, and which connections they accept. It must never accept a
// connection for which there is no descriptor: the system's queue keeps it.

import (
	"fmt"
	"strconv"

	"golang.org/x/sys/unix"
)

const (
	// listenBacklog is how many connections the system queues on a listening socket.
	listenBacklog = 1024
	// maxAcceptsPerTurn is how many connections one listener accepts before others have their turn.
	maxAcceptsPerTurn = 256
	// acceptPause is how long a listener accepts nothing after a connection could not be accepted.
	acceptPause = 20 * millisecond
)

// Admission decides whether another connection is accepted. While it is not, connections wait in the system's queue.
type Admission interface {
	// HasCapacity reports whether one may be accepted as things are. It changes nothing, as it is also called
	// where no connection waits.
	HasCapacity() bool
	// MakeCapacity is called for a connection that waits where there is no capacity, and reports whether there
	// is now. It may close another connection.
	MakeCapacity() bool
}

// AdmissionFunc is an Admission that reports whether there is capacity, and cannot make any.
type AdmissionFunc func() bool

// HasCapacity implements Admission.
func (f AdmissionFunc) HasCapacity() bool { return f() }

// MakeCapacity implements Admission.
func (AdmissionFunc) MakeCapacity() bool { return false }

// listener is a listening socket.
type listener struct {
	fd        int
	admission Admission
	accept    func() Handler
	paused    bool
	queued    bool  // connections may wait in the system's queue; false once none was found
	emptyAt   int64 // when none was found
}

// Listen accepts connections at addr while admission allows it, each with a Handler of its own from accept, and returns
// the address that it listens on.
func (l *Loop) Listen(addr string, admission Admission, accept func() Handler) (string, error) {
	fd, sa, err := openSocket("listen", unix.SOCK_STREAM, addr)
	if err != nil {
		return "", err
	}
	if err = bindAndListen(fd, sa); err == nil {
		err = l.addListener(fd, admission, accept)
	}
	if err != nil {
		closeFD(fd)
		return "", &OpError{Op: "listen", Target: addr, Err: err}
	}
	return localAddr(fd, addr), nil
}

func bindAndListen(fd int, sa unix.Sockaddr) error {
	// A restart takes the address over while old connections still linger.
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := unix.Bind(fd, sa); err != nil {
		return err
	}
	return unix.Listen(fd, listenBacklog)
}

// ListenInherited accepts connections, as Listen does, on a listening socket that this process was started with.
func (l *Loop) ListenInherited(fd int, admission Admission, accept func() Handler) (string, error) {
	if on, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || on == 0 {
		//nolint:errorlint // err may be nil, which %w does not print
		notListening := fmt.Errorf("%w (%v)", ErrNotListening, err)
		return "", &OpError{Op: "descriptor", Target: strconv.Itoa(fd), Err: notListening}
	}
	unix.CloseOnExec(fd)
	if err := unix.SetNonblock(fd, true); err != nil {
		return "", &OpError{Op: "descriptor", Target: strconv.Itoa(fd), Err: err}
	}
	if err := l.addListener(fd, admission, accept); err != nil {
		return "", err
	}
	return localAddr(fd, ""), nil
}

func (l *Loop) addListener(fd int, admission Admission, accept func() Handler) error {
	if err := l.addDescriptor(fd, unix.EPOLLIN); err != nil {
		return err
	}
	l.listeners[fd] = &listener{fd: fd, admission: admission, accept: accept}
	return nil
}

// Unlisten stops accepting at an address that Listen or ListenInherited returned. Connections that the system has
// queued there are left to any other process that has the socket open.
func (l *Loop) Unlisten(addr string) {
	for fd := range l.listeners {
		if localAddr(fd, "") == addr {
			l.closeDescriptor(fd)
			delete(l.listeners, fd)
		}
	}
}

// HasQueuedConnections reports whether connections may wait in the system's queue until they can be accepted.
func (l *Loop) HasQueuedConnections() bool {
	for _, listener := range l.listeners {
		if listener.queued {
			return true
		}
	}
	return false
}

// acceptAll accepts the connections that are queued on a listener while there are descriptors and its admission allows
// it.
func (l *Loop) acceptAll(listener *listener) {
	listener.queued = true
	for range maxAcceptsPerTurn {
		hasDescriptor := l.FreeDescriptors() > 0
		if !hasDescriptor || !listener.admission.HasCapacity() {
			if !isQueued(listener.fd) {
				l.noneQueued(listener)
				return
			}
			// An admission may close a connection of another client: that must not happen where nobody waits.
			if !hasDescriptor || !listener.admission.MakeCapacity() {
				l.pause(listener)
				return
			}
		}
		fd, _, err := unix.Accept4(listener.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			l.addAccepted(fd, listener)
		case unix.EINTR, unix.ECONNABORTED:
		case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM:
			l.pause(listener)
			return
		case unix.EAGAIN:
			l.noneQueued(listener)
			return
		default:
			return
		}
	}
}

// noneQueued notes that no connection waits at a listener.
func (l *Loop) noneQueued(listener *listener) {
	listener.queued = false
	listener.emptyAt = l.Clock()
}

// isQueued reports whether a connection waits at a listening socket, or may.
func isQueued(fd int) bool {
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	ready, err := unix.Poll(poll, 0)
	return err != nil || ready > 0
}

// addAccepted opens a connection that was accepted. One that cannot be watched ends unseen: its handler was never
// notified of its begin, and would give back what it never took.
func (l *Loop) addAccepted(fd int, listener *listener) {
	setSocketOptions(fd)
	c := &Conn{
		loop:        l,
		fd:          fd,
		handler:     listener.accept(),
		established: true,
		interest:    unix.EPOLLIN | unix.EPOLLRDHUP,
		emptyAt:     listener.emptyAt,
		unreadPoll:  l.polls.count,
	}
	if err := l.addDescriptor(fd, c.interest); err != nil {
		closeFD(fd)
		return
	}
	l.conns[fd] = c
	c.handler.Opened(c)
}

// pause leaves connections in the system's queue for acceptPause: polling a listener that is ready, but whose
// connections can't be accepted, would make the loop spin.
func (l *Loop) pause(listener *listener) {
	if listener.paused {
		return
	}
	listener.paused = true
	_ = l.epollCtl(unix.EPOLL_CTL_MOD, listener.fd, 0) // it can't fail for a descriptor that is watched
	l.After(acceptPause, func() {
		if l.listeners[listener.fd] == listener {
			listener.paused = false
			_ = l.epollCtl(unix.EPOLL_CTL_MOD, listener.fd, unix.EPOLLIN)
		}
	})
}
