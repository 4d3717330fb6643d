package shard

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// setZones lists the zones of drawn sets, including names that must be escaped.
var setZones = append(append([]string{}, testZones...), "", "with:colon, and 100%+")

// drawSet draws a random set of shards.
func drawSet(t *rapid.T, name string) Set {
	bits := rapid.Custom(func(t *rapid.T) Bits { return Bits(rapid.Uint64().Draw(t, "bits")) })
	return rapid.MapOf(rapid.SampledFrom(setZones), bits).Draw(t, name)
}

// TestSets compares the operations on sets with the same operations on each shard, and asserts that Parse reads the
// text form of a set.
func TestSets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawSet(t, "a"), drawSet(t, "b")
		and, or, minus := a.And(b), a.Or(b), a.Minus(b)
		count, equal := 0, true
		for _, zone := range setZones {
			for shard := range Count {
				inA, inB := a[zone].Has(shard), b[zone].Has(shard)
				if and[zone].Has(shard) != (inA && inB) || or[zone].Has(shard) != (inA || inB) ||
					minus[zone].Has(shard) != (inA && !inB) {
					t.Fatalf("shard %d of zone %q: And, Or or Minus is wrong for a=%v and b=%v", shard, zone, inA, inB)
				}
				if inA {
					count++
				}
				equal = equal && inA == inB
			}
		}
		if a.Len() != count || a.Equal(b) != equal {
			t.Fatalf("got length %d and equal %v, want %d and %v", a.Len(), a.Equal(b), count, equal)
		}
		parsed, err := Parse(a.String())
		if err != nil || !parsed.Equal(a) {
			t.Fatalf("Parse(%q): got %v, %v, want the same set", a, parsed, err)
		}
	})
}

// TestParseErrors asserts that Parse returns a ParseError for invalid texts.
func TestParseErrors(t *testing.T) {
	const one = "a:0000000000000001"
	if s, err := Parse(one); err != nil || !s.Equal(Set{"a": 1}) {
		t.Errorf("Parse(%q): got %v, %v, want shard 0 of zone a", one, s, err)
	}
	for _, text := range []string{
		"a", "a:", "a:12", one + "0", "a:zzzzzzzzzzzzzzzz",
		one + ",", "," + one, one + "," + one, "a:-000000000000001",
	} {
		var parseError *ParseError
		if s, err := Parse(text); !errors.Is(err, ErrInvalidSet) || !errors.As(err, &parseError) {
			t.Errorf("Parse(%q): got %v, %v, want a ParseError", text, s, err)
		}
	}
}
