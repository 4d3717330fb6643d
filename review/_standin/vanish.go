package main

// This file owns the end of a minion's machine.

import (
	"net"

	"golang.org/x/sys/unix"
)

// dropPackets makes a listener drop all packets that arrive from now on, so that no new connection comes up, as with a
// machine that is gone. It sets an option of this one socket.
func dropPackets(ln net.Listener) error {
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	})
	if err != nil {
		return err
	}
	return failed
}
