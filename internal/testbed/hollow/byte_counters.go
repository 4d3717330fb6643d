package hollow

import "net"

// This file owns the counts of bytes on connections.

// ByteCounters count what a stand-in received and sent.
type ByteCounters struct{ Received, Sent counter }

// Count returns a connection that counts into b.
func (b *ByteCounters) Count(conn net.Conn) net.Conn { return countingConnection{conn, b} }

type countingConnection struct {
	net.Conn
	bytes *ByteCounters
}

// Read reads and counts.
func (c countingConnection) Read(content []byte) (int, error) {
	n, err := c.Conn.Read(content)
	c.bytes.Received.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c countingConnection) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content)
	c.bytes.Sent.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	bytes *ByteCounters
}

// Accept returns a connection that counts.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.bytes.Count(conn), nil
}
