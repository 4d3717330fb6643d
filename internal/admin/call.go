// Package manage owns what operators' staff may ask of a running orchestrator, and what
// stays of it: the form of calls and answers, the figures, and which minions are out by
// hand. It must never decide where a task goes, and holds no socket and no clock.
package admin

import (
	"errors"
	"fmt"
	"strings"
)

// MaxCallLength is the longest call, its line feed included.
const MaxCallLength = 512

// Verb is what a call asks for.
type Verb string

// The calls.
const (
	Health  Verb = "HEALTH"
	Dump    Verb = "DUMP"
	Offline Verb = "OFFLINE"
	Online  Verb = "ONLINE"
	Peers   Verb = "PEERS"
)

// Call is one line of a caller.
type Call struct {
	Verb Verb
	ID   string // of a minion, with Offline and Online
}

// ErrCall is wrapped by what is wrong with a call.
var ErrCall = errors.New("malformed call")

// idMost bounds the name of a minion.
const idMost = 128

// ParseCall reads a line, with or without its line feed.
func ParseCall(line string) (Call, error) {
	words := strings.Fields(line)
	if len(words) == 0 {
		return Call{}, fmt.Errorf("%w: expected HEALTH, DUMP, PEERS, OFFLINE ID or ONLINE ID, got an empty line", ErrCall)
	}
	c, want := Call{Verb: Verb(words[0])}, 1
	switch c.Verb {
	case Health, Dump, Peers:
	case Offline, Online:
		want = 2
	default:
		return Call{}, fmt.Errorf("%w: expected HEALTH, DUMP, PEERS, OFFLINE ID or ONLINE ID, got %.40q", ErrCall, words[0])
	}
	if len(words) != want {
		return Call{}, fmt.Errorf("%w: %s: expected %d words, got %d", ErrCall, c.Verb, want, len(words))
	}
	if want == 2 {
		if c.ID = words[1]; len(c.ID) > idMost || strings.ContainsFunc(c.ID, func(r rune) bool { return r < ' ' || r == 0x7f }) {
			return Call{}, fmt.Errorf("%w: %s: expected the id of a minion, of 1 to %d bytes", ErrCall, c.Verb, idMost)
		}
	}
	return c, nil
}

// OKReply is the answer to a call that was carried out.
func OKReply() []byte { return []byte("+OK\n") }

// ErrorReply is the answer to one that was not. Its reason is kept to one line.
func ErrorReply(reason string) []byte {
	reason = strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, reason)
	return []byte("-ERR " + reason + "\n")
}
