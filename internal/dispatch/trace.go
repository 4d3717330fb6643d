package dispatch

// This file owns the trace of requests: one line at debug level at each step of a
// request, by its tag, so that one request can be followed through every
// orchestrator of a fleet. It must never change what the core does, and costs
// nothing where debug lines are not written.

import (
	"context"
	"log/slog"
	"strings"
)

// Tracer writes the steps of requests at debug level, of the tags that it traces.
// The core and the links to nodes share it, so that one grep follows a request.
type Tracer struct {
	Log      *slog.Logger
	Suffixes []string // of the tags that are traced; none: all
}

// Step writes one step of the request of a tag, at a time in microseconds.
func (t Tracer) Step(step, tag string, at int64, args ...any) {
	if t.Log != nil && t.Log.Enabled(context.Background(), slog.LevelDebug) && Traced(t.Suffixes, tag) {
		t.Log.Debug(step, append([]any{"request_id", tag, "at_us", at}, args...)...)
	}
}

// SetTraceSuffixes limits the trace to the tags that end in one of the given endings; none
// traces every request.
func (c *Dispatcher) SetTraceSuffixes(endings []string) { c.tracer.Suffixes = endings }

// Traced reports whether a tag ends in one of the endings, or there are none.
func Traced(endings []string, tag string) bool {
	for _, e := range endings {
		if strings.HasSuffix(tag, e) {
			return true
		}
	}
	return len(endings) == 0
}

// trace writes one step of a request.
func (c *Dispatcher) trace(step string, r *request, args ...any) {
	c.tracer.Step(step, r.RequestID, c.now, append([]any{"state", r.state, "worker", r.worker, "attempt", r.attempt}, args...)...)
}

var stateNames = [...]string{"fresh", "waiting", "out", "ending", "standing", "leaving", "gone"}

func (s state) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}
