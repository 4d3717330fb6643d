package shard

// This file defines sets of shards and their text form, which discovery parses.

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

// Bits is a set of shards of one zone, with one bit for each shard.
type Bits uint64

// AllBits contains all shards of a zone.
const AllBits = ^Bits(0)

// Has reports whether the set contains a shard.
func (b Bits) Has(shard int) bool { return b>>shard&1 == 1 }

// Set is a set of shards by zone. And, Minus and Or return new sets.
type Set map[string]Bits

// Has reports whether the set contains the shard of a worker in a zone.
func (s Set) Has(zone, worker string) bool { return s[zone].Has(Of(worker)) }

// Len returns the number of shards in the set.
func (s Set) Len() (count int) {
	for _, b := range s {
		count += bits.OnesCount64(uint64(b))
	}
	return count
}

// Equal reports whether both sets contain the same shards.
func (s Set) Equal(other Set) bool { return s.Minus(other).Len() == 0 && other.Minus(s).Len() == 0 }

// And returns the shards that both sets contain.
func (s Set) And(other Set) Set {
	return s.with(s, func(zone string, b Bits) Bits { return b & other[zone] })
}

// Minus returns the shards of the set that the other set does not contain.
func (s Set) Minus(other Set) Set {
	return s.with(s, func(zone string, b Bits) Bits { return b &^ other[zone] })
}

// Or returns the shards that at least one of the sets contains.
func (s Set) Or(other Set) Set {
	return s.with(other, func(zone string, b Bits) Bits { return b | s[zone] })
}

// with returns a copy of the set. For each entry of zones, it calls change with the entry's zone and bits, and stores
// the result as the bits of this zone in the copy.
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

// bitsDigits is the number of hex digits for the shards of one zone in the text form.
const bitsDigits = Count / 4

// String returns the text form of the set, which Parse reads: zone:digits for each zone, separated by commas and
// sorted by zone. The digits are the bits of the zone in hexadecimal. Names of zones are escaped as in URLs.
func (s Set) String() string {
	var parts []string
	for _, zone := range slices.Sorted(maps.Keys(s)) {
		escaped := strings.ReplaceAll(url.QueryEscape(zone), "+", "%20")
		parts = append(parts, fmt.Sprintf("%s:%0*x", escaped, bitsDigits, uint64(s[zone])))
	}
	return strings.Join(parts, ",")
}

// ErrInvalidSet is the error that all errors of Parse wrap.
var ErrInvalidSet = errors.New("invalid set of shards")

// ParseError reports that a comma-separated part of the parsed text is not a zone with its digits, or repeats a zone.
type ParseError struct{ Part string }

// Error returns the expected format and the invalid part.
func (e *ParseError) Error() string {
	return fmt.Sprintf("%v: expected a zone and %d hex digits, each zone once, got %.40q", ErrInvalidSet, bitsDigits, e.Part)
}

// Unwrap returns ErrInvalidSet.
func (e *ParseError) Unwrap() error { return ErrInvalidSet }

// Parse parses the text form of a set, which String returns. Its errors are of type *ParseError.
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

// parseZone parses a part of a text that holds one zone and its digits, and reports whether the part is valid.
func parseZone(part string) (zone string, b Bits, ok bool) {
	escaped, digits, _ := strings.Cut(part, ":")
	zone, err := url.PathUnescape(escaped)
	if err != nil || len(digits) != bitsDigits {
		return "", 0, false
	}
	value, err := strconv.ParseUint(digits, 16, Count)
	return zone, Bits(value), err == nil
}
