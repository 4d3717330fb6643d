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

// This file owns the stand-in for discovery: its events, and the calls that wait for more.
// It must never know which workers there are but by Add and CopyFrom.

// maxPolls bounds the polls that Discovery.Asked holds; what comes beyond is dropped.
const maxPolls = 1000

// Discovery serves the list of workers as the command channel does.
type Discovery struct {
	Server *httptest.Server
	Polls  chan int // what each call resumes from
	mu     sync.Mutex
	added  chan struct{} // closed when an event is added
	events []string
}

// NewDiscovery starts a server without events, which ends with the test.
func NewDiscovery(t Host) *Discovery {
	d := &Discovery{added: make(chan struct{}), Polls: make(chan int, maxPolls)}
	d.Server = httptest.NewServer(http.HandlerFunc(d.poll))
	t.Cleanup(d.Server.Close)
	return d
}

// poll answers a call for the events after one, once there are any or its time is up.
func (d *Discovery) poll(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("resume"))
	blockMs, _ := strconv.Atoi(r.URL.Query().Get("block"))
	select {
	case d.Polls <- after:
	default:
	}
	timeout := time.After(time.Duration(blockMs) * time.Millisecond)
	for {
		count, added := d.state()
		if count > after {
			break
		}
		select {
		case <-added:
			continue
		case <-timeout:
		case <-r.Context().Done():
			return
		}
		break
	}
	_, _ = io.WriteString(w, d.InitialList(after)) // a caller that is gone polls again
}

// state is the number of events, and what is closed when there is one more.
func (d *Discovery) state() (count int, added <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.events), d.added
}

// InitialList is the answer to a call that has applied the events up to after.
func (d *Discovery) InitialList(after int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprintf(`{"cursor":%d,"cmds":[%s]}`, len(d.events), strings.Join(d.events[min(after, len(d.events)):], ","))
}

// Add adds an event with the entries of workers; a complete one lists all there are.
func (d *Discovery) Add(complete bool, entries ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	number := len(d.events) + 1
	d.events = append(d.events, fmt.Sprintf(`{"cursor":%d,"nodes":{"revision":%d,"complete":%v,"members":[%s]}}`,
		number, number, complete, strings.Join(entries, ",")))
	close(d.added)
	d.added = make(chan struct{})
}

// WaitPolled waits until the program calls for what follows all events so far, which it does
// once it has applied them.
func (d *Discovery) WaitPolled(t Host) {
	t.Helper()
	count, _ := d.state()
	for Wait(t, "the command channel is asked", d.Polls) < count {
	}
}

// CopyFrom adds all events of another discovery so far.
func (d *Discovery) CopyFrom(from *Discovery) {
	from.mu.Lock()
	defer from.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, from.events...)
}
