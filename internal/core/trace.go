package core

// This file owns the trace of requests: one line at debug level at each step of a
// request, by its tag, so that one request can be followed through every
// orchestrator of a fleet. It must never change what the core does, and costs
// nothing where debug lines are not written.

import (
	"context"
	"log/slog"
)

// tracing reports whether trace lines are written.
func (c *Core) tracing() bool {
	return c.log != nil && c.log.Enabled(context.Background(), slog.LevelDebug)
}

// trace writes one step of a request.
func (c *Core) trace(step string, r *request, args ...any) {
	if !c.tracing() {
		return
	}
	c.log.Debug(step, append([]any{"tag", r.Tag, "at", c.now, "state", r.state, "node", r.node, "copy", r.copy}, args...)...)
}

var stateNames = [...]string{"fresh", "waiting", "out", "standing", "leaving", "gone"}

func (s state) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}
