// Package admin owns what operators may ask of a running orchestrator: the connections of
// operators, the form of calls and replies, the figures, and the list of cordoned workers.
// It must never decide where a task goes.
package admin

// This file owns the form of calls and of the replies that carry no figures. It must never
// carry a call out.

import (
	"fmt"
	"strings"
)

// MaxCallLength is the length of the longest call in bytes, its line feed included.
const MaxCallLength = 512

// maxWorkerIDLength bounds the ID of a worker, in bytes.
const maxWorkerIDLength = 128

// Verb names a call.
type Verb string

// The calls.
const (
	Health  Verb = "HEALTH"  // whether the orchestrator is ready
	Dump    Verb = "DUMP"    // the figures
	Offline Verb = "OFFLINE" // cordon a worker
	Online  Verb = "ONLINE"  // uncordon a worker
	Peers   Verb = "PEERS"   // the members of the cluster
)

// callForms lists the calls, for error replies.
const callForms = "HEALTH, DUMP, PEERS, OFFLINE ID or ONLINE ID"

// Call is one call of an operator.
type Call struct {
	Verb Verb
	ID   string // of a worker, for Offline and Online
}

// CallError is a malformed call. Its text is part of the reply.
type CallError struct {
	Verb      Verb   // "" if there is none or it is unknown
	Want, Got string // Got is "" if Want says it all
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

// ParseCall parses a line, with or without its line feed. Its error is a *CallError.
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

// validWorkerID reports whether a word may be the ID of a worker.
func validWorkerID(id string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == 0x7f }
	return len(id) <= maxWorkerIDLength && !strings.ContainsFunc(id, isControl)
}

// OKReply returns the reply to a call that was carried out.
func OKReply() []byte { return []byte("+OK\n") }

// ErrorReply returns the reply to a call that was not carried out. The reason is put on
// one line.
func ErrorReply(reason string) []byte {
	reason = strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, reason)
	return []byte("-ERR " + reason + "\n")
}
