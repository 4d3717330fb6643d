package hollow

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"ravenhitch/internal/shard"
)

// This file owns the source of the worker list: its events, and which of them each orchestrator
// has heard. An orchestrator that names shards in its calls is told the room of their workers alone;
// whether and where a worker is there is told to all.

// keptEvents bounds the events that are kept. An orchestrator that is further behind is told the
// whole list.
const keptEvents = 128

// Discovery tells the list of a fleet: whole at first, then the entries that changed, at intervals.
type Discovery struct {
	fleet *Fleet
	every time.Duration

	mutex    sync.Mutex
	revision int
	events   []event // the latest, in order
	more     chan struct{}
	quiet    bool
	told     int64 // entries of all changes so far

	stop    chan struct{}
	stopped sync.WaitGroup
}

type event struct {
	revision int
	entries  []eventEntry
}

// eventEntry is the entry of a worker as text.
type eventEntry struct {
	text   string
	worker *Worker
	toAll  bool // it tells more than the worker's room
}

// call is what an orchestrator asks for.
type call struct {
	base, after int       // the revision before its first event, and the last one that it has heard
	shards      shard.Set // whose room it wants
	lateRoom    bool      // room alone is told at the end of its wait
}

// wants reports whether it is told an entry: one of its shards, of a zone that it does not name, and
// whatever tells more than room.
func (c *call) wants(e *eventEntry) bool {
	_, named := c.shards[e.worker.Zone]
	return e.toAll || !named || c.shards.Has(e.worker.Zone, e.worker.ID)
}

// NewDiscovery starts a source that tells changes at an interval.
func NewDiscovery(fleet *Fleet, every time.Duration) *Discovery {
	s := &Discovery{fleet: fleet, every: every, revision: 1, more: make(chan struct{}), stop: make(chan struct{})}
	s.stopped.Go(s.follow)
	return s
}

// SetQuiet holds changes back, or lets those since tell themselves at the next interval.
func (s *Discovery) SetQuiet(quiet bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.quiet = quiet
}

// EventsSent is how many entries changed so far, each counted once for all orchestrators.
func (s *Discovery) EventsSent() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.told
}

func (s *Discovery) follow() {
	ticker := time.NewTicker(s.every)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.tell()
		case <-s.stop:
			return
		}
	}
}

// tell makes an event of what changed.
func (s *Discovery) tell() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.quiet {
		return
	}
	changed := s.fleet.takeChanges()
	if len(changed) == 0 {
		return
	}
	var entries []eventEntry
	for index, what := range changed {
		entries = append(entries, s.fleet.Workers[index].eventEntry(what))
	}
	s.told += int64(len(entries))
	s.add(entries)
}

// tellFresh makes an event of the workers of some shards as they are now.
func (s *Discovery) tellFresh(shards shard.Set) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var entries []eventEntry
	for _, w := range s.fleet.Workers {
		if shards.Has(w.Zone, w.ID) {
			entries = append(entries, w.eventEntry(changedRoom))
		}
	}
	s.add(entries)
}

// add makes an event. The lock is held.
func (s *Discovery) add(entries []eventEntry) {
	s.revision++
	s.events = append(s.events, event{s.revision, entries})
	if len(s.events) > keptEvents {
		s.events = s.events[1:]
	}
	close(s.more)
	s.more = make(chan struct{})
}

// whole is the whole list as one event.
func (s *Discovery) whole(cursor int) string {
	entries := make([]string, 0, len(s.fleet.Workers))
	for _, w := range s.fleet.Workers {
		entries = append(entries, w.entry())
	}
	return eventText(cursor, s.revision, true, entries)
}

func eventText(cursor, revision int, complete bool, entries []string) string {
	return fmt.Sprintf(`{"cursor":%d,"nodes":{"revision":%d,"complete":%v,"members":[%s]}}`, cursor, revision, complete,
		strings.Join(entries, ","))
}

// Pending reports whether anything changed that is not told yet.
func (s *Discovery) Pending() bool {
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	return len(s.fleet.changed) > 0
}

// Close ends the source. Its subscriptions end by their own Close.
func (s *Discovery) Close() {
	close(s.stop)
	s.stopped.Wait()
}

