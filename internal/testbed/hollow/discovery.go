package hollow

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"ravenhitch/internal/shard"
)

// This file implements the events of the worker list and selects the entries that answer a poll. An orchestrator
// may name shards of a zone in its polls. In that zone, it then gets changes of free capacity only for the
// workers of these shards. A change of a worker's phase or address goes to all orchestrators.

// maxEvents is the maximum number of events that are kept. An orchestrator that needs an older event gets the
// complete list.
const maxEvents = 128

// Discovery publishes the worker list of a fleet: first the complete list, then periodically the
// entries that changed.
type Discovery struct {
	fleet  *Fleet
	period time.Duration

	mutex       sync.Mutex
	revision    int           // revision of the last event
	events      []event       // latest maxEvents events, in order
	added       chan struct{} // closed and replaced when an event is added
	paused      bool
	entriesSent int64 // number of changed entries published so far

	stop       chan struct{}
	goroutines sync.WaitGroup
}

type event struct {
	revision int
	entries  []eventEntry
}

// eventEntry is the list entry of a worker in an event.
type eventEntry struct {
	text         string // list entry as JSON
	worker       *Worker
	stateChanged bool // the worker's phase or address changed, not only its free capacity
}

// poll is a request of an orchestrator for the events that follow a cursor.
type poll struct {
	base          int       // revision of the orchestrator's initial list minus 1; cursor c means revision base + c
	after         int       // cursor of the last event that the orchestrator has applied
	shards        shard.Set // shards, by zone, for whose workers the poll requests changes of free capacity
	delayCapacity bool      // if only free capacity changed, the answer may wait until the poll times out
}

// lastRevision returns the revision of the last event that the orchestrator has applied.
func (p *poll) lastRevision() int { return p.base + p.after }

// wants reports whether an entry answers the poll. It does if the worker's state changed, if the worker is in
// one of the poll's shards, or if the poll names no shards of the worker's zone.
func (p *poll) wants(e *eventEntry) bool {
	_, named := p.shards[e.worker.Zone]
	return e.stateChanged || !named || p.shards.Has(e.worker.Zone, e.worker.ID)
}

// NewDiscovery returns a Discovery that publishes changes once per period.
func NewDiscovery(fleet *Fleet, period time.Duration) *Discovery {
	d := &Discovery{fleet: fleet, period: period, revision: 1, added: make(chan struct{}), stop: make(chan struct{})}
	d.goroutines.Go(d.publishPeriodically)
	return d
}

// SetPaused pauses or resumes publishing. Changes made during the pause are published at the end of the period in
// which publishing is resumed.
func (d *Discovery) SetPaused(paused bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.paused = paused
}

// EntriesPublished returns the number of changed entries published so far. An entry counts once, independently
// of the number of orchestrators that receive it.
func (d *Discovery) EntriesPublished() int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.entriesSent
}

// Revision returns the revision of the last event.
func (d *Discovery) Revision() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.revision
}

// Pending reports whether there are changes that are not published yet.
func (d *Discovery) Pending() bool {
	d.fleet.mutex.Lock()
	defer d.fleet.mutex.Unlock()
	return len(d.fleet.changed) > 0
}

// Close stops publishing. It does not close subscriptions; each has its own Close.
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

// publishChanges adds an event with the changed entries that are not published yet. It does nothing if there are none
// or if publishing is paused.
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
	for index, kind := range changed {
		entries = append(entries, d.fleet.Workers[index].eventEntry(kind))
	}
	d.entriesSent += int64(len(entries))
	d.add(entries)
}

// publishShards adds an event with the current entries of the workers of some shards.
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

// add adds an event. The caller holds the lock.
func (d *Discovery) add(entries []eventEntry) {
	d.revision++
	d.events = append(d.events, event{d.revision, entries})
	if len(d.events) > maxEvents {
		d.events = d.events[1:]
	}
	close(d.added)
	d.added = make(chan struct{})
}

// completeEvent returns the complete list as the text of one event. The caller holds the lock.
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

// answerText returns the answer to a poll with one event, or with no event if event is "".
func answerText(cursor int, event string) string {
	return fmt.Sprintf(`{"cursor":%d,"cmds":[%s]}`, cursor, event)
}

// answer returns the answer to a poll. If there is nothing to send yet, the answer is "", and the channel in the
// result added is closed when the next event is added. The result cursor is the higher of two cursors: that of the
// last event and that of the poll.
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

// entriesSince selects entries for a poll from the events after a revision. It returns, for each worker, the latest
// entry that the poll wants. urgent is true if the state of any of these workers changed. The caller holds the lock.
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
