package testbed

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// This file owns the record of attempts from the workers' side. It must check only one rule: at most one attempt of a
// request is in flight at any time. An attempt is in flight from the arrival of its offer until the worker writes the
// outcome or reads the cancel, or until the orchestrator closes the connection. If the worker accepts the task, the
// attempt is in flight until the task ends. A crash of the worker ends all its attempts.

// AttemptLog records the attempts at all workers that share the log. A test that needs no log uses a nil
// AttemptLog: recording to it does nothing, but its queries panic.
type AttemptLog struct {
	mu         sync.Mutex
	inFlight   map[string]map[string]attempt // by request ID and worker
	isClosed   map[string]func() bool        // by remote address of a connection: whether the orchestrator closed it
	offers     map[string]int                // number of offers, by request ID
	lastOffer  map[string]time.Time          // arrival time of the last offer, by request ID
	lastWorker map[string]string             // worker that received the last offer, by request ID
	arrivals   map[string][]Arrival          // arrivals of offers, by worker
	duplicates []string                      // descriptions that Duplicates returns
}

// Arrival records the request and the arrival time of an offer that reached a worker.
type Arrival struct {
	RequestID string
	At        time.Time
}

// attempt is the state of an attempt that is in flight at a worker.
type attempt struct {
	connection string // remote address of the connection of the offer, "" if the task is running
	running    bool   // the worker has accepted the task
}

// NewAttemptLog returns an empty AttemptLog.
func NewAttemptLog() *AttemptLog {
	return &AttemptLog{
		inFlight:   map[string]map[string]attempt{},
		isClosed:   map[string]func() bool{},
		offers:     map[string]int{},
		lastOffer:  map[string]time.Time{},
		lastWorker: map[string]string{},
		arrivals:   map[string][]Arrival{},
	}
}

// offered records that an offer reached a worker. If another attempt of the request is in flight, offered also
// records a violation, which Duplicates returns.
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
		if closed := a.isClosed[earlier.connection]; closed != nil && closed() {
			continue // the orchestrator has closed the connection: the earlier attempt ended, but its end is not recorded yet
		}
		a.duplicates = append(a.duplicates,
			fmt.Sprintf("%s came to %s while in flight at %s (running there: %v)", requestID, worker, other, earlier.running))
	}
	if a.inFlight[requestID] == nil {
		a.inFlight[requestID] = map[string]attempt{}
	}
	a.inFlight[requestID][worker] = attempt{connection: connection}
}

// accepted records that a worker has accepted the task of a request and runs it.
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

// ended records the end of an attempt at a worker or, if the worker accepted the task, the end of the task.
func (a *AttemptLog) ended(worker, requestID string) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.inFlight[requestID], worker)
}

// connected records a new connection, which is identified by its remote address at the worker. The function
// closed reports whether the orchestrator has closed the connection.
func (a *AttemptLog) connected(connection string, closed func() bool) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isClosed[connection] = closed
}

// connectionClosed records that the orchestrator has closed a connection. This ends the attempts whose offers
// arrived on the connection, except for attempts whose task is running.
func (a *AttemptLog) connectionClosed(connection string) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.isClosed, connection)
	for _, attempts := range a.inFlight {
		for worker, open := range attempts {
			if !open.running && open.connection == connection {
				delete(attempts, worker)
			}
		}
	}
}

// Duplicates returns a description of each offer that arrived while another attempt of the same request was in
// flight.
func (a *AttemptLog) Duplicates() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.duplicates)
}

// Arrivals returns the offers that reached a worker, in order of arrival.
func (a *AttemptLog) Arrivals(worker string) []Arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.arrivals[worker])
}

// workerLost records the end of a worker's process, which ends all attempts and tasks at the worker.
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

// OfferCount returns the number of offers of a request to all workers.
func (a *AttemptLog) OfferCount(requestID string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.offers[requestID]
}

// LastOfferAt returns the arrival time of the last offer of a request, or the zero time if there was
// no offer.
func (a *AttemptLog) LastOfferAt(requestID string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastOffer[requestID]
}

// LastWorker returns the name of the worker that received the last offer of a request, or ""
// if there was no offer.
func (a *AttemptLog) LastWorker(requestID string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastWorker[requestID]
}

// InFlight returns the IDs of the requests with an attempt in flight whose task is not running. If a request has
// an attempt of this kind at several workers, its ID is listed once for each worker.
func (a *AttemptLog) InFlight() (requestIDs []string) {
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

// InFlightAt returns the IDs of the requests with an attempt in flight at the given worker whose task is not
// running there.
func (a *AttemptLog) InFlightAt(worker string) (requestIDs []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for requestID, attempts := range a.inFlight {
		if open, ok := attempts[worker]; ok && !open.running {
			requestIDs = append(requestIDs, requestID)
		}
	}
	return requestIDs
}

// IsRunningAt reports whether the task of a request is running at a worker.
func (a *AttemptLog) IsRunningAt(worker, requestID string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight[requestID][worker].running
}

// Running returns the IDs of the requests whose tasks are running at a worker.
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
