package eventloop

// This file contains the socket options of TCP connections, and the kernel's information about the other side.

import (
	"golang.org/x/sys/unix"
)

// tcpEstablished is TCP_ESTABLISHED, the kernel's state of an established connection.
const tcpEstablished = 1

// tcpOption is an integer option of a TCP socket.
type tcpOption struct{ name, value int }

// defaultKeepAlive is the TCP keepalive setting of connections on which KeepAlive is not called. Times are in
// seconds.
var defaultKeepAlive = [...]tcpOption{
	{unix.TCP_KEEPIDLE, 30},  // time without a packet before the first probe
	{unix.TCP_KEEPINTVL, 10}, // time between probes
	{unix.TCP_KEEPCNT, 3},    // number of unanswered probes after which the kernel drops the connection
}

// setSocketOptions sets the options of every connection: small messages are sent at once, and TCP keepalive detects
// that the other side has vanished. Errors are ignored, because the connection is usable without these options.
func setSocketOptions(fd int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	for _, option := range defaultKeepAlive {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, option.name, option.value)
	}
}

// KeepAlive configures TCP keepalive. If nothing has arrived from the other side for the given number of
// seconds, the kernel sends a probe, and then two more at intervals of one second. If no probe is answered,
// the kernel drops the connection.
func (c *Conn) KeepAlive(seconds int) error {
	for _, option := range [...]tcpOption{
		{unix.TCP_KEEPIDLE, seconds},
		{unix.TCP_KEEPINTVL, 1},
		{unix.TCP_KEEPCNT, 3},
	} {
		if err := unix.SetsockoptInt(c.fd, unix.IPPROTO_TCP, option.name, option.value); err != nil {
			return &OpError{Op: "keepalive", Err: err}
		}
	}
	return nil
}

// LastAckAge returns the time, in microseconds, since the kernel of the other side last acknowledged
// anything. ok is false if the connection is not established or if the local kernel does not report the time.
func (c *Conn) LastAckAge() (ageUs int64, ok bool) {
	if !c.IsUp() {
		return 0, false
	}
	info, err := unix.GetsockoptTCPInfo(c.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil || info.State != tcpEstablished {
		return 0, false
	}
	return int64(info.Last_ack_recv) * millisecond, true
}
