package testbed

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// This file owns what is out where, as minions see it, for the rule that one attempt of
// a request is out at a time: from the arrival of its set-up until its end is written,
// its give-up is read, or the orchestrator closes its connection. A task that stands is
// out until its end.

// AttemptLog notes the attempts at all minions that share it. A nil one notes nothing.
type AttemptLog struct {
	mu     sync.Mutex
	out    map[string]map[string]place // by tag and minion
	shut   map[string]func() bool      // by connection: whether the orchestrator has closed it
	tried  map[string]int              // set-ups by tag
	last   map[string]time.Time        // when the last of them came
	copies []string
}

// place is how an attempt is out: by the connection of its set-up, or standing.
type place struct {
	conn   string
	stands bool
}

// NewAttemptLog returns notes without an attempt.
func NewAttemptLog() *AttemptLog {
	return &AttemptLog{out: map[string]map[string]place{}, shut: map[string]func() bool{}, tried: map[string]int{},
		last: map[string]time.Time{}}
}

func (a *AttemptLog) offered(minion, conn, tag string) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tried[tag]++
	a.last[tag] = time.Now()
	for at, p := range a.out[tag] {
		if shut := a.shut[p.conn]; shut != nil && shut() {
			continue // whoever reads the connection has not come to its end yet
		}
		a.copies = append(a.copies, fmt.Sprintf("%s came to %s while out at %s (stands there: %v)", tag, minion, at, p.stands))
	}
	if a.out[tag] == nil {
		a.out[tag] = map[string]place{}
	}
	a.out[tag][minion] = place{conn: conn}
}

func (a *AttemptLog) stands(minion, tag string) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.out[tag][minion] = place{stands: true}
}

func (a *AttemptLog) ended(minion, tag string) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.out[tag], minion)
}

// opened takes a connection, named by the address that the minion knows it by, and a
// way to ask whether the orchestrator has closed it.
func (a *AttemptLog) opened(conn string, shut func() bool) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shut[conn] = shut
}

// closed takes the end of a connection on the orchestrator's side.
func (a *AttemptLog) closed(conn string) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.shut, conn)
	for _, at := range a.out {
		for minion, p := range at {
			if !p.stands && p.conn == conn {
				delete(at, minion)
			}
		}
	}
}

// Duplicates are the set-ups that came while another attempt of theirs was out.
func (a *AttemptLog) Duplicates() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.copies)
}

// Count is how many set-ups of a tag came.
func (a *AttemptLog) Count(tag string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tried[tag]
}

// Last is when the last set-up of a tag came, the zero time where none did.
func (a *AttemptLog) Last(tag string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last[tag]
}

// Open lists the tags with an attempt out that does not stand.
func (a *AttemptLog) Open() (tags []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for tag, at := range a.out {
		for _, p := range at {
			if !p.stands {
				tags = append(tags, tag)
			}
		}
	}
	return tags
}

// Running lists the tags that stand at a minion.
func (a *AttemptLog) Running(minion string) (tags []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for tag, at := range a.out {
		if at[minion].stands {
			tags = append(tags, tag)
		}
	}
	return tags
}
