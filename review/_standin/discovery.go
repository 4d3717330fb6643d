package main

// This file owns the stand-in for the command channel.

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// channel serves the list of minions. Each answer leaves late after it is due.
type channel struct {
	record *record
	late   time.Duration
	addr   string

	mu     sync.Mutex
	added  chan struct{}
	events []string
}

func newChannel(r *record, late time.Duration) (*channel, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &channel{record: r, late: late, addr: listener.Addr().String(), added: make(chan struct{})}
	go func() { _ = http.Serve(listener, http.HandlerFunc(c.poll)) }()
	return c, nil
}

func (c *channel) add(complete bool, entries ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.events) + 1
	c.events = append(c.events, fmt.Sprintf(`{"cursor":%d,"nodes":{"revision":%d,"complete":%v,"members":[%s]}}`,
		n, n, complete, strings.Join(entries, ",")))
	close(c.added)
	c.added = make(chan struct{})
}

func (c *channel) state(after int) (body string, count int, added <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count = len(c.events)
	return fmt.Sprintf(`{"cursor":%d,"cmds":[%s]}`, count, strings.Join(c.events[min(after, count):], ",")), count, c.added
}

func (c *channel) poll(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("resume"))
	block, _ := strconv.Atoi(r.URL.Query().Get("block"))
	timeout := time.After(time.Duration(min(block, 5000)) * time.Millisecond)
	asked := time.Now()
	for waiting := true; waiting; {
		_, count, added := c.state(after)
		if count > after {
			break
		}
		select {
		case <-added:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	body, count, _ := c.state(after)
	if c.late > 0 {
		select {
		case <-time.After(c.late):
		case <-r.Context().Done():
			c.record.log("channel: call with resume=%d given up by the orchestrator after %.2f s, before its answer of events up to %d",
				after, time.Since(asked).Seconds(), count)
			return
		}
	}
	if count > after {
		c.record.log("channel: call with resume=%d answered with events up to %d after %.2f s", after, count, time.Since(asked).Seconds())
	}
	_, _ = fmt.Fprint(w, body)
}
