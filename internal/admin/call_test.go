package admin

import (
	"errors"
	"strings"
	"testing"
)

func TestParseCall(t *testing.T) {
	for line, want := range map[string]Call{
		"HEALTH":           {Verb: Health},
		"DUMP\r\n":         {Verb: Dump},
		" OFFLINE  s-1 ":   {Offline, "s-1"},
		"ONLINE s-1\n":     {Online, "s-1"},
		"":                 {},
		"health":           {},
		"HEALTH now":       {},
		"OFFLINE":          {},
		"OFFLINE a b":      {},
		"ONLINE a\x01":     {},
		"GET / HTTP/1.1":   {},
		longOfflineCall(1): {},
	} {
		if got, err := ParseCall(line); got != want || (err != nil) != (want == Call{}) {
			t.Errorf("ParseCall(%q): got %v, error %v, want %v", line, got, err, want)
		}
	}
	if got := string(ErrorReply("a\nb\r")); got != "-ERR a b \n" {
		t.Errorf("reason of two lines: got reply %q, want %q", got, "-ERR a b \n")
	}
}

// longOfflineCall returns an OFFLINE call whose worker ID is excess bytes longer than
// maxWorkerIDLength.
func longOfflineCall(excess int) string {
	return "OFFLINE " + strings.Repeat("a", maxWorkerIDLength+excess)
}

// Replies equal the replies of the build of 1 December 2026 byte for byte.
func TestRepliesAsBefore(t *testing.T) {
	for _, test := range []struct{ line, want string }{
		{"", "-ERR malformed call: expected HEALTH, DUMP, PEERS, OFFLINE ID or ONLINE ID, got an empty line\n"},
		{"health", "-ERR malformed call: expected HEALTH, DUMP, PEERS, OFFLINE ID or ONLINE ID, got \"health\"\n"},
		{"HEALTH now", "-ERR malformed call: HEALTH: expected 1 words, got 2\n"},
		{"OFFLINE", "-ERR malformed call: OFFLINE: expected 2 words, got 1\n"},
		{"ONLINE a\x01", "-ERR malformed call: ONLINE: expected the ID of a worker, of 1 to 128 bytes\n"},
		{"GET / HTTP/1.1", "-ERR malformed call: expected HEALTH, DUMP, PEERS, OFFLINE ID or ONLINE ID, got \"GET\"\n"},
	} {
		_, err := ParseCall(test.line)
		var callError *CallError
		if !errors.As(err, &callError) {
			t.Errorf("ParseCall(%q): got error %v, want a *CallError", test.line, err)
			continue
		}
		if got := string(ErrorReply(err.Error())); got != test.want {
			t.Errorf("reply to %q: got %q, want %q", test.line, got, test.want)
		}
	}
	if got := string(OKReply()); got != "+OK\n" {
		t.Errorf("OKReply: got %q, want %q", got, "+OK\n")
	}
}
