package shard

// This file owns sets of shards, and their text form, which discovery reads.

import (
	"errors"
	"fmt"
	"maps"
	"math/bits"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

// Bits are shards of one zone, a bit each.
type Bits uint64

// AllBits are all shards of a zone.
const AllBits = ^Bits(0)

// Has reports whether a shard is among them.
func (b Bits) Has(shard int) bool { return b>>shard&1 == 1 }

// Set is a set of shards by zone. The operations return new sets.
type Set map[string]Bits

// Has reports whether the shard of a worker in a zone is in the set.
func (s Set) Has(zone, worker string) bool { return s[zone].Has(Of(worker)) }

// Len is the number of shards in the set.
func (s Set) Len() (count int) {
	for _, b := range s {
		count += bits.OnesCount64(uint64(b))
	}
	return count
}

// Equal reports whether both sets hold the same shards.
func (s Set) Equal(other Set) bool { return s.Minus(other).Len() == 0 && other.Minus(s).Len() == 0 }

// And is what both sets hold.
func (s Set) And(other Set) Set {
	return s.with(s, func(zone string, b Bits) Bits { return b & other[zone] })
}

// Minus is what the set holds and the other does not.
func (s Set) Minus(other Set) Set {
	return s.with(s, func(zone string, b Bits) Bits { return b &^ other[zone] })
}

// Or is what either set holds.
func (s Set) Or(other Set) Set {
	return s.with(other, func(zone string, b Bits) Bits { return b | s[zone] })
}

// with is a copy of the set, with the zones of another changed by a function of their bits there.
func (s Set) with(zones Set, change func(zone string, b Bits) Bits) Set {
	changed := maps.Clone(s)
	if changed == nil {
		changed = Set{}
	}
	for zone, b := range zones {
		changed[zone] = change(zone, b)
	}
	return changed
}

// bitsDigits are the hex digits of the shards of one zone.
const bitsDigits = Count / 4

// String is the set as Parse reads it: zone:digits for each zone, with commas between. Names of zones
// are escaped as in URLs.
func (s Set) String() string {
	var parts []string
	for _, zone := range slices.Sorted(maps.Keys(s)) {
		escaped := strings.ReplaceAll(url.QueryEscape(zone), "+", "%20")
		parts = append(parts, fmt.Sprintf("%s:%0*x", escaped, bitsDigits, uint64(s[zone])))
	}
	return strings.Join(parts, ",")
}

// ErrSet is wrapped by the errors of Parse.
var ErrSet = errors.New("no set of shards")

// ParseError is a part of a text that is no zone of a set.
type ParseError struct{ Part string }

// Error says what was expected, and what came.
func (e *ParseError) Error() string {
	return fmt.Sprintf("%v: expected a zone and %d hex digits, each zone once, got %.40q", ErrSet, bitsDigits, e.Part)
}

// Unwrap is ErrSet.
func (e *ParseError) Unwrap() error { return ErrSet }

// Parse reads a set as String writes it. Its errors are ParseErrors.
func Parse(text string) (Set, error) {
	s := Set{}
	if text == "" {
		return s, nil
	}
	for _, part := range strings.Split(text, ",") {
		zone, b, ok := parseZone(part)
		if _, repeated := s[zone]; !ok || repeated {
			return nil, &ParseError{part}
		}
		s[zone] = b
	}
	return s, nil
}

// parseZone reads a zone and its shards.
func parseZone(part string) (zone string, b Bits, ok bool) {
	escaped, digits, _ := strings.Cut(part, ":")
	zone, err := url.PathUnescape(escaped)
	if err != nil || len(digits) != bitsDigits {
		return "", 0, false
	}
	value, err := strconv.ParseUint(digits, 16, Count)
	return zone, Bits(value), err == nil
}
