// Package standin holds the stand-ins that tests talk to: minions, a command
// channel and owners on JSON lines, written from the pages of the protocol with
// libraries that the program itself does not use for it. It owns what it listens
// on, gives that back at the end of the test, and must never be part of a program
// that serves.
package testbed

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"
)

// Host is what stand-ins need of whoever plays with them: a test, or a rehearsal.
type Host interface {
	Helper()
	Cleanup(f func())
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// Patience is how long a test waits for what must come.
const Patience = 10 * time.Second

// Line is one message.
type Line struct {
	Verb string            `json:"verb"`
	Tag  string            `json:"tag"`
	Opts map[string]string `json:"opts"`
	RC   *int              `json:"rc,omitempty"`
	Blob *string           `json:"blob,omitempty"`
}

// Cause is the cause of a message, -1 where it has none.
func (l Line) Cause() int {
	if l.RC == nil {
		return -1
	}
	return *l.RC
}

// FinishLine is a message with a cause.
func FinishLine(verb, tag string, rc int) Line {
	return Line{Verb: verb, Tag: tag, Opts: map[string]string{}, RC: &rc}
}

// RequestID is the nth tag.
func RequestID(n int) string { return fmt.Sprintf("%016x", n) }

// StartLine is a set-up of a task of one core.
func StartLine(tag, class, key string, leftMs int) Line {
	blob := "about " + key
	return Line{Verb: "START", Tag: tag, Blob: &blob, Opts: map[string]string{"class": class, "key": key,
		"left": strconv.Itoa(leftMs), "extras": "cores:1;memory:2;service:00000000b4d65521"}}
}

// Send writes a message. That the other side is gone shows when reading.
func Send(w io.Writer, l Line) {
	b, err := json.Marshal(l)
	if err != nil {
		panic(err)
	}
	w.Write(append(b, '\n'))
}

// Wait takes what must come on a channel.
func Wait[T any](t Host, what string, c <-chan T) T {
	t.Helper()
	select {
	case v, ok := <-c:
		if !ok {
			t.Fatalf("%s: the other side closed", what)
		}
		return v
	case <-time.After(Patience):
		t.Fatalf("%s: nothing came in %s", what, Patience)
	}
	panic("not reached")
}

// Client is an owner's connection. Lines is closed when that ends.
type Client struct {
	net.Conn
	Lines chan Line
}

// Dial connects an owner.
func Dial(addr string) (*Client, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	o := &Client{c, make(chan Line, 1000)}
	go func() {
		defer close(o.Lines)
		for r := bufio.NewScanner(c); r.Scan(); {
			var l Line
			if json.Unmarshal(r.Bytes(), &l) != nil {
				return
			}
			o.Lines <- l
		}
	}()
	return o, nil
}

// NewClient connects an owner for a test.
func NewClient(t Host, addr string) *Client {
	o, err := Dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { o.Close() })
	return o
}
