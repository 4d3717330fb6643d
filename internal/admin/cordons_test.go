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

// cordonsFile is the text of a file that the build of 1 December 2026 wrote.
const cordonsFile = "ravenhitch minions out by hand, 1\na\nnode.b:1\ns-1\nend\n"

// A file of an earlier build is decoded, and its content is encoded to the same bytes.
func TestCordonsFileAsBefore(t *testing.T) {
	want := Cordons{"s-1": true, "a": true, "node.b:1": true}
	got, err := DecodeCordons("f", []byte(cordonsFile))
	if err != nil || !maps.Equal(got, want) {
		t.Errorf("decoded: got %v, error %v, want %v", got, err, want)
	}
	if text := string(want.Encode()); text != cordonsFile {
		t.Errorf("encoded: got %q, want %q", text, cordonsFile)
	}
}

// After any sequence of calls, the encoded and decoded set contains exactly the workers that are still
// cordoned. A file that is truncated, but not empty, gives an error. An ID of two words gives an error at
// its line.
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
			t.Fatalf("decoded: got %v, error %v, want %v", got, err, want)
		}
		if cut := rapid.IntRange(1, len(text)-1).Draw(t, "cut"); len(text) > 1 {
			if got, err := DecodeCordons("f", text[:cut]); err == nil {
				t.Fatalf("file truncated to %d bytes: got %v, want an error", cut, got)
			}
		}
	})
	_, err := DecodeCordons("f", []byte(cordonsHeader+"\na\nb c\nend\n"))
	var cordonsError *CordonsError
	if !errors.As(err, &cordonsError) || !strings.HasPrefix(err.Error(), "f:3:") {
		t.Errorf("ID of two words: got error %v, want a *CordonsError for f:3", err)
	}
}

// A set that is decoded from any text is unchanged after it is encoded and decoded again.
func FuzzDecodeCordons(f *testing.F) {
	f.Add([]byte(cordonsHeader + "\ns-1\nend\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if cordons, err := DecodeCordons("f", text); err == nil && len(text) > 0 {
			if again, err := DecodeCordons("f", cordons.Encode()); err != nil || !maps.Equal(again, cordons) {
				t.Errorf("%q: encoded and decoded again: got %v, error %v, want %v", text, again, err, cordons)
			}
		}
	})
}