// Subscription is the command channel of one orchestrator.
type Subscription struct {
	source   *Discovery
	server   *http.Server
	listener countingListener
	serving  sync.WaitGroup

	mutex sync.Mutex
	base  int // the revision before the first event of this start
	heard int // the revision of the last event that it asked beyond
}

// Subscribe opens a command channel.
func (s *Discovery) Subscribe() (*Subscription, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("hollow: command channel: %w", err)
	}
	u := &Subscription{source: s, listener: countingListener{Listener: listener, bytes: &Bytes{}}}
	u.server = &http.Server{Handler: http.HandlerFunc(u.next)}
	u.serving.Go(func() { u.server.Serve(u.listener) })
	return u, nil
}

// Address is where the orchestrator asks.
func (u *Subscription) Address() string { return u.listener.Addr().String() }

// Bytes counts what goes over the channel; In is what the orchestrator sent.
func (u *Subscription) Bytes() *Bytes { return u.listener.bytes }

// LastPolled is the revision of the last event that the orchestrator has applied.
func (u *Subscription) LastPolled() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.heard
}

// Revision is that of the last event.
func (s *Discovery) Revision() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}

// InitialList is what the configuration of an orchestrator that starts now holds: events are numbered
// anew from 1.
func (u *Subscription) InitialList() string {
	u.source.mutex.Lock()
	defer u.source.mutex.Unlock()
	u.mutex.Lock()
	u.base = u.source.revision - 1
	u.heard = u.source.revision
	u.mutex.Unlock()
	return fmt.Sprintf(`{"cursor":1,"cmds":[%s]}`, u.source.whole(1))
}

// next answers a call for what follows an event.
func (u *Subscription) next(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.Atoi(query.Get("resume"))
	block, _ := strconv.Atoi(query.Get("block"))
	shards, err := shard.Parse(query.Get("shards"))
	fresh, freshErr := shard.Parse(query.Get("fresh"))
	asked := call{after: after, shards: shards, lateRoom: query.Get("room") == "late" && fresh.Len() == 0}
	if err = cmp.Or(err, freshErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if fresh.Len() > 0 {
		u.source.tellFresh(fresh)
	}
	u.mutex.Lock()
	asked.base = u.base
	u.heard = asked.base + after
	u.mutex.Unlock()
	limit := time.NewTimer(time.Duration(block) * time.Millisecond)
	defer limit.Stop()
	for {
		answer, _, more := u.source.after(&asked)
		if answer != "" {
			io.WriteString(w, answer)
			return
		}
		select {
		case <-more:
		case <-limit.C:
			asked.lateRoom = false
			answer, last, _ := u.source.after(&asked)
			if answer == "" {
				answer = fmt.Sprintf(`{"cursor":%d,"cmds":[]}`, last)
			}
			io.WriteString(w, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// after is the answer to a call, or "" and where more will be noticed; last is the cursor of the
// last event.
func (s *Discovery) after(asked *call) (answer string, last int, more <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	heard := asked.base + asked.after
	last = max(asked.after, s.revision-asked.base)
	if s.revision > heard && (len(s.events) == 0 || s.events[0].revision > heard+1) {
		return fmt.Sprintf(`{"cursor":%d,"cmds":[%s]}`, last, s.whole(last)), last, nil
	}
	entries, urgent := s.since(heard, asked)
	if len(entries) == 0 || asked.lateRoom && !urgent {
		return "", last, s.more
	}
	return fmt.Sprintf(`{"cursor":%d,"cmds":[%s]}`, last, eventText(last, s.revision, false, entries)), last, nil
}

// since are the entries that a call is told of what changed after a revision, the latest of each worker,
// and whether any tells more than room. The lock is held.
func (s *Discovery) since(heard int, asked *call) (texts []string, urgent bool) {
	at := map[*Worker]int{}
	for _, e := range s.events {
		if e.revision <= heard {
			continue
		}
		for i := range e.entries {
			entry := &e.entries[i]
			if !asked.wants(entry) {
				continue
			}
			urgent = urgent || entry.toAll
			place, there := at[entry.worker]
			if !there {
				place = len(texts)
				at[entry.worker], texts = place, append(texts, "")
			}
			texts[place] = entry.text
		}
	}
	return texts, urgent
}

// Close ends the channel.
func (u *Subscription) Close() {
	u.server.Close()
	u.serving.Wait()
}
