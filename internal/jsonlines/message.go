// Package jsonlines encodes and parses the messages between clients, orchestrators and workers. On the wire, each
// message is one JSON object on a line of its own. The parsers keep no state between messages and do no network I/O.
// For any input, they must neither panic nor take more than linear time.
package jsonlines

// This file owns the Message type and the verbs and outcome codes of the protocol.

// MaxLine is the maximum size of an encoded message in bytes, including its line feed.
const MaxLine = 16 << 10

// The verbs of the protocol.
const (
	VerbStart    = "START"    // submits a client's request, or offers a task to a worker
	VerbPending  = "PENDING"  // the request waits for free capacity
	VerbStarted  = "STARTED"  // the task is running
	VerbFinish   = "FINISH"   // ends a request or a task, or reports its end
	VerbFinished = "FINISHED" // acknowledges a FINISH
	VerbEcho     = "ECHO"     // a ping
	VerbEchoed   = "ECHOED"   // the reply to a ping
	VerbNotice   = "NOTICE"   // a worker's report on a running task
	VerbMove     = "MOVE"     // to a client: its running task is migrated, so the client must submit the task again
)

// The outcome codes of a FINISH, which are sent in its member "rc".
const (
	CodeEnded     = 16  // to a worker: end the attempt or the task; from a worker or to a client: the task completed
	CodeCancelled = 31  // from a worker: the task was cancelled before it completed
	CodeRejected  = 34  // the request was rejected, and a retry is harmless
	CodeReset     = 41  // to a client: the task ended without completing
	CodeFailed    = 47  // the request is invalid, or it failed and the task may have run
	CodeNeverSent = 102 // received on a connection to a worker: the offer was never sent, and the task never ran
)

// Field is one entry of the object "opts" of a message. A numeric value keeps the text that it has on the wire.
type Field struct{ Name, Value string }

// Message is one message of the protocol. Its strings are decoded JSON strings in UTF-8. A lone surrogate, which
// has no valid UTF-8 encoding, is stored as three bytes, and Append writes it back as an escape sequence.
type Message struct {
	Verb, Tag string // Tag is a request ID, or the ID of a ping
	Opts      []Field
	RC        int    // outcome code of a FINISH, or result code of an ECHOED
	HasRC     bool   // the message has an "rc"
	Blob      string // description of the task
	HasBlob   bool   // the message has a "blob"
}

// Opt returns the value of the first field with the given name, or "" if the message has none.
func (m *Message) Opt(name string) string {
	for _, f := range m.Opts {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}
