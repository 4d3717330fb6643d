package hollow

import "net"

// This file implements connections and listeners that count bytes.

// ByteCounters counts the bytes received and sent on the connections that Wrap returns.
type ByteCounters struct{ Received, Sent counter }

// Wrap returns a connection that reads from and writes to conn, and counts the bytes in b.
func (b *ByteCounters) Wrap(conn net.Conn) net.Conn { return countingConnection{conn, b} }

type countingConnection struct {
	net.Conn
	bytes *ByteCounters
}

// Read reads from the connection and counts the received bytes.
func (c countingConnection) Read(content []byte) (int, error) {
	n, err := c.Conn.Read(content)
	c.bytes.Received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the sent bytes.
func (c countingConnection) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content)
	c.bytes.Sent.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	bytes *ByteCounters
}

// Accept accepts a connection and returns it as a connection that counts its bytes.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.bytes.Wrap(conn), nil
}
