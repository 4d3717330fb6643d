package admin

import (
	"errors"
	"maps"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"ravenhitch/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "20261201") }

// cordonsFile is a file as the build of 1 December 2026 wrote it.
const cordonsFile = "ravenhitch minions out by hand, 1\na\nnode.b:1\ns-1\nend\n"

// Files of earlier builds are read, and are written byte for byte as before.
func TestCordonsFileAsBefore(t *testing.T) {
	want := Cordons{"s-1": true, "a": true, "node.b:1": true}
	got, err := DecodeCordons("f", []byte(cordonsFile))
	if err != nil || !maps.Equal(got, want) {
		t.Errorf("decoded %v, %v, want %v", got, err, want)
	}
	if text := string(want.Encode()); text != cordonsFile {
		t.Errorf("encoded %q, want %q", text, cordonsFile)
	}
}

// Given any calls, then the decoded file holds what they cordoned; and given a file that
// was cut short, then it is an error and no list.
func TestCordons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cordons, want := Cordons(nil), map[string]bool{}
		for range rapid.IntRange(0, 20).Draw(t, "calls") {
			verb := rapid.SampledFrom([]Verb{Offline, Online}).Draw(t, "verb")
			call := Call{Verb: verb, ID: rapid.StringMatching(`[a-z]{1,2}`).Draw(t, "id")}
			if cordons = cordons.With(call); call.Verb == Offline {
				want[call.ID] = true
			} else {
				delete(want, call.ID)
			}
		}
		text := cordons.Encode()
		got, err := DecodeCordons("f", text)
		if err != nil || !maps.Equal(got, want) {
			t.Fatalf("%v, %v, want %v", got, err, want)
		}
		if cut := rapid.IntRange(1, len(text)-1).Draw(t, "cut"); len(text) > 1 {
			if got, err := DecodeCordons("f", text[:cut]); err == nil {
				t.Fatalf("cut at %d: %v", cut, got)
			}
		}
	})
	_, err := DecodeCordons("f", []byte(cordonsHeader+"\na\nb c\nend\n"))
	var cordonsError *CordonsError
	if !errors.As(err, &cordonsError) || !strings.HasPrefix(err.Error(), "f:3:") {
		t.Errorf("two words: %v", err)
	}
}

// What is decoded from any text decodes the same when it is encoded again.
func FuzzDecodeCordons(f *testing.F) {
	f.Add([]byte(cordonsHeader + "\ns-1\nend\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if cordons, err := DecodeCordons("f", text); err == nil && len(text) > 0 {
			if again, err := DecodeCordons("f", cordons.Encode()); err != nil || !maps.Equal(again, cordons) {
				t.Errorf("%q: %v, then %v, %v", text, cordons, again, err)
			}
		}
	})
}
