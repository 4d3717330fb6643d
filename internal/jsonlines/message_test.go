package jsonlines

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"ravenhitch/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "20261201") }

// messages generates valid arguments of Append.
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

// encode returns a message as a line without its line feed.
func encode(m *Message) []byte { return bytes.TrimSuffix(Append(nil, m), []byte("\n")) }

// discardLine is a line handler that does nothing.
func discardLine([]byte) error { return nil }

// A stream of messages that arrives in pieces cut at arbitrary positions is parsed to the same messages.
func TestStreamCutAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(messages, 1, 5).Draw(t, "messages")
		var stream []byte
		for i := range want {
			stream = Append(stream, &want[i])
		}
		var got []Message
		err := rapidtest.Feed(t, stream, func(b []byte) (int, error) {
			return ForEachLine(b, func(line []byte) error {
				m, err := Parse(line)
				got = append(got, m)
				return err
			})
		})
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("parsed stream: got error %v and messages %+v, want %+v", err, got, want)
		}
	})
}

// If a corrupted line or random bytes can still be parsed, encoding and parsing the message again does not change it.
func TestParseCorruptedLines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := messages.Draw(t, "message")
		line := encode(&m)
		for range rapid.IntRange(1, 4).Draw(t, "hits") {
			line[rapid.IntRange(0, len(line)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		if rapid.Bool().Draw(t, "noise") {
			line = rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		}
		got, err := Parse(line)
		if err != nil {
			return
		}
		reparsed, err := Parse(encode(&got))
		if err != nil || !reflect.DeepEqual(reparsed, got) {
			t.Fatalf("line %q: re-encoded and reparsed to %+v (error %v), want %+v", line, reparsed, err, got)
		}
	})
}

func TestParse(t *testing.T) {
	deeplyNested := strings.Repeat("[", 5000) + strings.Repeat("]", 5000)
	for _, c := range []struct{ name, line, want string }{ // want is the re-encoded line, or "" if Parse must fail
		{"a FINISH", `{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{},"rc":34}`,
			`{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{},"rc":34}`},
		{"numbers as fields", `{"verb":"NOTICE","opts":{"note":"cpu","value":0.5},"x":[1,{"y":null}],"tag":"a"}`,
			`{"verb":"NOTICE","tag":"a","opts":{"note":"cpu","value":"0.5"}}`},
		{"escapes", `{"verb":"START","tag":"a","blob":"\r\n\u00e9\ud83d\ude00\/\u0001\"\\"}`,
			`{"verb":"START","tag":"a","opts":{},"blob":"\r\né😀/\u0001\"\\"}`},
		{"lone surrogates", `{"verb":"START","tag":"a","blob":"\ud800x\udfff"}`,
			`{"verb":"START","tag":"a","opts":{},"blob":"\ud800x\udfff"}`},
		{"no verb", `{"tag":"a"}`, ""},
		{"two values", `{"verb":"ECHO"}{}`, ""},
		{"not an object", `["verb"]`, ""},
		{"a raw control character", "{\"verb\":\"E\x01\"}", ""},
		{"not UTF-8", "{\"verb\":\"E\xff\"}", ""},
		{"nested too deeply", `{"verb":"ECHO","x":` + deeplyNested + `}`, ""},
		{"rc too large", `{"verb":"ECHO","rc":99999999999999999999}`, ""},
		{"rc with a fraction", `{"verb":"ECHO","rc":1.5}`, ""},
	} {
		m, err := Parse([]byte(c.line))
		if got := string(encode(&m)); err == nil && got != c.want || (err == nil) != (c.want != "") {
			t.Errorf("%s: got line %s and error %v, want line %q (empty for an error)", c.name, got, err, c.want)
		}
	}
}

// A syntax error names the expected element and the byte offset at which the error was found. Every parse error
// wraps ErrMessage.
func TestParseErrors(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{`{"tag":"a"}`, "malformed message: no verb"},
		{`["verb"]`, "malformed message: expected an object at byte 0"},
		{`{"verb":"ECHO"}{}`, "malformed message: expected the end of the line at byte 15"},
		{`{"verb" "ECHO"}`, "malformed message: expected a colon at byte 8"},
		{`{"verb":"ECHO","rc":1.5}`, "malformed message: expected a whole number as rc at byte 23"},
	} {
		_, err := Parse([]byte(c.line))
		if err == nil || err.Error() != c.want || !errors.Is(err, ErrMessage) {
			t.Errorf("line %s: got error %v, want %s", c.line, err, c.want)
		}
	}
	var syntax *SyntaxError
	if _, err := Parse([]byte(`{"verb":1}`)); !errors.As(err, &syntax) || *syntax != (SyntaxError{"a string", 8}) {
		t.Errorf("verb that is a number: got error %v, want a SyntaxError for a string at byte 8", err)
	}
}

// A line of 16 KiB is accepted, and a longer one is rejected before it is complete.
func TestLineLength(t *testing.T) {
	m := Message{Verb: VerbStart, Tag: "9b1f03aa5c7e2d41", HasBlob: true}
	m.Blob = strings.Repeat("x", MaxLine-len(Append(nil, &m)))
	line := Append(nil, &m)
	if used, err := ForEachLine(line, discardLine); used != MaxLine || err != nil {
		t.Errorf("line of 16 KiB: got %d bytes used and error %v, want all bytes used and no error", used, err)
	}
	if _, err := ForEachLine(line[:MaxLine-1], discardLine); err != nil {
		t.Errorf("incomplete line of 1 byte less than 16 KiB: got error %v, want none", err)
	}
	if _, err := ForEachLine(bytes.Repeat([]byte("x"), MaxLine), discardLine); !errors.Is(err, ErrLineTooLong) {
		t.Errorf("line of more than 16 KiB: got error %v, want ErrLineTooLong", err)
	}
}

// Parsing and re-encoding does not make a string longer, so these lines grow only by the appended line feed.
func TestMessagesDoNotGrow(t *testing.T) {
	for _, blob := range []string{`\b\f\n\r\t\"\\\/`, `\u0001\ud800`, "é\u007f"} {
		line := `{"verb":"START","tag":"a","opts":{},"blob":"` + blob + `"}`
		m, err := Parse([]byte(line))
		if written := Append(nil, &m); err != nil || len(written) > len(line)+1 {
			t.Errorf("line %s: re-encoded to %s (error %v), want a line that is at most as long and no error",
				line, written, err)
		}
	}
}
