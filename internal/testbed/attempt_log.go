package testbed

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// This file owns the record of attempts as workers see them, for the rule that at most one
// attempt of a request is in flight: from the arrival of its offer until its outcome is
// written, its cancel is read, or the orchestrator closes its connection. A running task is
// in flight until its completion. It must never judge more than that rule.

// AttemptLog records the attempts at all workers that share it. A nil one records nothing.
type AttemptLog struct {
	mu           sync.Mutex
	inFlight     map[string]map[string]attempt // by request ID and worker
	disconnected map[string]func() bool        // by connection: whether the orchestrator has closed it
	offers       map[string]int                // by request ID
	lastOffer    map[string]time.Time          // by request ID
	lastWorker   map[string]string             // that got the last offer, by request ID
	arrivals     map[string][]Arrival          // by worker
	duplicates   []string
}

// Arrival is an offer that reached a worker, and when.
type Arrival struct {
	RequestID string
	At        time.Time
}

// attempt is one in flight: by the connection of its offer, or running.
type attempt struct {
	connection string
	running    bool
}

// NewAttemptLog returns a record without attempts.
func NewAttemptLog() *AttemptLog {
	return &AttemptLog{
		inFlight:     map[string]map[string]attempt{},
		disconnected: map[string]func() bool{},
		offers:       map[string]int{},
		lastOffer:    map[string]time.Time{},
		lastWorker:   map[string]string{},
		arrivals:     map[string][]Arrival{},
	}
}

// offered records that an offer reached a worker.
func (a *AttemptLog) offered(worker, connection, requestID string) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.offers[requestID]++
	now := time.Now()
	a.lastOffer[requestID], a.lastWorker[requestID] = now, worker
	a.arrivals[worker] = append(a.arrivals[worker], Arrival{requestID, now})
	for other, earlier := range a.inFlight[requestID] {
		if closed := a.disconnected[earlier.connection]; closed != nil && closed() {
			continue // whoever reads the connection has not come to its end yet
		}
		a.duplicates = append(a.duplicates,
			fmt.Sprintf("%s came to %s while in flight at %s (running there: %v)", requestID, worker, other, earlier.running))
	}
	if a.inFlight[requestID] == nil {
		a.inFlight[requestID] = map[string]attempt{}
	}
	a.inFlight[requestID][worker] = attempt{connection: connection}
}

// accepted records that a worker runs the task of a request.
func (a *AttemptLog) accepted(worker, requestID string) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inFlight[requestID] == nil {
		a.inFlight[requestID] = map[string]attempt{}
	}
	a.inFlight[requestID][worker] = attempt{running: true}
}

// ended records the end of an attempt or of its task.
func (a *AttemptLog) ended(worker, requestID string) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.inFlight[requestID], worker)
}

// connected records a connection, named by the address that the worker sees, and how to
// learn whether the orchestrator has closed it.
func (a *AttemptLog) connected(connection string, closed func() bool) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.disconnected[connection] = closed
}

// connectionClosed records the end of a connection on the orchestrator's side, which ends
// the attempts on it.
func (a *AttemptLog) connectionClosed(connection string) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.disconnected, connection)
	for _, attempts := range a.inFlight {
		for worker, open := range attempts {
			if !open.running && open.connection == connection {
				delete(attempts, worker)
			}
		}
	}
}

// Duplicates describes the offers that came while another attempt of their request was in
// flight.
func (a *AttemptLog) Duplicates() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.duplicates)
}

// Arrivals are the offers that reached a worker, in order.
func (a *AttemptLog) Arrivals(worker string) []Arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.arrivals[worker])
}

// workerLost records the end of a worker's process, which ends all that is in flight there.
func (a *AttemptLog) workerLost(worker string) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, attempts := range a.inFlight {
		delete(attempts, worker)
	}
}

// Count is the number of offers of a request.
func (a *AttemptLog) Count(requestID string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.offers[requestID]
}

// Last is when the last offer of a request came, the zero time where none did.
func (a *AttemptLog) Last(requestID string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastOffer[requestID]
}

// LastWorker is the worker that got the last offer of a request, "" where none did.
func (a *AttemptLog) LastWorker(requestID string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastWorker[requestID]
}

// Open lists the requests with an attempt in flight whose task does not run.
func (a *AttemptLog) Open() (requestIDs []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for requestID, attempts := range a.inFlight {
		for _, open := range attempts {
			if !open.running {
				requestIDs = append(requestIDs, requestID)
			}
		}
	}
	return requestIDs
}

// OpenAt lists those of Open whose attempt is in flight at a worker.
func (a *AttemptLog) OpenAt(worker string) (requestIDs []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for requestID, attempts := range a.inFlight {
		if open, ok := attempts[worker]; ok && !open.running {
			requestIDs = append(requestIDs, requestID)
		}
	}
	return requestIDs
}

// Running lists the requests whose tasks run at a worker.
func (a *AttemptLog) Running(worker string) (requestIDs []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for requestID, attempts := range a.inFlight {
		if attempts[worker].running {
			requestIDs = append(requestIDs, requestID)
		}
	}
	return requestIDs
}
