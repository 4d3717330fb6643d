package dispatch

// This file owns the trace of requests: one line at debug level for each step of a request, with its request
// ID, so that a request can be followed through every orchestrator of a fleet. It must never change what the
// dispatcher does. If the debug level is off, nothing is written or formatted, but the arguments of a step
// are still evaluated.

import (
	"context"
	"log/slog"
	"strings"

	"ravenhitch/placement"
)

// Tracer writes the steps of the traced requests at debug level. The dispatcher, package workerpool and
// package clientfront all use it, so that one search of the log for a request ID finds all steps of the request.
type Tracer struct {
	Log      *slog.Logger
	Suffixes []string // suffixes of the traced request IDs; if there are none, all are traced
}

// Step writes one step of a request if the debug level is on and the request ID is traced. The parameter at is the time
// of the step, in microseconds.
func (t Tracer) Step(step, requestID string, at int64, args ...any) {
	if t.Log != nil && t.Log.Enabled(context.Background(), slog.LevelDebug) && Traced(t.Suffixes, requestID) {
		t.Log.Debug(step, append([]any{"request_id", requestID, "at_us", at}, args...)...)
	}
}

// SetTraceSuffixes limits the trace to the request IDs that end in one of the given suffixes. Without
// suffixes, every request is traced.
func (d *Dispatcher) SetTraceSuffixes(suffixes []string) { d.tracer.Suffixes = suffixes }

// Traced reports whether a request ID ends in one of the suffixes or there are no suffixes.
func Traced(suffixes []string, requestID string) bool {
	for _, suffix := range suffixes {
		if strings.HasSuffix(requestID, suffix) {
			return true
		}
	}
	return len(suffixes) == 0
}

// traceIgnored writes that a worker's report on the end of an attempt changes nothing, with the state of the request and
// its latest attempt. r is nil if the request is not in the table; nothing is written then.
func (d *Dispatcher) traceIgnored(r *request, reporter string, outcome placement.Outcome) {
	if r != nil {
		d.trace("report ignored", r, "from", reporter, "outcome", outcome)
	}
}

// trace writes one step of a request, with its state and its latest attempt.
func (d *Dispatcher) trace(step string, r *request, args ...any) {
	fields := append([]any{"state", r.state, "worker", r.worker, "attempt", r.attemptNumber}, args...)
	d.tracer.Step(step, r.RequestID, d.now, fields...)
}
