// Package admin owns the interface by which operators inspect and control a running orchestrator:
// the connections of operators, the format of admin calls and replies, the figures that a DUMP call
// returns, and the list of cordoned workers. It must never decide on which worker a task is placed.
package admin

// This file owns the format of admin calls, and of the replies that contain no data: success and errors.
// It must never carry out a call.

import (
	"fmt"
	"strings"
)

// MaxCallLength is the maximum length of a call in bytes, including its line feed.
const MaxCallLength = 512

// maxWorkerIDLength is the maximum length of a worker's ID in bytes.
const maxWorkerIDLength = 128

// Verb is the first word of a call, which selects the operation.
type Verb string

// The verbs of all calls.
const (
	Health  Verb = "HEALTH"  // reports whether the orchestrator is ready
	Dump    Verb = "DUMP"    // returns the figures
	Offline Verb = "OFFLINE" // cordons a worker
	Online  Verb = "ONLINE"  // uncordons a worker
	Peers   Verb = "PEERS"   // returns the members of the cluster
)

// callForms lists the valid calls for error replies.
const callForms = "HEALTH, DUMP, PEERS, OFFLINE ID or ONLINE ID"

// Call is one operation that an operator asks the orchestrator to carry out.
type Call struct {
	Verb Verb
	ID   string // ID of the worker, for Offline and Online
}

// CallError reports a malformed call. Its text is part of the reply.
type CallError struct {
	Verb      Verb   // "" if it is missing or unknown
	Want, Got string // what was expected and received; Got is "" if Want alone describes the error
}

// Error implements error.
func (e *CallError) Error() string {
	text := "malformed call: "
	if e.Verb != "" {
		text += string(e.Verb) + ": "
	}
	text += "expected " + e.Want
	if e.Got != "" {
		text += ", got " + e.Got
	}
	return text
}

// ParseCall parses the line of a call, with or without its line feed. Its error is a *CallError.
func ParseCall(line string) (Call, error) {
	words := strings.Fields(line)
	if len(words) == 0 {
		return Call{}, &CallError{Want: callForms, Got: "an empty line"}
	}
	verb := Verb(words[0])
	wantWords := 1
	switch verb {
	case Health, Dump, Peers:
	case Offline, Online:
		wantWords = 2
	default:
		return Call{}, &CallError{Want: callForms, Got: fmt.Sprintf("%.40q", words[0])}
	}
	if len(words) != wantWords {
		return Call{}, &CallError{Verb: verb, Want: fmt.Sprintf("%d words", wantWords), Got: fmt.Sprint(len(words))}
	}
	if wantWords == 1 {
		return Call{Verb: verb}, nil
	}
	if !validWorkerID(words[1]) {
		return Call{}, &CallError{Verb: verb, Want: fmt.Sprintf("the ID of a worker, of 1 to %d bytes", maxWorkerIDLength)}
	}
	return Call{Verb: verb, ID: words[1]}, nil
}

// validWorkerID reports whether id can be the ID of a worker: it is not too long and contains no
// control character.
func validWorkerID(id string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == 0x7f }
	return len(id) <= maxWorkerIDLength && !strings.ContainsFunc(id, isControl)
}

// OKReply returns the reply to a call that succeeded.
func OKReply() []byte { return []byte("+OK\n") }

// ErrorReply returns the reply to a call that failed. It replaces each character of reason below U+0020,
// such as a line feed, by a space, so that the reply is a single line.
func ErrorReply(reason string) []byte {
	reason = strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, reason)
	return []byte("-ERR " + reason + "\n")
}
