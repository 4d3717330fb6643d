package dispatch

// This file owns the trace of requests: one line at debug level at each step of a request, by its
// request ID, so that one request can be followed through every orchestrator of a fleet. It must never
// change what the dispatcher does. Where debug lines are not written it writes and formats nothing, but the
// arguments of a step are still gathered.

import (
	"context"
	"log/slog"
	"strings"
)

// Tracer writes the steps of requests at debug level, of the request IDs that it traces.
// The dispatcher and the connections to workers share it, so that one grep follows a request.
type Tracer struct {
	Log      *slog.Logger
	Suffixes []string // of the request IDs that are traced; none: all
}

// Step writes one step of a request, at a time in microseconds.
func (t Tracer) Step(step, requestID string, at int64, args ...any) {
	if t.Log != nil && t.Log.Enabled(context.Background(), slog.LevelDebug) && Traced(t.Suffixes, requestID) {
		t.Log.Debug(step, append([]any{"request_id", requestID, "at_us", at}, args...)...)
	}
}

// SetTraceSuffixes limits the trace to the request IDs that end in one of the given suffixes; none
// traces every request.
func (d *Dispatcher) SetTraceSuffixes(suffixes []string) { d.tracer.Suffixes = suffixes }

// Traced reports whether a request ID ends in one of the suffixes, or there are none.
func Traced(suffixes []string, requestID string) bool {
	for _, suffix := range suffixes {
		if strings.HasSuffix(requestID, suffix) {
			return true
		}
	}
	return len(suffixes) == 0
}

// trace writes one step of a request.
func (d *Dispatcher) trace(step string, r *request, args ...any) {
	fields := append([]any{"state", r.state, "worker", r.worker, "attempt", r.attemptNumber}, args...)
	d.tracer.Step(step, r.RequestID, d.now, fields...)
}
