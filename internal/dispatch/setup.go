package dispatch

// This file owns what an owner may ask for, and its bounds. It must never look at a node.

import "strings"

// Submission is what an owner asks for. Description and Idem are opaque.
type Submission struct {
	RequestID, Class, Key string
	Idem                  string // by what nodes know a repeat, "" where the class has no such nodes
	Tenant                string // "" where the deployment has none
	ExpectedRunUs         int64  // how long the task is expected to run, 0 where that is not told
	Retry                 bool   // its owner says that it asked before
	TimeoutUs             int64  // how long the owner waits from ReceivedAtUs on
	ReceivedAtUs          int64  // the earliest that the set-up can have come, 0 for now
	QueuedSinceUs         int64  // since when its owner proved to stand in line, 0 where it did not
	Rejections            int    // refusals before, as proved
	Connection            uint64 // the connection or session that it came by, 0 where none is told
	Cores, Memory         float64
	Program               uint64
	RunningOn             string // the node that holds the task already, or ""
	Description           string
	// Resumable says that the owner repeats a set-up whose answer it has not read: a
	// set-up of a task that is open or stands gets that one's answer.
	Resumable bool
}

// The bounds of what an owner may ask for. A longer wait than a day, a task of more than
// a year, or a figure of a million million, is a slip or worse.
const (
	maxTimeoutUs     = int64(86_400_000_000)
	maxExpectedRunUs = 366 * maxTimeoutUs
	maxResource      = 1e9
	maxNameLength    = 64
)

// Invalid names the first field of a set-up that makes no sense, and what was expected
// of it; "" where there is none. Fronts ask before they submit: what no node could
// use must reach none, as its error would speak against the node.
func (s *Submission) Invalid() (field, want string) {
	fine := func(v float64) bool { return v > 0 && v < maxResource } // NaN is not
	switch {
	case len(s.RequestID) != 16 || strings.Trim(s.RequestID, "0123456789abcdefABCDEF") != "":
		return "tag", "16 hex digits"
	case s.Key == "" || len(s.Key) > maxNameLength:
		return "task", "a name of 1 to 64 bytes"
	case s.Class == "" || len(s.Class) > maxNameLength:
		return "class", "a name of 1 to 64 bytes"
	case len(s.Idem) > maxNameLength:
		return "idem", "a key of 64 bytes at most"
	case len(s.Tenant) > maxNameLength:
		return "tenant", "a name of 64 bytes at most"
	case s.ExpectedRunUs < 0 || s.ExpectedRunUs > maxExpectedRunUs:
		return "hint", "a time of 0 or more, a year at most"
	case !fine(s.Cores):
		return "cores", "a number above 0"
	case !fine(s.Memory):
		return "memory", "a number above 0"
	case s.RunningOn == "" && (s.TimeoutUs <= 0 || s.TimeoutUs > maxTimeoutUs):
		return "wait", "a time above 0, a day at most"
	}
	return "", ""
}
