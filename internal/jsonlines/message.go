// Package jsonlines owns the wire form of the messages between clients, orchestrators and workers: one JSON object a
// line. Its parsers keep no state between messages, own no socket, and must never panic or take more than linear time,
// whatever bytes they are given.
package jsonlines

// This file owns the message and the words of the protocol.

// MaxLine is the size of the longest message in bytes, its line feed included.
const MaxLine = 16 << 10

// The verbs of the protocol.
const (
	VerbStart    = "START"    // a client's request, or an offer to a worker
	VerbPending  = "PENDING"  // the request waits for free capacity
	VerbStarted  = "STARTED"  // the task runs
	VerbFinish   = "FINISH"   // ends a request or a task, or reports its end
	VerbFinished = "FINISHED" // answers a FINISH
	VerbEcho     = "ECHO"     // a ping
	VerbEchoed   = "ECHOED"   // the answer to a ping
	VerbNotice   = "NOTICE"   // a worker's report on a running task
	VerbMove     = "MOVE"     // asks for the migration of a running task
)

// The outcome codes of a FINISH, in its field "rc".
const (
	CodeEnded     = 16  // to a worker: cancelled or released; as a report: completed
	CodeCancelled = 31  // from a worker: the task was ended before it completed
	CodeRejected  = 34  // rejected: a retry is harmless
	CodeReset     = 41  // to a client: the task ended, and did not complete
	CodeFailed    = 47  // failed: the task may have run
	CodeNeverSent = 102 // never sent: the task never ran
)

// Field is one entry of a message's "opts"; a number is stored as it was written.
type Field struct{ Name, Value string }

// Message is one line. Strings hold what the JSON strings stood for; a lone surrogate, which no UTF-8 stands for, is
// stored in three bytes so that it goes out as it came in.
type Message struct {
	Verb, Tag string // the tag is the request ID, or that of a ping
	Opts      []Field
	RC        int // the outcome code of a FINISH or ECHOED
	HasRC     bool
	Blob      string // the description of a task
	HasBlob   bool
}

// Opt returns the value of a field, "" where it is absent.
func (m *Message) Opt(name string) string {
	for _, f := range m.Opts {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}
