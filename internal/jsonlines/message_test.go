package jsonlines

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"ravenhitch/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "20261201") }

var messages = rapid.Custom(func(t *rapid.T) Message {
	m := Message{Verb: rapid.SampledFrom([]string{VerbStart, VerbStarted, VerbFinish, VerbNotice}).Draw(t, "verb"),
		Tag: rapid.StringMatching(`[0-9a-f]{16}`).Draw(t, "tag")}
	for i := range rapid.IntRange(0, 4).Draw(t, "opts") {
		m.Opts = append(m.Opts, Field{fmt.Sprint("f", i), rapid.String().Draw(t, "value")})
	}
	if m.HasRC = rapid.Bool().Draw(t, "has rc"); m.HasRC {
		m.RC = rapid.IntRange(-5, 200).Draw(t, "rc")
	}
	if m.HasBlob = rapid.Bool().Draw(t, "has blob"); m.HasBlob {
		m.Blob = rapid.StringN(0, 300, 900).Draw(t, "blob")
	}
	return m
})

func TestLinesCutAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(messages, 1, 5).Draw(t, "messages")
		var b []byte
		for i := range want {
			b = Append(b, &want[i])
		}
		var got []Message
		err := rapidtest.Feed(t, b, func(b []byte) (int, error) {
			return Lines(b, func(line []byte) error {
				m, err := Parse(line)
				got = append(got, m)
				return err
			})
		})
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %v and %+v, expected %+v", err, got, want)
		}
	})
}

func TestParseGarbage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := messages.Draw(t, "message")
		b := bytes.TrimSuffix(Append(nil, &m), []byte("\n"))
		for range rapid.IntRange(1, 4).Draw(t, "hits") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		if rapid.Bool().Draw(t, "noise") {
			b = rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		}
		got, err := Parse(b)
		if err != nil {
			return
		}
		// What was taken goes out and comes back as it was.
		again, err := Parse(bytes.TrimSuffix(Append(nil, &got), []byte("\n")))
		if err != nil || !reflect.DeepEqual(again, got) {
			t.Fatalf("%q gave %+v, then %+v (%v)", b, got, again, err)
		}
	})
}

func TestParse(t *testing.T) {
	for _, x := range []struct{ name, line, want string }{
		{"page", `{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{},"rc":34}`, `{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{},"rc":34}`},
		{"numbers as fields", `{"verb":"NOTICE","opts":{"note":"cpu","value":0.5},"x":[1,{"y":null}],"tag":"a"}`,
			`{"verb":"NOTICE","tag":"a","opts":{"note":"cpu","value":"0.5"}}`},
		{"escapes", `{"verb":"START","tag":"a","blob":"\r\n\u00e9\ud83d\ude00\/\u0001\"\\"}`,
			`{"verb":"START","tag":"a","opts":{},"blob":"\r\né😀/\u0001\"\\"}`},
		{"half a pair", `{"verb":"START","tag":"a","blob":"\ud800x\udfff"}`, `{"verb":"START","tag":"a","opts":{},"blob":"\ud800x\udfff"}`},
		{"no verb", `{"tag":"a"}`, ""}, {"two values", `{"verb":"ECHO"}{}`, ""}, {"not an object", `["verb"]`, ""},
		{"a raw control character", "{\"verb\":\"E\x01\"}", ""}, {"not UTF-8", "{\"verb\":\"E\xff\"}", ""},
		{"deep", `{"verb":"ECHO","x":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`, ""},
		{"rc too large", `{"verb":"ECHO","rc":99999999999999999999}`, ""}, {"rc with a fraction", `{"verb":"ECHO","rc":1.5}`, ""},
	} {
		m, err := Parse([]byte(x.line))
		if got := strings.TrimSuffix(string(Append(nil, &m)), "\n"); err == nil && got != x.want || (err == nil) != (x.want != "") {
			t.Errorf("%s: got %s and %v, expected %s", x.name, got, err, x.want)
		}
	}
}

// A line of 16 KiB passes, a longer one is told before it is whole, and no
// message grows on its way through.
func TestLineLength(t *testing.T) {
	m := Message{Verb: VerbStart, Tag: "9b1f03aa5c7e2d41", HasBlob: true}
	m.Blob = strings.Repeat("x", MaxLine-len(Append(nil, &m)))
	b := Append(nil, &m)
	if used, err := Lines(b, func([]byte) error { return nil }); used != MaxLine || err != nil {
		t.Errorf("used %d, %v", used, err)
	}
	if _, err := Lines(b[:MaxLine-1], func([]byte) error { return nil }); err != nil {
		t.Errorf("a line that may still end: %v", err)
	}
	if _, err := Lines(bytes.Repeat([]byte("x"), MaxLine), func([]byte) error { return nil }); err == nil {
		t.Error("a line of more than 16 KiB passed")
	}
	for _, blob := range []string{`\b\f\n\r\t\"\\\/`, `\u0001\ud800`, "é\u007f"} {
		line := `{"verb":"START","tag":"a","opts":{},"blob":"` + blob + `"}`
		m, err := Parse([]byte(line))
		if out := Append(nil, &m); err != nil || len(out) > len(line)+1 {
			t.Errorf("%s became %s (%v)", line, out, err)
		}
	}
}
