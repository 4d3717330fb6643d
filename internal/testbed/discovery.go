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

// This file owns the stand-in for discovery: its events and the polls that wait for new ones.
// It must learn about workers only through Add and CopyFrom.

// maxPolls is the capacity of Discovery.Polls. Further polls are answered but not recorded.
const maxPolls = 1000

// Discovery serves the list of workers to orchestrators that poll it over HTTP, as the discovery service does.
type Discovery struct {
	Server *httptest.Server
	// OmitDate makes the responses have no Date header. It must be set before the first poll.
	OmitDate bool
	Polls    chan int // receives, for each poll, the number of the last event that the caller has applied
	mu       sync.Mutex
	added    chan struct{} // closed and replaced by each call of Add
	events   []string
}

// NewDiscovery starts a server without events. The server is closed at the end of the test or rehearsal.
func NewDiscovery(t Host) *Discovery {
	d := &Discovery{added: make(chan struct{}), Polls: make(chan int, maxPolls)}
	d.Server = httptest.NewServer(http.HandlerFunc(d.poll))
	t.Cleanup(d.Server.Close)
	return d
}

// poll answers a poll for the events after a given event. It answers as soon as there is a later event, or
// without events when the timeout that the caller sets expires.
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
	if d.OmitDate {
		w.Header()["Date"] = nil
	}
	_, _ = io.WriteString(w, d.PollResponse(after)) // write errors are ignored: a caller whose connection has ended polls again
}

// state returns the number of events and a channel that is closed when Add adds one.
func (d *Discovery) state() (count int, added <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.events), d.added
}

// PollResponse returns the response to a poll. The argument after is the number of events that the polling orchestrator
// has already applied. The response contains the later events.
func (d *Discovery) PollResponse(after int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprintf(`{"cursor":%d,"cmds":[%s]}`, len(d.events), strings.Join(d.events[min(after, len(d.events)):], ","))
}

// Add adds an event with worker entries; complete states that the event lists all workers.
func (d *Discovery) Add(complete bool, entries ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	number := len(d.events) + 1
	d.events = append(d.events, fmt.Sprintf(`{"cursor":%d,"nodes":{"revision":%d,"complete":%v,"members":[%s]}}`,
		number, number, complete, strings.Join(entries, ",")))
	close(d.added)
	d.added = make(chan struct{})
}

// WaitPolled waits until the program polls for events after the last event of this Discovery. This poll shows
// that the program has applied all events.
func (d *Discovery) WaitPolled(t Host) {
	t.Helper()
	count, _ := d.state()
	for Wait(t, "a poll of discovery for the events after the last one", d.Polls) < count {
	}
}

// CopyFrom appends the current events of another Discovery. It does not wake waiting polls.
func (d *Discovery) CopyFrom(from *Discovery) {
	from.mu.Lock()
	defer from.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, from.events...)
}
