package testbed

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
)

// This file owns the messages of the JSON lines protocol as stand-ins encode them. It must
// never use the program's codec, which is under test.

// Line is one message of the JSON lines protocol.
type Line struct {
	Verb string            `json:"verb"`
	Tag  string            `json:"tag"`
	Opts map[string]string `json:"opts"`
	RC   *int              `json:"rc,omitempty"`
	Blob *string           `json:"blob,omitempty"`
}

// Codes of FINISH and ECHOED messages, as the protocol defines them.
const (
	codeOK        = 1
	codeEnded     = 16
	codeCancelled = 31
	codeRejected  = 34
	codeReset     = 41
	codeFailed    = 47
)

// noCode is returned by Cause for a message without a code.
const noCode = -1

// Code returns the code of a message, or noCode (-1) if the message has none.
func (l Line) Code() int {
	if l.RC == nil {
		return noCode
	}
	return *l.RC
}

// CodeLine returns a message with the given verb, request ID and outcome code.
func CodeLine(verb, requestID string, rc int) Line {
	return Line{Verb: verb, Tag: requestID, Opts: map[string]string{}, RC: &rc}
}

// RequestID returns the request ID for a number: the number in hexadecimal, padded with zeros to 16 digits.
func RequestID(n int) string { return fmt.Sprintf("%016x", n) }

// StartLine returns the submission of a task that requests one core and two units of memory. The deadline is leftMs
// milliseconds after the submission.
func StartLine(requestID, class, key string, leftMs int) Line {
	blob := "about " + key
	return Line{Verb: "START", Tag: requestID, Blob: &blob, Opts: map[string]string{"class": class, "key": key,
		"left": strconv.Itoa(leftMs), "extras": "cores:1;memory:2;service:00000000b4d65521"}}
}

// startedLine returns the acceptance of a task.
func startedLine(requestID, blob string) Line {
	return Line{Verb: "STARTED", Tag: requestID, Opts: map[string]string{}, Blob: &blob}
}

// rejectedLine returns the rejection of an offer with its cause.
func rejectedLine(requestID, cause string) Line {
	line := CodeLine("FINISH", requestID, codeRejected)
	line.Opts["note"] = cause
	return line
}

// drainedLine returns the message by which a draining worker reports that it ended a task.
func drainedLine(requestID string) Line {
	line := CodeLine("FINISH", requestID, codeReset)
	line.Opts["note"] = "drained"
	return line
}

// Send writes a message. It ignores write errors: a closed connection is detected by its reader.
func Send(w io.Writer, l Line) {
	b, err := json.Marshal(l)
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(append(b, '\n')) // a write error is ignored: the reader of the connection detects the end
}
