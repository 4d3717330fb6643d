package hollow

import "net"

// This file owns the counts of bytes on connections.

// Bytes counts what a stand-in read and wrote.
type Bytes struct{ In, Out counter }

// Count returns a connection that counts into b.
func (b *Bytes) Count(c net.Conn) net.Conn { return countingConnection{c, b} }

type countingConnection struct {
	net.Conn
	bytes *Bytes
}

func (c countingConnection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.In.Add(int64(n))
	return n, err
}

func (c countingConnection) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Out.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	bytes *Bytes
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.bytes.Count(c), nil
}
