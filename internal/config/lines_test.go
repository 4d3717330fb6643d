package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// FuzzLines looks at what holds of any text: an error names a place in it, and what is
// read, written out again, reads the same.
func FuzzLines(f *testing.F) {
	for _, s := range []string{"[a]\nb c # d\n", "[a]\nb \"c d\"\n", "[", "\"", "[a]\n[a]", "[a] b", "x", "[a]\r\nb\r\n", "[a]\nb \"\"", "[a]\n\"#\" b"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		sections, err := ParseLines("f", []byte(s))
		var at *Error
		if err != nil {
			if !errors.As(err, &at) || !errors.Is(err, ErrConf) || at.Line < 1 || at.Line > strings.Count(s, "\n")+1 || at.Column < 1 {
				t.Fatalf("%q: %v", s, err)
			}
			return
		}
		var out strings.Builder
		for _, s := range sections {
			fmt.Fprintf(&out, "[%s]\n", s.Name.Text)
			for _, d := range s.Directives {
				for _, w := range append([]Word{d.Name}, d.Args...) {
					fmt.Fprintf(&out, "\"%s\" ", w.Text)
				}
				out.WriteByte('\n')
			}
		}
		if strings.ContainsAny(out.String(), "\r") {
			return // a lone one within a word can't be told from a line's end when quoted last
		}
		again, err := ParseLines("f", []byte(out.String()))
		if err != nil {
			t.Fatalf("%q became %q: %v", s, out.String(), err)
		}
		if len(again) != len(sections) {
			t.Fatalf("%q became %q", s, out.String())
		}
		for i := range again {
			if len(again[i].Directives) != len(sections[i].Directives) || again[i].Name.Text != sections[i].Name.Text {
				t.Fatalf("%q became %q", s, out.String())
			}
			for k, d := range again[i].Directives {
				if was := sections[i].Directives[k]; len(d.Args) != len(was.Args) || d.Name.Text != was.Name.Text {
					t.Fatalf("%q became %q", s, out.String())
				}
			}
		}
	})
}

// A file that is too long, or a line that is, is refused before it is read further.
func TestBounds(t *testing.T) {
	for _, x := range []struct{ text, want string }{
		{strings.Repeat("#\n", sizeMost), "f:1:1: expected at most"},
		{"[a]\n" + strings.Repeat("x", lineMost+1), "f:2:4097: expected a line of at most"},
	} {
		if _, err := ParseLines("f", []byte(x.text)); err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("got %v", err)
		}
	}
}
