package clientfront

// This file owns on which connection a completion is reported, and the completions for which no client is connected.
// Whoever connects may be anybody: on a connection without a task it must report one only where a ping shows that a
// client is there, or once unreportedHold is over.

import "ravenhitch/internal/jsonlines"

const (
	// maxUnreported bounds the completions that wait for a client to connect.
	maxUnreported = 10_000
	// unreportedHold is how long they wait for a connection that had a task or pings, while others are
	// connected: half of the 1 s in which a client is to be notified.
	unreportedHold = 500 * millisecond
)

// unreportedCompletion is a completion for which no client is connected.
type unreportedCompletion struct {
	at   int64  // when it could not be reported
	line []byte // its message
}

// reportCompletion sends a completion to the client of a request: on its connection or, where that is
// closed, on the best other one. Where there is none it waits.
func (f *Front) reportCompletion(origin *clientConn, requestID string, message *jsonlines.Message) {
	target := origin
	if !origin.conn.IsUp() {
		target = f.bestConn(usageTask)
	}
	if target != nil {
		f.tracer.Step("completion sent", requestID, f.loop.Now(), "connection", target.number,
			"same_connection", target == origin, "usage", int(target.usage()))
		target.send(message)
		return
	}
	f.tracer.Step("completion unreported", requestID, f.loop.Now())
	if len(f.unreported) < maxUnreported {
		f.unreported = append(f.unreported, unreportedCompletion{f.loop.Now(), jsonlines.Append(nil, message)})
	}
}

// bestConn returns an open connection of at least a usage, or nil: the last active one of those for which
// a task was started, else of those on which one was adopted, else of those that sent a message.
func (f *Front) bestConn(minUsage usage) *clientConn {
	if f.latestStarted != nil && f.latestStarted.conn.IsUp() {
		return f.latestStarted
	}
	var best *clientConn
	for client := range f.clients {
		if client.conn.IsUp() && client.usage() >= minUsage && (best == nil || client.reportsBefore(best)) {
			best = client
		}
	}
	return best
}

// reportsBefore reports whether a completion is to be reported on the connection rather than on another.
func (c *clientConn) reportsBefore(other *clientConn) bool {
	if usage, otherUsage := c.usage(), other.usage(); usage != otherUsage {
		return usage > otherUsage
	}
	return c.lastActiveAt > other.lastActiveAt || c.lastActiveAt == other.lastActiveAt && c.number > other.number
}

// reportOverdue sends the unreported completions to any client once the first has waited long enough.
func (f *Front) reportOverdue(now int64) {
	if len(f.unreported) == 0 || now-f.unreported[0].at <= unreportedHold {
		return
	}
	if client := f.bestConn(usageMessage); client != nil {
		f.reportOn(client)
	}
}

// reportOn sends the unreported completions on a connection, unless that is closed.
func (f *Front) reportOn(client *clientConn) {
	if !client.conn.IsUp() {
		return
	}
	for _, completion := range f.unreported {
		client.conn.Write(completion.line)
	}
	f.unreported = nil
}
