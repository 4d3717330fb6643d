package testbed

import (
	"sync"
	"time"
)

// This file owns the measurement of the pauses in which the host does not run the test process. A test observes events in
// these intervals too late, so its limits on observed times are extended by them.

// The pause meter wakes up every pauseInterval. It counts a wake-up as a pause if it is late by more than
// minPause.
const (
	pauseInterval = 5 * time.Millisecond
	minPause      = 10 * time.Millisecond
)

// PauseMeter records the intervals in which the host did not run the test process although a timer of the
// process had expired. The zero value has recorded none.
type PauseMeter struct {
	mu     sync.Mutex
	pauses []pause
}

type pause struct{ from, to time.Time }

// Run records pauses until done is closed.
func (m *PauseMeter) Run(done <-chan struct{}) {
	for last := time.Now(); ; {
		select {
		case <-done:
			return
		case <-time.After(pauseInterval):
		}
		now := time.Now()
		if now.Sub(last) > pauseInterval+minPause {
			m.record(last.Add(pauseInterval), now)
		}
		last = now
	}
}

func (m *PauseMeter) record(from, to time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pauses = append(m.pauses, pause{from, to})
}

// TotalBetween returns the total length of the recorded pauses that overlap the time between from and to.
func (m *PauseMeter) TotalBetween(from, to time.Time) (sum time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.pauses {
		if p.from.Before(to) && p.to.After(from) {
			sum += p.to.Sub(p.from)
		}
	}
	return sum
}
