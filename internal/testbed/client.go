package testbed

import (
	"bufio"
	"encoding/json"
	"net"
	"time"
)

// This file owns the stand-in client's connection. It must never reconnect by itself.

// maxUnread is the capacity of each channel in which a stand-in buffers received messages.
const maxUnread = 1000

// Client is the connection of a stand-in client.
type Client struct {
	net.Conn
	Lines chan Line // received messages, closed when the connection ends or a message cannot be parsed

	endedAt time.Time // set before Lines is closed
}

// EndedAt returns the time when the client detected the end of the connection, or a message that cannot be parsed. It
// may be called only after a receive has shown that Lines is closed. If the client reads Lines with a delay, this time
// is earlier than the time of that receive.
func (c *Client) EndedAt() time.Time { return c.endedAt }

// Dial connects a client to addr. The caller closes the connection.
func Dial(addr string) (*Client, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return newClient(conn), nil
}

// DialWithin connects a client to addr like Dial, but within a limited time.
func DialWithin(addr string, limit time.Duration) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, limit)
	if err != nil {
		return nil, err
	}
	return newClient(conn), nil
}

func newClient(conn net.Conn) *Client {
	client := &Client{Conn: conn, Lines: make(chan Line, maxUnread)}
	go client.receive(conn)
	return client
}

// NewClient connects a client to addr. The connection is closed at the end of the test.
func NewClient(t Host, addr string) *Client {
	client, err := Dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { CloseQuietly(client) })
	return client
}

// receive reads messages from conn until the connection ends or a message cannot be parsed. It doesn't read from
// the connection embedded in the Client, because a test may replace that connection.
func (c *Client) receive(conn net.Conn) {
	defer func() {
		c.endedAt = time.Now()
		close(c.Lines)
	}()
	for scanner := bufio.NewScanner(conn); scanner.Scan(); {
		var line Line
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			return
		}
		c.Lines <- line
	}
}
