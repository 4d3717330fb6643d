package clientfront

// This file owns the encoding of responses and completions. It sends a response on the connection of its request, and
// leaves the choice of the connection for a completion or migration to reportCompletion.

import (
	"strconv"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/jsonlines"
	"ravenhitch/placement"
)

// Respond implements dispatch.Client. A running task is not bound to a connection. If the connection of the request
// is closed, a completion or migration is therefore reported on another connection, or stored until it can be
// reported.
func (c *clientConn) Respond(response dispatch.Response) {
	message := encodeResponse(response)
	switch response.Kind {
	case dispatch.Started:
		c.hasTask, c.hasStarted, c.front.latestStarted = true, true, c
		c.front.tasks.add(response.RequestID, c)
		c.front.reportOn(c)
	case dispatch.Rejected, dispatch.Failed:
	default:
		c.front.tasks.remove(response.RequestID)
		line := jsonlines.Append(nil, &message)
		c.front.reportCompletion(c, completion{requestID: response.RequestID, line: line})
		return
	}
	delete(c.openRequests, response.RequestID)
	c.send(&message)
}

// encodeResponse returns the message for a response or completion.
func encodeResponse(response dispatch.Response) jsonlines.Message {
	message := jsonlines.Message{Verb: jsonlines.VerbFinish, Tag: response.RequestID, HasRC: true}
	switch response.Kind {
	case dispatch.Started:
		return jsonlines.Message{Verb: jsonlines.VerbStarted, Tag: response.RequestID,
			Blob: response.Description, HasBlob: true}
	case dispatch.Migrated:
		return jsonlines.Message{Verb: jsonlines.VerbMove, Tag: response.RequestID}
	case dispatch.Rejected:
		message.RC = jsonlines.CodeRejected
		if response.RetryAfterUs > 0 {
			message.Opts = []jsonlines.Field{{Name: "wait", Value: formatMillis(response.RetryAfterUs)}}
		}
	case dispatch.Failed:
		message.RC = jsonlines.CodeFailed
	case dispatch.Completed:
		message.RC = jsonlines.CodeEnded
		if response.Outcome != placement.Completed {
			message.RC = jsonlines.CodeReset
		}
	}
	return message
}

// formatMillis formats a time in microseconds as milliseconds, rounded up.
func formatMillis(us int64) string {
	return strconv.FormatInt((us+millisecond-1)/millisecond, 10)
}
