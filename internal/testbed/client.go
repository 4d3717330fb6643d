package testbed

import (
	"bufio"
	"encoding/json"
	"net"
)

// This file owns the stand-in client's connection. It must never connect again by itself.

// maxUnread bounds the messages that a stand-in keeps for a test to receive.
const maxUnread = 1000

// Client is a client's connection. Lines is closed when that ends.
type Client struct {
	net.Conn
	Lines chan Line
}

// Dial connects a client.
func Dial(addr string) (*Client, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	client := &Client{conn, make(chan Line, maxUnread)}
	go client.receive(conn)
	return client, nil
}

// NewClient connects a client for a test, at whose end the connection is closed.
func NewClient(t Host, addr string) *Client {
	client, err := Dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { CloseQuietly(client) })
	return client
}

// receive reads messages until the connection ends, or one can't be parsed. The connection is that of the start: a test
// may put another one in its place.
func (c *Client) receive(conn net.Conn) {
	defer close(c.Lines)
	for scanner := bufio.NewScanner(conn); scanner.Scan(); {
		var line Line
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			return
		}
		c.Lines <- line
	}
}
