package main

// This file owns the stand-in for an owner's connection.

import (
	"fmt"
	"net"
	"sync"
	"time"
)

type client struct {
	*link
	name   string
	record *record
	mu2    sync.Mutex
	got    map[string][]received
	news   chan struct{}
	ended  chan struct{}

	onMessage func(m message)
}

type received struct {
	message
	at time.Time
}

func dialClient(r *record, addr, name string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{link: &link{Conn: conn}, name: name, record: r, got: map[string][]received{}, news: make(chan struct{}, 1),
		ended: make(chan struct{})}
	go func() {
		c.receive(func(m message) {
			r.log("%s: got %s %s %d wait=%s", name, m.Verb, m.Tag, m.code(), m.opt("wait"))
			c.mu2.Lock()
			c.got[m.Tag] = append(c.got[m.Tag], received{m, time.Now()})
			c.mu2.Unlock()
			if c.onMessage != nil {
				c.onMessage(m)
			}
			select {
			case c.news <- struct{}{}:
			default:
			}
		})
		r.log("%s: the connection is at its end", name)
		close(c.ended)
	}()
	return c, nil
}

func (c *client) about(tag string) []received {
	c.mu2.Lock()
	defer c.mu2.Unlock()
	return append([]received(nil), c.got[tag]...)
}

// setUp sends a set-up. at names the minion that holds the task already, "" for none.
func (c *client) setUp(tag, key, class string, left time.Duration, cores, mem float64, at string) error {
	extras := fmt.Sprintf("cores:%g;memory:%g;service:00000000b4d65521", cores, mem)
	if at != "" {
		extras += ";at:" + at
	}
	blob := "task " + key
	c.record.log("%s: START %s (task %s, class %s%s)", c.name, tag, key, class, map[bool]string{true: ", stands at " + at}[at != ""])
	return c.send(message{Verb: "START", Tag: tag, Opts: map[string]any{"class": class,
		"left": fmt.Sprint(left.Milliseconds()), "key": key, "extras": extras}, Blob: &blob})
}
