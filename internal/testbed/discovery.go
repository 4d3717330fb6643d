package testbed

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// This file owns the stand-in command channel: its events and who waits for more.

// Discovery is a command channel.
type Discovery struct {
	Srv    *httptest.Server
	Asked  chan int // what each call resumes from
	mu     sync.Mutex
	more   chan struct{} // closed when an event is added
	events []string
}

// NewDiscovery returns a channel without events.
func NewDiscovery(t Host) *Discovery {
	f := &Discovery{more: make(chan struct{}), Asked: make(chan int, 1000)}
	f.Srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.URL.Query().Get("resume"))
		block, _ := strconv.Atoi(r.URL.Query().Get("block"))
		select {
		case f.Asked <- after:
		default:
		}
		limit := time.After(time.Duration(block) * time.Millisecond)
		for {
			f.mu.Lock()
			n, more := len(f.events), f.more
			f.mu.Unlock()
			if n > after {
				break
			}
			select {
			case <-more:
				continue
			case <-limit:
			case <-r.Context().Done():
				return
			}
			break
		}
		io.WriteString(w, f.InitialList(after))
	}))
	t.Cleanup(f.Srv.Close)
	return f
}

// InitialList is the answer to a call that has heard all events up to after.
func (f *Discovery) InitialList(after int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprintf(`{"cursor":%d,"cmds":[%s]}`, len(f.events), strings.Join(f.events[min(after, len(f.events)):], ","))
}

// Add tells of members.
func (f *Discovery) Add(complete bool, members ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.events) + 1
	f.events = append(f.events, fmt.Sprintf(`{"cursor":%d,"nodes":{"revision":%d,"complete":%v,"members":[%s]}}`,
		n, n, complete, strings.Join(members, ",")))
	close(f.more)
	f.more = make(chan struct{})
}

// WaitPolled waits until the program asks for what follows all events so far, which
// it does once it has applied them.
func (f *Discovery) WaitPolled(t Host) {
	t.Helper()
	f.mu.Lock()
	n := len(f.events)
	f.mu.Unlock()
	for Wait(t, "the command channel is asked", f.Asked) < n {
	}
}

// CopyFrom has all events of another channel so far.
func (f *Discovery) CopyFrom(from *Discovery) {
	from.mu.Lock()
	defer from.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, from.events...)
}
