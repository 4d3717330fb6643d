package core

// This file owns the trace of requests: one line at debug level at each step of a
// request, by its tag, so that one request can be followed through every
// orchestrator of a fleet. It must never change what the core does, and costs
// nothing where debug lines are not written.

import (
	"context"
	"log/slog"
	"strings"
)

// Trace limits the trace to the tags that end in one of the given endings; none
// traces every request.
func (c *Core) Trace(endings []string) { c.endings = endings }

// traced reports whether the steps of a tag are written.
func (c *Core) traced(tag string) bool {
	return c.log != nil && c.log.Enabled(context.Background(), slog.LevelDebug) && Traced(c.endings, tag)
}

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
func (c *Core) trace(step string, r *request, args ...any) {
	if !c.traced(r.Tag) {
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
