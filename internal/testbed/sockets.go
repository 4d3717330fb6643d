package testbed

import (
	"io"
	"net"

	"golang.org/x/sys/unix"
)

// This file owns how stand-ins end sockets: in good order, by a reset, or by refusal.

// CloseQuietly closes what a stand-in owns. Its error is neglected: what is closed twice,
// or whose other side is gone, is closed either way.
func CloseQuietly(c io.Closer) { _ = c.Close() }

// ResetConnection closes a TCP connection with a reset.
func ResetConnection(conn net.Conn) {
	resetOnClose(conn)
	CloseQuietly(conn)
}

// resetOnClose lets the next Close of a TCP connection send a reset.
func resetOnClose(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // it fails on a closed socket, which needs no reset
}

// Refuse makes a listener refuse connections from now on. Its port stays taken until it is
// closed: given back, it could be another test's, to which whoever dials here would come.
func Refuse(t Host, ln net.Listener) {
	control(t, ln, func(fd int) error { return unix.Shutdown(fd, unix.SHUT_RD) })
}

// setBacklog bounds the connections that wait at a listener to be accepted.
func setBacklog(t Host, ln net.Listener, backlog int) {
	control(t, ln, func(fd int) error { return unix.Listen(fd, backlog) })
}

// control makes a system call on a listener's descriptor.
func control(t Host, ln net.Listener, call func(fd int) error) {
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = call(int(fd)) }); err != nil {
		t.Fatal(err)
	}
	if callErr != nil {
		t.Fatal(callErr)
	}
}

// closedByPeer reports whether the other side of a connection has closed it, by the
// kernel's state of the socket and not by what was read.
func closedByPeer(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	state := uint8(0)
	if err := raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	}); err != nil {
		return true
	}
	const established = 1
	return state != established
}
