package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// FuzzLines checks two properties. If a text cannot be parsed, the error names a line of the text. If it can
// be parsed, its sections are written as a second text, and parsing the second text gives sections that
// checkSameSection accepts. A second text with a carriage return is not parsed.
func FuzzLines(f *testing.F) {
	for _, text := range []string{
		"[a]\nb c # d\n", "[a]\nb \"c d\"\n", "[", "\"", "[a]\n[a]", "[a] b", "x",
		"[a]\r\nb\r\n", "[a]\nb \"\"", "[a]\n\"#\" b",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		sections, err := ParseLines("f", []byte(text))
		if err != nil {
			checkPosition(t, text, err)
			return
		}
		written := writeSections(sections)
		if strings.ContainsAny(written, "\r") {
			return // carriage returns are outside this check; the parser drops one that precedes a line feed
		}
		again, err := ParseLines("f", []byte(written))
		if err != nil {
			t.Fatalf("%q was written as %q, which gives error %v", text, written, err)
		}
		if len(again) != len(sections) {
			t.Fatalf("%q was written as %q: got %d sections, want %d", text, written, len(again), len(sections))
		}
		for i := range again {
			checkSameSection(t, again[i], sections[i])
		}
	})
}

// checkPosition checks that err is a *PositionError that wraps ErrLineFile, and that it names a line
// of the text and a column of at least 1.
func checkPosition(t *testing.T, text string, err error) {
	t.Helper()
	var at *PositionError
	if !errors.As(err, &at) || !errors.Is(err, ErrLineFile) ||
		at.Line < 1 || at.Line > strings.Count(text, "\n")+1 || at.Column < 1 {
		t.Fatalf("%q: got error %v, want a *PositionError within the text", text, err)
	}
}

// writeSections returns the text of a line-based file with the given sections, in which all words of
// directives are quoted.
func writeSections(sections []Section) string {
	var text strings.Builder
	for _, section := range sections {
		fmt.Fprintf(&text, "[%s]\n", section.Name.Text)
		for _, directive := range section.Directives {
			for _, word := range append([]Word{directive.Name}, directive.Args...) {
				fmt.Fprintf(&text, "\"%s\" ", word.Text)
			}
			text.WriteByte('\n')
		}
	}
	return text.String()
}

// checkSameSection checks that two sections have the same name, and directives with the same names and
// numbers of arguments.
func checkSameSection(t *testing.T, got, want Section) {
	t.Helper()
	if len(got.Directives) != len(want.Directives) || got.Name.Text != want.Name.Text {
		t.Fatalf("parsed again: got section %+v, want %+v", got, want)
	}
	for i, directive := range got.Directives {
		if before := want.Directives[i]; len(directive.Args) != len(before.Args) || directive.Name.Text != before.Name.Text {
			t.Fatalf("parsed again: got directive %+v, want %+v", directive, before)
		}
	}
}

// A file or a line that exceeds its maximum length is an error.
func TestMaxLengths(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{strings.Repeat("#\n", maxFileSize), "f:1:1: expected at most"},
		{"[a]\n" + strings.Repeat("x", maxLineLength+1), "f:2:4097: expected a line of at most"},
	} {
		if _, err := ParseLines("f", []byte(test.text)); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("ParseLines: got error %v, want one that contains %q", err, test.want)
		}
	}
}
