package admin

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// This file owns which minions are out by hand, and the file that carries that from one
// process to the next. What can't be read is an error and never an empty list: that
// would put a minion back that somebody took out.

// outsHead is the first line of the file.
const outsHead = "ravenhitch minions out by hand, 1"

// outsEnd is the last one: a file that was cut short lacks it.
const outsEnd = "end"

// Cordons are the minions that are out by hand.
type Cordons map[string]bool

// With returns the outs after a call. A minion that is out already stays out, and one
// call back undoes any number of calls out.
func (o Cordons) With(c Call) Cordons {
	n := maps.Clone(o)
	if n == nil {
		n = Cordons{}
	}
	switch c.Verb {
	case Offline:
		n[c.ID] = true
	case Online:
		delete(n, c.ID)
	}
	return n
}

// Encode returns the file.
func (o Cordons) Encode() []byte {
	lines := append([]string{outsHead}, slices.Sorted(maps.Keys(o))...)
	return []byte(strings.Join(append(lines, outsEnd, ""), "\n"))
}

// DecodeCordons reads the file; an empty one holds none.
func DecodeCordons(path string, b []byte) (Cordons, error) {
	o := Cordons{}
	if len(b) == 0 {
		return o, nil
	}
	lines := strings.Split(string(b), "\n")
	if n := len(lines); lines[0] != outsHead || n < 3 || lines[n-1] != "" || lines[n-2] != outsEnd {
		return nil, fmt.Errorf("%s:%d: expected %q first and %q last", path, len(lines), outsHead, outsEnd)
	}
	for i, id := range lines[1 : len(lines)-2] {
		if c, err := ParseCall(string(Offline) + " " + id); err != nil || c.ID != id {
			return nil, fmt.Errorf("%s:%d: expected the id of a minion, got %.40q", path, i+2, id)
		}
		o[id] = true
	}
	return o, nil
}
