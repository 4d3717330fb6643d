package clientfront

// This file owns the completions that were sent and that their clients have not confirmed. A completion that was
// written to a connection may still be in a buffer of this process, of either kernel, or unread by the client, when the
// connection ends. It is then sent again on another connection. A client may get a completion twice, which it ignores.
// A client confirms a completion by a FINISHED message, but need not.

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"ravenhitch/internal/eventloop"
)

const (
	// confirmationTimeout is the time, in microseconds, within which a client that confirms completions is expected to
	// confirm one, and within which the kernel is expected to accept it. It is half of the 1 s within which a client must
	// be notified.
	confirmationTimeout = 500 * millisecond
	// deliveryTime is the time, in microseconds, within which a completion reaches its client unless the connection ends.
	deliveryTime = 100 * millisecond
	// maxAwaitedSends is the number of sends after which the confirmation of a completion is not expected any more. Clients
	// need not confirm each completion.
	maxAwaitedSends = 2
	// closeCrossingTime is the time, in microseconds, for which a client may leave a completion unread before it closes
	// its connection.
	closeCrossingTime = 1 * second
	// confirmationRetention is the time, in microseconds, after which a completion counts as read if its connection is
	// still open. It is the longest time within which a client must be notified.
	confirmationRetention = 8 * second
	// maxCompletionSends is the number of connections after which a completion is sent on no other one while the last of
	// them is open. maxSilentSends replaces it for a client that never confirms, whose silence proves little.
	maxCompletionSends = 4
	maxSilentSends     = 2
)

// sentCompletion is a completion that was sent and is not confirmed.
type sentCompletion struct {
	completion
	client   *clientConn // connection on which the completion was last sent
	sentAt   int64       // time of that send, in microseconds
	sequence uint64      // position in the order of all sends
}

// CompletionCounts counts what became of completions since the start: those that were sent, those that clients
// confirmed, those that were sent again, because a connection ended or its client did not read, and those that were dropped
// although no client is known to have read them.
type CompletionCounts struct{ Sent, Confirmed, Repeated, Dropped int64 }

// CompletionCounts returns the counts of completions.
func (f *Front) CompletionCounts() CompletionCounts { return f.completionCounts }

// sendCompletion sends a completion on a connection, and keeps it until it counts as read.
func (f *Front) sendCompletion(client *clientConn, report completion) {
	now := f.loop.Now()
	if report.sendCount++; report.sendCount == 1 {
		report.firstAt = now
	}
	f.tracer.Step("completion sent", report.requestID, now, "connection", client.number,
		"usage", int(client.usage()), "send", report.sendCount)
	client.conn.Write(report.line)
	f.completionCounts.Sent++
	if len(f.unconfirmed) < maxUnreported {
		f.unconfirmed[report.requestID] = sentCompletion{report, client, now, uint64(f.completionCounts.Sent)}
	}
}

// confirmCompletion handles the FINISHED of a client.
func (f *Front) confirmCompletion(client *clientConn, requestID string) {
	client.confirms = true
	if _, sent := f.unconfirmed[requestID]; sent {
		delete(f.unconfirmed, requestID)
		f.completionCounts.Confirmed++
		f.tracer.Step("completion confirmed", requestID, f.loop.Now(), "connection", client.number)
	}
}

// repeatCompletions sends the unconfirmed completions of a connection that ended with err again, for as long as a client must
// be notified. If the client closed the connection itself, it has read what was sent earlier than closeCrossingTime before.
// err is nil if this side closed it.
func (f *Front) repeatCompletions(client *clientConn, err error) {
	now := f.loop.Now()
	for _, sent := range f.unconfirmedOf(func(s sentCompletion) bool { return s.client == client }) {
		delete(f.unconfirmed, sent.requestID)
		switch {
		case errors.Is(err, eventloop.ErrEOF) && now-sent.sentAt > closeCrossingTime:
		case now-sent.firstAt > confirmationRetention:
			f.dropCompletion(sent.completion, "each connection on which it was sent has ended")
		default:
			f.repeat(sent, nil, "connection ended")
		}
	}
}

// sweepUnconfirmed drops the completions that count as read. It sends those again that may not be read in time (see
// sentCompletion.isOverdue).
func (f *Front) sweepUnconfirmed(now int64) {
	maps.DeleteFunc(f.unconfirmed, func(_ string, s sentCompletion) bool { return now-s.sentAt > confirmationRetention })
	overdue := f.unconfirmedOf(func(s sentCompletion) bool {
		return now-s.sentAt > confirmationTimeout && s.isOverdue()
	})
	for _, sent := range overdue {
		other := f.bestConn(usageTask, sent.client)
		if other == nil {
			other = f.bestConn(usageMessage, sent.client)
		}
		if other != nil {
			f.repeat(sent, other, "not confirmed in time")
		}
	}
}

// isOverdue reports whether the completion is to be sent on another connection, because its client has confirmed others, the
// kernel has not accepted all output, or nothing has come from the client since, which may have vanished.
func (s sentCompletion) isOverdue() bool {
	if s.client.confirms || s.client.conn.BytesBuffered() > 0 {
		return s.sendCount < maxCompletionSends
	}
	return s.client.lastActiveAt <= s.sentAt && s.sendCount < maxSilentSends
}

// repeat sends a completion again, on the given connection or, if target is nil, as reportCompletion does.
func (f *Front) repeat(sent sentCompletion, target *clientConn, cause string) {
	f.completionCounts.Repeated++
	f.tracer.Step("completion repeated", sent.requestID, f.loop.Now(), "connection", sent.client.number, "cause", cause,
		"age_us", f.loop.Now()-sent.sentAt)
	if target != nil {
		f.sendCompletion(target, sent.completion)
		return
	}
	f.reportCompletion(sent.client, sent.completion)
}

// dropCompletion records that a completion is not sent again although no client is known to have read it.
func (f *Front) dropCompletion(report completion, cause string) {
	f.completionCounts.Dropped++
	f.log.Warn("completion dropped", "request_id", report.requestID, "sends", report.sendCount, "cause", cause)
}

// unconfirmedOf returns the selected completions in the order in which they were sent.
func (f *Front) unconfirmedOf(selected func(sentCompletion) bool) (list []sentCompletion) {
	for _, sent := range f.unconfirmed {
		if selected(sent) {
			list = append(list, sent)
		}
	}
	slices.SortFunc(list, func(a, b sentCompletion) int { return cmp.Compare(a.sequence, b.sequence) })
	return list
}

// awaitedConfirmations returns the number of completions whose confirmation is expected soon.
func (f *Front) awaitedConfirmations() (count int) {
	now := f.loop.Now()
	for _, sent := range f.unconfirmed {
		if sent.client.confirms && sent.sendCount <= maxAwaitedSends && now-sent.sentAt <= confirmationTimeout {
			count++
		}
	}
	return count
}

// completionsInTransit returns the number of unconfirmed completions that may not have reached their clients yet. They are
// sent again if their connections end now.
func (f *Front) completionsInTransit() (count int) {
	now := f.loop.Now()
	for _, sent := range f.unconfirmed {
		if now-sent.sentAt <= deliveryTime {
			count++
		}
	}
	return count
}
