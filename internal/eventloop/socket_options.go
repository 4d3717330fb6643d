package eventloop

// This file owns the options of TCP connections, and what the system knows of the other side.

import (
	"golang.org/x/sys/unix"
)

// tcpEstablished is TCP_ESTABLISHED, the state of a connection that is up.
const tcpEstablished = 1

// tcpOption is an integer option of a TCP socket.
type tcpOption struct{ name, value int }

// defaultKeepAlive is the keepalive of connections on which KeepAlive is not called. Times are in seconds.
var defaultKeepAlive = [...]tcpOption{
	{unix.TCP_KEEPIDLE, 30},  // a probe after so long without a sign of life
	{unix.TCP_KEEPINTVL, 10}, // and after so long without an answer to it
	{unix.TCP_KEEPCNT, 3},    // the connection ends after so many
}

// setSocketOptions sets what every connection needs: small messages are sent at once, and an other side that vanished
// without a sign is found out. Where the system rejects any of this the connection is still usable.
func setSocketOptions(fd int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	for _, option := range defaultKeepAlive {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, option.name, option.value)
	}
}

// KeepAlive has the system ask the other side's for a sign of life after so many seconds without one, and twice more a
// second apart; a connection that shows none ends.
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
