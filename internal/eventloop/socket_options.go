package eventloop

// This file owns the options of TCP connections, and what the system knows of the other side.

import (
	"golang.org/x/sys/unix"
)

// tcpEstablished is TCP_ESTABLISHED, the state of a connection that is up.
const tcpEstablished = 1

// tcpOption is an integer option of a TCP socket.
type tcpOption struct{ name, value int }

// defaultKeepAlive is the TCP keepalive of connections on which KeepAlive is not called. Times are in seconds.
var defaultKeepAlive = [...]tcpOption{
	{unix.TCP_KEEPIDLE, 30},  // time without a packet before the first probe
	{unix.TCP_KEEPINTVL, 10}, // time between probes
	{unix.TCP_KEEPCNT, 3},    // unanswered probes after which the connection ends
}

// setSocketOptions sets what every connection needs: small messages are sent at once, and TCP keepalive detects another
// side that vanished. Where the system rejects any of this the connection is still usable.
func setSocketOptions(fd int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	for _, option := range defaultKeepAlive {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, option.name, option.value)
	}
}

// KeepAlive sets TCP keepalive: the system sends a probe once nothing has come from the other side for so many seconds,
// then two more, one a second. A connection on which none is answered ends.
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

// LastAckAge is how long ago, in microseconds, the other side's system last acknowledged anything; false where the
// system does not report that.
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
