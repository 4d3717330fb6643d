package eventloop

// This file contains the listening sockets: their addresses, and which connections they accept. While the budget has
// no descriptor left, no connection is accepted; new connections stay in the kernel's accept queue.

import (
	"fmt"
	"strconv"

	"golang.org/x/sys/unix"
)

const (
	// listenBacklog is the maximum length of the kernel's accept queue of a listening socket.
	listenBacklog = 1024
	// maxAcceptsPerTurn is the maximum number of connections that one listener accepts in a turn. The limit
	// ensures that other descriptors are served as well.
	maxAcceptsPerTurn = 256
	// acceptPause is the time, in microseconds, for which a listener pauses after a connection could not be accepted.
	acceptPause = 20 * millisecond
)

// Admission decides whether a listener accepts another connection. Connections that are not accepted wait in the
// kernel's accept queue.
type Admission interface {
	// HasCapacity reports whether another connection may be accepted. It must have no side effects, because it is
	// also called when no connection is waiting.
	HasCapacity() bool
	// MakeCapacity is called if a connection is waiting, the budget has a free descriptor, and HasCapacity has
	// returned false. It may close another connection, and reports whether there is capacity now.
	MakeCapacity() bool
}

// AdmissionFunc is an Admission that reports whether there is capacity. It never makes capacity.
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
	queued    bool  // true if connections may be waiting in the accept queue; false once it was found empty
	emptyAt   int64 // time at which the accept queue was last found empty
}

// Listen accepts connections at addr while admission permits it. It calls accept to obtain the Handler of each
// connection. It returns the address of the socket, or addr if the socket has no IPv4 address.
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
	// SO_REUSEADDR lets a restarted process bind the address while the kernel still holds connections of the previous
	// process, for example in the TIME_WAIT state.
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := unix.Bind(fd, sa); err != nil {
		return err
	}
	return unix.Listen(fd, listenBacklog)
}

// ListenInherited accepts connections in the same way as Listen, but on a listening socket that this process
// has inherited. It returns the address of the socket, or "" if the socket has no IPv4 address.
func (l *Loop) ListenInherited(fd int, admission Admission, accept func() Handler) (string, error) {
	if on, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || on == 0 {
		//nolint:errorlint // err may be nil, which %w does not print
		notListening := fmt.Errorf("%w (getsockopt error: %v)", ErrNotListening, err)
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

// Unlisten closes the listening socket whose IPv4 address and port are addr, as Listen or ListenInherited returned it.
// If addr is "", Unlisten closes all listening sockets that have no IPv4 address. Another process that has the socket
// open can still accept the connections in the accept queue. Without such a process, the kernel resets them.
func (l *Loop) Unlisten(addr string) {
	for fd := range l.listeners {
		if localAddr(fd, "") == addr {
			l.closeDescriptor(fd)
			delete(l.listeners, fd)
		}
	}
}

// AcceptQueued accepts the connections that wait in the kernel's accept queue of each listener, as far as there are free
// descriptors and the admission permits it.
func (l *Loop) AcceptQueued() {
	for _, listener := range l.listeners {
		if !listener.paused {
			l.acceptAll(listener)
		}
	}
}

// HasQueuedConnections reports whether connections may be waiting in the kernel's accept queue of a listener.
func (l *Loop) HasQueuedConnections() bool {
	for _, listener := range l.listeners {
		if listener.queued {
			return true
		}
	}
	return false
}

// acceptAll accepts connections from the accept queue of a listener, up to maxAcceptsPerTurn, while there are
// free descriptors and its admission permits it.
func (l *Loop) acceptAll(listener *listener) {
	listener.queued = true
	for range maxAcceptsPerTurn {
		hasDescriptor := l.FreeDescriptors() > 0
		if !hasDescriptor || !listener.admission.HasCapacity() {
			if !hasQueuedConnection(listener.fd) {
				l.markQueueEmpty(listener)
				return
			}
			// MakeCapacity may close the connection of another client. It must therefore not be called if no
			// connection is waiting.
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
			l.markQueueEmpty(listener)
			return
		default:
			return
		}
	}
}

// markQueueEmpty records that the accept queue of a listener is empty.
func (l *Loop) markQueueEmpty(listener *listener) {
	listener.queued = false
	listener.emptyAt = l.Clock()
}

// hasQueuedConnection reports whether a connection is waiting in the accept queue of a socket. It also returns true
// if the queue cannot be polled.
func hasQueuedConnection(fd int) bool {
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	ready, err := unix.Poll(poll, 0)
	return err != nil || ready > 0
}

// addAccepted adds a connection that was accepted. If epoll rejects the connection for good, it is closed and its handler
// is not notified. Closed must not be called without Opened, because it releases what Opened acquires.
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
	if err := l.watch(c); isTransient(err) {
		l.watchLater(c, 0)
	} else if err != nil {
		closeFD(fd)
	}
}

// pause stops the listener from accepting connections for acceptPause; they stay in the accept queue. Without
// the pause, every poll would return at once and report the listener, although its connections cannot be
// accepted. The loop would therefore spin.
func (l *Loop) pause(listener *listener) {
	if listener.paused {
		return
	}
	listener.paused = true
	_ = l.epollCtl(unix.EPOLL_CTL_MOD, listener.fd, 0) // if this fails, polls return at once during the pause
	l.resumeLater(listener)
}

// resumeLater lets a paused listener accept connections after acceptPause.
func (l *Loop) resumeLater(listener *listener) {
	l.After(acceptPause, func() {
		if l.listeners[listener.fd] != listener {
			return
		}
		if err := l.epollCtl(unix.EPOLL_CTL_MOD, listener.fd, unix.EPOLLIN); err != nil {
			l.resumeLater(listener)
			return
		}
		listener.paused = false
	})
}
