package main

// This file owns what tests learn from the server's own log.

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"
)

// minCloseTravelUs is how long the close that abandons an attempt takes to reach its worker at least, by
// the rules: an offer that follows it sooner is too early.
const minCloseTravelUs = 2 * millisecond

// traceRecorder is a log handler that notes offers which left before a close that abandoned the attempt
// before can have reached its worker, and when connections to workers ended.
type traceRecorder struct {
	slog.Handler
	mu             sync.Mutex
	cancelledAt    map[string]int64 // when an attempt was cancelled and not confirmed to be, by request ID
	earlyOffers    []string
	connectionEnds []time.Time
}

func newTraceRecorder() *traceRecorder {
	return &traceRecorder{Handler: slog.DiscardHandler, cancelledAt: map[string]int64{}}
}

// closingFor is for how long connections to workers have kept ending.
func (r *traceRecorder) closingFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.connectionEnds) == 0 {
		return 0
	}
	return r.connectionEnds[len(r.connectionEnds)-1].Sub(r.connectionEnds[0])
}

// expectNoEarlyOffers fails where an offer left too early.
func (r *traceRecorder) expectNoEarlyOffers(t *testing.T) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.earlyOffers) > 0 {
		t.Errorf("%d offers too early, as %s", len(r.earlyOffers), r.earlyOffers[0])
	}
}

// Enabled takes all records, the trace included.
func (*traceRecorder) Enabled(context.Context, slog.Level) bool { return true }

// Handle notes a record.
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
	case "cancelling attempt", "connection lost with offer open":
		if written { // else the offer was never sent
			r.cancelledAt[requestID] = atUs
		}
	case "cancel confirmed":
		delete(r.cancelledAt, requestID)
	case "offer":
		r.noteOffer(requestID, atUs)
	}
	return nil
}

func (r *traceRecorder) noteOffer(requestID string, atUs int64) {
	if cancelledAt, ok := r.cancelledAt[requestID]; ok && atUs-cancelledAt < minCloseTravelUs {
		r.earlyOffers = append(r.earlyOffers,
			fmt.Sprintf("%s was offered %d us after its last attempt was closed", requestID, atUs-cancelledAt))
	}
	delete(r.cancelledAt, requestID)
}
