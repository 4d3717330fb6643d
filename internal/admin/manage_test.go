package admin

import (
	"maps"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"ravenhitch/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "20261201") }

func TestCalls(t *testing.T) {
	for line, want := range map[string]Call{
		"HEALTH": {Verb: Health}, "DUMP\r\n": {Verb: Dump}, " OFFLINE  s-1 ": {Offline, "s-1"}, "ONLINE s-1\n": {Online, "s-1"},
		"": {}, "health": {}, "HEALTH now": {}, "OFFLINE": {}, "OFFLINE a b": {}, "ONLINE a\x01": {},
		"OFFLINE " + strings.Repeat("a", idMost+1): {}, "GET / HTTP/1.1": {},
	} {
		if got, err := ParseCall(line); got != want || (err != nil) != (want == Call{}) {
			t.Errorf("%q: %v, %v", line, got, err)
		}
	}
	if got := string(ErrorReply("a\nb\r")); got != "-ERR a b \n" {
		t.Errorf("a no of two lines: %q", got)
	}
}

func TestFigures(t *testing.T) {
	f := Figures{Responses: map[string]Class{"C": {812, 3, 1}}, Attempts: 820, Active: 14, Pool: 10, Ejected: 2}
	want := `{"responses":{"C":{"ok":812,"shed":3,"errors":1}},"tries":820,"active":14,"pool_size":10,"pool_ejected":2}` + "\n.\n"
	if got := string(f.Reply()); got != want {
		t.Errorf("got %s", got)
	}
}

// What is kept is what was asked, whatever was asked; what was cut short is no list.
func TestOuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outs, want := Cordons(nil), map[string]bool{}
		for range rapid.IntRange(0, 20).Draw(t, "calls") {
			c := Call{rapid.SampledFrom([]Verb{Offline, Online}).Draw(t, "verb"), rapid.StringMatching(`[a-z]{1,2}`).Draw(t, "id")}
			if outs = outs.With(c); c.Verb == Offline {
				want[c.ID] = true
			} else {
				delete(want, c.ID)
			}
		}
		b := outs.Encode()
		got, err := DecodeCordons("f", b)
		if err != nil || !maps.Equal(got, want) {
			t.Fatalf("%v, %v, want %v", got, err, want)
		}
		if cut := rapid.IntRange(1, len(b)-1).Draw(t, "cut"); len(b) > 1 {
			if got, err := DecodeCordons("f", b[:cut]); err == nil {
				t.Fatalf("cut at %d: %v", cut, got)
			}
		}
	})
	if _, err := DecodeCordons("f", []byte(outsHead+"\na\nb c\nend\n")); err == nil || !strings.HasPrefix(err.Error(), "f:3:") {
		t.Errorf("two words: %v", err)
	}
}

func FuzzOuts(f *testing.F) {
	f.Add([]byte(outsHead + "\ns-1\nend\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if o, err := DecodeCordons("f", b); err == nil && len(b) > 0 {
			if again, err := DecodeCordons("f", o.Encode()); err != nil || !maps.Equal(again, o) {
				t.Errorf("%q: %v, then %v, %v", b, o, again, err)
			}
		}
	})
}
