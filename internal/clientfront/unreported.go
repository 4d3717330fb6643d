package clientfront

import (
	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/jsonlines"
)

// This file owns the choice of the connection on which a completion is reported, and the completions that cannot be
// reported yet. Any program may connect, so an open connection does not show that a client is present. On a
// connection without a task, completions may therefore be reported in two cases only: when a ping arrives, which
// shows that a client is present, or when the oldest completion has waited for longer than unreportedWait. Migrations
// are reported in the same way as completions.

const (
	// maxUnreported is the maximum number of unreported completions that are stored. Further completions are
	// dropped.
	maxUnreported = 10_000
	// unreportedWait is the time, in microseconds, for which unreported completions wait for a connection on which a
	// task is started or adopted or a ping is received. After this time, they are reported on the best
	// connection that sent a message (see bestConn). It is half of the 1 s within which a client must be notified.
	unreportedWait = 500 * millisecond
)

// completion is the report of a completion or a migration to a client.
type completion struct {
	requestID string
	line      []byte // the encoded message
	queuedAt  int64  // time at which the completion was stored as unreported, in microseconds
	sendCount int    // number of connections on which the completion was sent
	firstAt   int64  // time at which the completion was first sent, in microseconds
}

// Respond implements dispatch.Client for the completions of tasks that clients of an earlier process believe to run. It
// reports them on any connection.
func (f *Front) Respond(response dispatch.Response) {
	message := encodeResponse(response)
	f.reportCompletion(nil, completion{requestID: response.RequestID, line: jsonlines.Append(nil, &message)})
}

// reportCompletion sends a completion to the client of a request. It uses the connection of the request or, if that
// connection is closed or origin is nil, the best other connection that had a task. If no open connection had a task, the
// completion is stored, unless maxUnreported completions are stored already.
func (f *Front) reportCompletion(origin *clientConn, report completion) {
	target := origin
	if origin == nil || !origin.conn.IsUp() {
		target = f.bestConn(usageTask, origin)
	}
	if target != nil {
		f.sendCompletion(target, report)
		return
	}
	f.tracer.Step("completion unreported", report.requestID, f.loop.Now())
	if len(f.unreported) >= maxUnreported {
		f.dropCompletion(report, "too many completions wait for a connection")
		return
	}
	report.queuedAt = f.loop.Now()
	f.unreported = append(f.unreported, report)
}

// bestConn returns the best open connection other than excluded for reporting a completion, or nil if none has at
// least minUsage. It prefers connections on which a task was started, then those on which a task was adopted, then
// those that sent a message. Among equals, it prefers the most recently active connection.
func (f *Front) bestConn(minUsage usage, excluded *clientConn) *clientConn {
	if f.latestStarted != nil && f.latestStarted != excluded && f.latestStarted.conn.IsUp() {
		return f.latestStarted
	}
	var best *clientConn
	for client := range f.clients {
		if client != excluded && client.conn.IsUp() && client.usage() >= minUsage && (best == nil || client.reportsBefore(best)) {
			best = client
		}
	}
	return best
}

// reportsBefore reports whether a completion is to be reported on c rather than on other.
func (c *clientConn) reportsBefore(other *clientConn) bool {
	if usage, otherUsage := c.usage(), other.usage(); usage != otherUsage {
		return usage > otherUsage
	}
	return c.lastActiveAt > other.lastActiveAt || c.lastActiveAt == other.lastActiveAt && c.number > other.number
}

// reportOverdue sends the unreported completions on the best connection that sent a message, if there is one and the
// oldest completion has waited for longer than unreportedWait.
func (f *Front) reportOverdue(now int64) {
	if len(f.unreported) == 0 || now-f.unreported[0].queuedAt <= unreportedWait {
		return
	}
	f.ReportNow()
}

// ReportNow sends the unreported completions on the best connection that sent a message, if there is one. A process that
// ends can't wait for a better one.
func (f *Front) ReportNow() {
	if len(f.unreported) == 0 {
		return
	}
	if client := f.bestConn(usageMessage, nil); client != nil {
		f.reportOn(client)
	}
}

// reportOn sends all unreported completions on the connection of client, unless the connection is closed.
func (f *Front) reportOn(client *clientConn) {
	if !client.conn.IsUp() {
		return
	}
	unreported := f.unreported
	f.unreported = nil
	for _, report := range unreported {
		f.sendCompletion(client, report)
	}
}
