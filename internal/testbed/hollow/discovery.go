package hollow

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"ravenhitch/internal/shard"
)

// This file owns the events of the worker list, and which of them answer a poll. An
// orchestrator that names shards in its polls gets the free capacity of their workers alone;
// phase and address of a worker go to all.

// maxEvents bounds the events that are kept. An orchestrator that is further behind gets the
// complete list.
const maxEvents = 128

// Discovery publishes the list of a fleet: complete at first, then the entries that changed,
// periodically.
type Discovery struct {
	fleet  *Fleet
	period time.Duration

	mutex       sync.Mutex
	revision    int           // of the last event
	events      []event       // the latest, in order
	added       chan struct{} // closed when an event is added
	paused      bool
	entriesSent int64 // of all changes so far

	stop       chan struct{}
	goroutines sync.WaitGroup
}

type event struct {
	revision int
	entries  []eventEntry
}

// eventEntry is the entry of a worker as text.
type eventEntry struct {
	text         string
	worker       *Worker
	stateChanged bool // and not its free capacity alone
}

// poll is what an orchestrator calls for.
type poll struct {
	base          int       // the revision before its first event
	after         int       // the cursor of the last event that it has applied
	shards        shard.Set // whose free capacity it wants
	delayCapacity bool      // changes of free capacity alone may wait for the end of the call
}

// lastRevision is that of the last event that the orchestrator has applied.
func (p *poll) lastRevision() int { return p.base + p.after }

// wants reports whether an entry answers the poll: one of its shards, one of a zone that it
// does not name, and any whose state changed.
func (p *poll) wants(e *eventEntry) bool {
	_, named := p.shards[e.worker.Zone]
	return e.stateChanged || !named || p.shards.Has(e.worker.Zone, e.worker.ID)
}

// NewDiscovery starts to publish changes with a period.
func NewDiscovery(fleet *Fleet, period time.Duration) *Discovery {
	d := &Discovery{fleet: fleet, period: period, revision: 1, added: make(chan struct{}), stop: make(chan struct{})}
	d.goroutines.Go(d.publishPeriodically)
	return d
}

// SetPaused holds changes back, or lets those since be published at the end of the period.
func (d *Discovery) SetPaused(paused bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.paused = paused
}

// EntriesSent is the number of entries that changed so far, each counted once for all
// orchestrators.
func (d *Discovery) EntriesSent() int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.entriesSent
}

// Revision is that of the last event.
func (d *Discovery) Revision() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.revision
}

// Pending reports whether anything changed that is not published yet.
func (d *Discovery) Pending() bool {
	d.fleet.mutex.Lock()
	defer d.fleet.mutex.Unlock()
	return len(d.fleet.changed) > 0
}

// Close ends the publishing. Subscriptions end by their own Close.
func (d *Discovery) Close() {
	close(d.stop)
	d.goroutines.Wait()
}

func (d *Discovery) publishPeriodically() {
	ticker := time.NewTicker(d.period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.publishChanges()
		case <-d.stop:
			return
		}
	}
}

// publishChanges adds an event of what changed.
func (d *Discovery) publishChanges() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.paused {
		return
	}
	changed := d.fleet.takeChanges()
	if len(changed) == 0 {
		return
	}
	var entries []eventEntry
	for index, what := range changed {
		entries = append(entries, d.fleet.Workers[index].eventEntry(what))
	}
	d.entriesSent += int64(len(entries))
	d.add(entries)
}

// publishShards adds an event of the workers of some shards as they are now.
func (d *Discovery) publishShards(shards shard.Set) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var entries []eventEntry
	for _, w := range d.fleet.Workers {
		if shards.Has(w.Zone, w.ID) {
			entries = append(entries, w.eventEntry(capacityChanged))
		}
	}
	d.add(entries)
}

// add adds an event. The lock is held.
func (d *Discovery) add(entries []eventEntry) {
	d.revision++
	d.events = append(d.events, event{d.revision, entries})
	if len(d.events) > maxEvents {
		d.events = d.events[1:]
	}
	close(d.added)
	d.added = make(chan struct{})
}

// completeEvent is the complete list as one event. The lock is held.
func (d *Discovery) completeEvent(cursor int) string {
	entries := make([]string, 0, len(d.fleet.Workers))
	for _, w := range d.fleet.Workers {
		entries = append(entries, w.entry())
	}
	return eventText(cursor, d.revision, true, entries)
}

func eventText(cursor, revision int, complete bool, entries []string) string {
	return fmt.Sprintf(`{"cursor":%d,"nodes":{"revision":%d,"complete":%v,"members":[%s]}}`, cursor, revision, complete,
		strings.Join(entries, ","))
}

// answerText is the answer to a poll with one event, or with none where that is "".
func answerText(cursor int, event string) string {
	return fmt.Sprintf(`{"cursor":%d,"cmds":[%s]}`, cursor, event)
}

// answer is the answer to a poll, or "" and what is closed when an event is added; cursor is
// that of the last event.
func (d *Discovery) answer(p *poll) (answer string, cursor int, added <-chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	last := p.lastRevision()
	cursor = max(p.after, d.revision-p.base)
	if d.revision > last && (len(d.events) == 0 || d.events[0].revision > last+1) {
		return answerText(cursor, d.completeEvent(cursor)), cursor, nil
	}
	entries, urgent := d.entriesSince(last, p)
	if len(entries) == 0 || p.delayCapacity && !urgent {
		return "", cursor, d.added
	}
	return answerText(cursor, eventText(cursor, d.revision, false, entries)), cursor, nil
}

// entriesSince are the entries that answer a poll, of what changed after a revision: the
// latest of each worker, and whether the state of any changed. The lock is held.
func (d *Discovery) entriesSince(revision int, p *poll) (texts []string, urgent bool) {
	indexes := map[*Worker]int{}
	for _, e := range d.events {
		if e.revision <= revision {
			continue
		}
		for i := range e.entries {
			entry := &e.entries[i]
			if !p.wants(entry) {
				continue
			}
			urgent = urgent || entry.stateChanged
			index, present := indexes[entry.worker]
			if !present {
				index = len(texts)
				indexes[entry.worker], texts = index, append(texts, "")
			}
			texts[index] = entry.text
		}
	}
	return texts, urgent
}
