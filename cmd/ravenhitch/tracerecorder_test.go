package main

// This file provides the log handler by which tests observe the attempts and connections of a server.

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"
)

// minCloseTravelUs is a time in microseconds. The server must assume that the close of a connection takes at least
// this time to reach the worker. The constant equals minCloseTransit in package workerpool. If the close cancels an
// attempt, another offer of the same request within this time is too early.
const minCloseTravelUs = 2 * millisecond

// maxReadDelayUs is a time in microseconds. The server must assume that the worker's process may take this time to read an
// offer, even if the connection has ended. The constant equals maxReadDelay in package workerpool. If the end of the
// connection ends an attempt, another offer of the same request within this time after the earlier offer is too early.
const maxReadDelayUs = 100 * millisecond

// traceRecorder is a log handler that records the offers that were sent too early. An offer is too early if it is
// sent less than minCloseTravelUs after the request's previous attempt was cancelled or lost its connection, or less than
// maxReadDelayUs after the previous attempt was offered. A confirmed cancel does not count. traceRecorder also records
// when the log reported the end of a connection to a worker. A refused connection counts as ended.
type traceRecorder struct {
	slog.Handler
	mu             sync.Mutex
	offeredAt      map[string]int64 // time of the latest offer, in microseconds, by request ID
	cancelledAt    map[string]int64 // time of an unconfirmed cancel or a lost connection, in microseconds, by request ID
	lostOffers     int              // number of offers that were lost with their connections
	earlyOffers    []string         // descriptions of the offers that were sent too early
	connectionEnds []time.Time      // in the order in which the connections ended
}

func newTraceRecorder() *traceRecorder {
	return &traceRecorder{Handler: slog.DiscardHandler, offeredAt: map[string]int64{}, cancelledAt: map[string]int64{}}
}

// lostOfferCount returns the number of offers that were lost with their connections.
func (r *traceRecorder) lostOfferCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lostOffers
}

// closingDuration returns the time between the first and the last recorded end of a connection to a worker.
func (r *traceRecorder) closingDuration() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.connectionEnds) == 0 {
		return 0
	}
	return r.connectionEnds[len(r.connectionEnds)-1].Sub(r.connectionEnds[0])
}

// expectNoEarlyOffers fails the test if an offer was sent too early.
func (r *traceRecorder) expectNoEarlyOffers(t *testing.T) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.earlyOffers) > 0 {
		t.Errorf("%d offers were sent too early, want none; the first: %s", len(r.earlyOffers), r.earlyOffers[0])
	}
}

// Enabled accepts records of all levels, because the trace of the attempts is logged at debug level.
func (*traceRecorder) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler. It evaluates the log records of cancels, offers and ends of connections.
func (r *traceRecorder) Handle(_ context.Context, record slog.Record) error {
	requestID, atUs, written := "", int64(0), true
	record.Attrs(func(attr slog.Attr) bool {
		switch attr.Key {
		case "request_id":
			requestID = attr.Value.String()
		case "at_us":
			atUs = attr.Value.Int64()
		case "written":
			written = attr.Value.Bool()
		}
		return true
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	switch record.Message {
	case "worker connection closed":
		r.connectionEnds = append(r.connectionEnds, record.Time)
	case "cancelling attempt":
		if written { // an offer that was never sent does not count
			r.cancelledAt[requestID] = atUs
		}
	case "connection lost with offer open":
		r.cancelledAt[requestID] = atUs
		r.lostOffers++
	case "cancel confirmed":
		delete(r.cancelledAt, requestID)
	case "offer":
		r.noteOffer(requestID, atUs)
	}
	return nil
}

// noteOffer records an offer of a request.
func (r *traceRecorder) noteOffer(requestID string, atUs int64) {
	if cancelledAt, ok := r.cancelledAt[requestID]; ok {
		r.expectPassed(requestID, "was abandoned", atUs-cancelledAt, minCloseTravelUs)
		r.expectPassed(requestID, "was offered", atUs-r.offeredAt[requestID], maxReadDelayUs)
	}
	delete(r.cancelledAt, requestID)
	r.offeredAt[requestID] = atUs
}

// expectPassed records an early offer if less than a minimum time has passed since an event of the previous attempt.
func (r *traceRecorder) expectPassed(requestID, event string, passedUs, wantUs int64) {
	if passedUs < wantUs {
		r.earlyOffers = append(r.earlyOffers, fmt.Sprintf("request %s was offered %d us after its previous attempt %s, want at least %d us",
			requestID, passedUs, event, wantUs))
	}
}
