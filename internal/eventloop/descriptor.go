package eventloop

// This file owns what is done to descriptors of any kind: they are watched, counted against the budget and closed,
// and addresses are read and written. No descriptor of the loop is closed elsewhere.

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// maxQuotedAddr bounds how much of an invalid address an error quotes.
const maxQuotedAddr = 60

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

// parseAddr reads an IP address and a port.
func parseAddr(addr string) (family int, sa unix.Sockaddr, err error) {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return 0, nil, &OpError{Op: "address", Target: fmt.Sprintf("%.*q", maxQuotedAddr, addr), Err: err}
	}
	port := int(parsed.Port())
	if ip := parsed.Addr().Unmap(); ip.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: port, Addr: ip.As4()}, nil
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: port, Addr: parsed.Addr().As16()}, nil
}

// localAddr is the IPv4 address that a socket is bound to, or fallback for another family or where the system does
// not report one.
func localAddr(fd int, fallback string) string {
	sa, err := unix.Getsockname(fd)
	if err != nil {
		return fallback
	}
	ipv4, ok := sa.(*unix.SockaddrInet4)
	if !ok {
		return fallback
	}
	return netip.AddrPortFrom(netip.AddrFrom4(ipv4.Addr), uint16(ipv4.Port)).String()
}
