package eventloop

// This file owns what is done to descriptors of any kind: they are opened, watched, counted against the budget and
// closed. No descriptor of the loop may be closed elsewhere.

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

// closeDescriptor closes a descriptor that addDescriptor has added.
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

// closeFD closes a descriptor. An error is of no use: Linux releases the descriptor in any case.
func closeFD(fd int) { _ = unix.Close(fd) }

// openSocket opens a non-blocking socket for an address; op names the operation in its error.
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
