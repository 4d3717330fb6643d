package admin

// This file owns the list of cordoned workers and the format of the file that passes the list from one
// process to the next. It must never treat a malformed file as an empty list: that would uncordon
// workers that an operator cordoned.

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// The first and the last line of the file. A truncated file does not end with the complete last line.
const (
	cordonsHeader  = "ravenhitch minions out by hand, 1"
	cordonsTrailer = "end"
)

// Cordons is the set of the IDs of cordoned workers.
type Cordons map[string]bool

// With returns the set after a call, without changing c. Cordoning a worker twice has the same effect
// as cordoning it once, and one Online call undoes any number of Offline calls for the worker.
func (c Cordons) With(call Call) Cordons {
	after := maps.Clone(c)
	if after == nil {
		after = Cordons{}
	}
	switch call.Verb {
	case Offline:
		after[call.ID] = true
	case Online:
		delete(after, call.ID)
	}
	return after
}

// Encode returns the text of the file: lines with the header, the sorted IDs and the trailer.
func (c Cordons) Encode() []byte {
	lines := append([]string{cordonsHeader}, slices.Sorted(maps.Keys(c))...)
	return []byte(strings.Join(append(lines, cordonsTrailer, ""), "\n"))
}

// CordonsError reports an invalid line in the file of cordoned workers. If the file does not begin with the
// complete header line and end with the complete trailer line, Line is the line at which the file ends.
type CordonsError struct {
	Path string
	Line int
	Want string
	Got  string // received text in quotes, or "" if Want alone describes the error
}

// Error implements error.
func (e *CordonsError) Error() string {
	text := fmt.Sprintf("%s:%d: expected %s", e.Path, e.Line, e.Want)
	if e.Got != "" {
		text += ", got " + e.Got
	}
	return text
}

// DecodeCordons parses the text of the file at path. An empty text is an empty set. Its error is a
// *CordonsError.
func DecodeCordons(path string, text []byte) (Cordons, error) {
	cordons := Cordons{}
	if len(text) == 0 {
		return cordons, nil
	}
	lines := strings.Split(string(text), "\n")
	count := len(lines) // includes the empty string after the last line feed
	if lines[0] != cordonsHeader || count < 3 || lines[count-1] != "" || lines[count-2] != cordonsTrailer {
		want := fmt.Sprintf("%q first and %q last", cordonsHeader, cordonsTrailer)
		return nil, &CordonsError{Path: path, Line: count, Want: want}
	}
	for i, id := range lines[1 : count-2] {
		if call, err := ParseCall(string(Offline) + " " + id); err != nil || call.ID != id {
			return nil, &CordonsError{Path: path, Line: i + 2, Want: "the ID of a worker", Got: fmt.Sprintf("%.40q", id)}
		}
		cordons[id] = true
	}
	return cordons, nil
}
