package eventloop

// This file contains the operations on descriptors of any kind: opening sockets, watching descriptors, counting them
// against the descriptor budget and closing them. All descriptors of a loop are closed by closeFD.

import (
	"golang.org/x/sys/unix"
)

// addDescriptor watches a descriptor for the given epoll events and counts it against the budget.
func (l *Loop) addDescriptor(fd int, events uint32) error {
	if err := l.epollCtl(unix.EPOLL_CTL_ADD, fd, events); err != nil {
		return err
	}
	l.openDescriptors++
	return nil
}

// closeDescriptor closes a descriptor that was added by addDescriptor and returns it to the budget.
func (l *Loop) closeDescriptor(fd int) {
	closeFD(fd)
	l.openDescriptors--
}

func (l *Loop) epollCtl(op, fd int, events uint32) error {
	if err := unix.EpollCtl(l.epollFD, op, fd, &unix.EpollEvent{Events: events, Fd: int32(fd)}); err != nil {
		return &OpError{Op: "epoll_ctl", Err: err}
	}
	return nil
}

// closeFD closes a descriptor. It ignores an error, because Linux releases the descriptor in any case.
func closeFD(fd int) { _ = unix.Close(fd) }

// openSocket opens a non-blocking socket of the address family of addr, and returns it with the parsed addr. If the
// kernel cannot open the socket, the error names op as the failed operation.
func openSocket(op string, socketType int, addr string) (fd int, sa unix.Sockaddr, err error) {
	family, sa, err := parseAddr(addr)
	if err != nil {
		return -1, nil, err
	}
	fd, err = unix.Socket(family, socketType|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, nil, &OpError{Op: op, Target: addr, Err: err}
	}
	return fd, sa, nil
}
