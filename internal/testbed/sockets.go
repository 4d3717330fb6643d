package testbed

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// This file owns the listeners of stand-ins and the ways in which they end sockets: an orderly close, a reset, or the
// refusal of connections.

const listenBacklog = 1024 // connections that wait to be accepted after listenAfterRefusal

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

// ListenLocal returns a listener on a free port of the loopback interface.
//
// It binds the listener to the number of a port that the kernel has chosen before. If the listener were bound to port 0,
// Refuse would release the port.
func ListenLocal() (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // dropPackets needs plain TCP
	for {
		chosen, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		CloseQuietly(chosen)
		listener, err := config.Listen(context.Background(), "tcp", chosen.Addr().String())
		if !errors.Is(err, syscall.EADDRINUSE) { // another process may have got the port in between
			return listener, err
		}
	}
}

// Refuse makes a listener of ListenLocal refuse connections from now on. The port stays in use until the listener is
// closed. If the port were released now, another test could get it and would receive the connections for this listener.
func Refuse(t Host, ln net.Listener) {
	control(t, ln, func(fd int) error { return unix.Shutdown(fd, unix.SHUT_RD) })
}

// listenAfterRefusal ends the effect of Refuse. The caller accepts connections again, because Accept has returned an error.
func listenAfterRefusal(t Host, ln net.Listener) {
	control(t, ln, func(fd int) error { return unix.Listen(fd, listenBacklog) })
}

// dropPackets makes a listener drop all packets that arrive from now on, so that no connection is established.
// Connections that are already established are not affected, even if they were not accepted yet.
func dropPackets(t Host, ln net.Listener) {
	dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K} // the filter passes 0 bytes of each packet
	program := &unix.SockFprog{Len: 1, Filter: &dropAll}
	control(t, ln, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
}

// receivePackets ends the effect of dropPackets.
func receivePackets(t Host, ln net.Listener) {
	const ignored = 0
	control(t, ln, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, ignored)
	})
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

// Values of the field State of unix.TCPInfo, which the kernel's header tcp_states.h defines.
const (
	stateEstablished = 1
	stateClosed      = 7
)

// closedByPeer reports whether the other side of a connection has closed it. It asks the kernel for the state of
// the socket, so the result does not depend on how much was read from the connection. If the state cannot be read,
// closedByPeer returns true.
func closedByPeer(conn *net.TCPConn) bool {
	state, err := socketState(conn)
	return err != nil || state != stateEstablished
}

// isReset reports whether the other side of a connection has reset it. Like closedByPeer, it asks the kernel. If the
// state cannot be read, for example because this side has closed the connection, isReset returns false.
func isReset(conn net.Conn) bool {
	state, err := socketState(conn.(*net.TCPConn))
	return err == nil && state == stateClosed
}

// socketState returns the kernel's state of a TCP socket.
func socketState(conn *net.TCPConn) (state uint8, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
			state = info.State
		}
	})
	return state, errors.Join(err, infoErr)
}
