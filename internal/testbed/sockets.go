package testbed

import (
	"io"
	"net"

	"golang.org/x/sys/unix"
)

// This file owns the ways in which stand-ins end sockets: an orderly close, a reset, or the
// refusal of connections.

// CloseQuietly closes a socket or another resource of a stand-in. It ignores the error of Close, which
// is expected if the resource was closed before or its peer has disconnected.
func CloseQuietly(c io.Closer) { _ = c.Close() }

// ResetConnection closes a TCP connection with a reset.
func ResetConnection(conn net.Conn) {
	resetOnClose(conn)
	CloseQuietly(conn)
}

// resetOnClose makes the next Close of a TCP connection send a reset instead of an orderly close.
func resetOnClose(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // an error is ignored: it means that the socket is closed, which needs no reset
}

// Refuse makes a listener refuse connections from now on. The port stays in use until the listener is closed. If
// the port were released now, another test could get it and would receive the connections for this listener.
func Refuse(t Host, ln net.Listener) {
	control(t, ln, func(fd int) error { return unix.Shutdown(fd, unix.SHUT_RD) })
}

// setBacklog sets the maximum number of connections that wait at a listener until they are accepted.
func setBacklog(t Host, ln net.Listener, backlog int) {
	control(t, ln, func(fd int) error { return unix.Listen(fd, backlog) })
}

// control calls a function with the file descriptor of a listener. If this fails, the test fails.
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

// closedByPeer reports whether the other side of a connection has closed it. It asks the kernel for the state of
// the socket, so the result does not depend on how much was read from the connection. If the state cannot be read,
// closedByPeer returns true.
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
