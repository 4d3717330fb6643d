package config

// This file reads the line-based form of the operators' files, in the manner of
// classic daemons: a section's name in brackets, then one directive a line, a word
// and what belongs to it; # begins a comment; double quotes keep spaces in a word.
// It owns the form alone: what a directive means its user says. It must never open a
// file, and every error of it names the file, the line, the column and what was
// expected.

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// ErrConf is wrapped by every error of this package.
var ErrConf = errors.New("settings")

const (
	sizeMost = 1 << 20
	lineMost = 4 << 10
)

// Error is what is wrong at a place.
type Error struct {
	File         string
	Line, Column int
	Want, Got    string // what was expected; what is there, "" where that is nothing
}

func (e *Error) Error() string {
	at := fmt.Sprintf("%s:%d:%d: expected %s", e.File, e.Line, e.Column, e.Want)
	if e.Got != "" {
		at += fmt.Sprintf(", got %.60q", e.Got)
	}
	return at
}

// Unwrap is ErrConf.
func (e *Error) Unwrap() error { return ErrConf }

// Word is a word and where it stands.
type Word struct {
	Text         string
	File         string
	Line, Column int
}

// Wrong is the error that another thing was expected in place of the word.
func (w Word) Wrong(want string) error {
	return &Error{File: w.File, Line: w.Line, Column: w.Column, Want: want, Got: w.Text}
}

// Directive is one line.
type Directive struct {
	Name Word
	Args []Word
}

// Section is a heading and what stands under it.
type Section struct {
	Name       Word
	Directives []Directive
}

// ParseLines reads a file's text.
func ParseLines(file string, text []byte) ([]Section, error) {
	if len(text) > sizeMost {
		return nil, &Error{File: file, Line: 1, Column: 1, Want: fmt.Sprintf("at most %d bytes", sizeMost)}
	}
	var out []Section
	for n, rest := 1, string(text); rest != ""; n++ {
		var line string
		line, rest, _ = strings.Cut(rest, "\n")
		line = strings.TrimSuffix(line, "\r")
		bad := func(column int, want, got string) ([]Section, error) {
			return nil, &Error{File: file, Line: n, Column: column, Want: want, Got: got}
		}
		if len(line) > lineMost {
			return bad(lineMost+1, fmt.Sprintf("a line of at most %d bytes", lineMost), "")
		}
		if !utf8.ValidString(line) {
			return bad(1, "UTF-8", line)
		}
		words, err := split(file, n, line)
		if err != nil {
			return nil, err
		}
		if len(words) == 0 {
			continue
		}
		if head := words[0]; strings.HasPrefix(head.Text, "[") && line[head.Column-1] == '[' {
			name := strings.TrimSuffix(head.Text[1:], "]")
			if !strings.HasSuffix(head.Text, "]") || name == "" {
				return bad(head.Column, "a section as [name]", head.Text)
			}
			if len(words) > 1 {
				return bad(words[1].Column, "nothing after a section's name", words[1].Text)
			}
			for _, s := range out {
				if s.Name.Text == name {
					return bad(head.Column, fmt.Sprintf("each section once; %s began in line %d", name, s.Name.Line), head.Text)
				}
			}
			out = append(out, Section{Name: Word{name, file, n, head.Column + 1}})
			continue
		}
		if len(out) == 0 {
			return bad(words[0].Column, "a section as [name] before the first directive", words[0].Text)
		}
		s := &out[len(out)-1]
		s.Directives = append(s.Directives, Directive{words[0], words[1:]})
	}
	return out, nil
}

// split cuts a line into its words.
func split(file string, n int, line string) ([]Word, error) {
	var out []Word
	for i := 0; i < len(line); {
		switch c := line[i]; {
		case c == ' ' || c == '\t':
			i++
		case c == '#':
			return out, nil
		case c == '"':
			end := strings.IndexByte(line[i+1:], '"')
			if end < 0 {
				return nil, &Error{File: file, Line: n, Column: i + 1, Want: "a closing quote", Got: line[i:]}
			}
			out = append(out, Word{line[i+1 : i+1+end], file, n, i + 1})
			i += end + 2
			if i < len(line) && line[i] != ' ' && line[i] != '\t' && line[i] != '#' {
				return nil, &Error{File: file, Line: n, Column: i + 1, Want: "a space after a closing quote", Got: line[i:]}
			}
		default:
			from := i
			for i < len(line) && line[i] != ' ' && line[i] != '\t' && line[i] != '#' {
				if line[i] == '"' {
					return nil, &Error{File: file, Line: n, Column: i + 1, Want: "a space before an opening quote", Got: line[i:]}
				}
				i++
			}
			out = append(out, Word{line[from:i], file, n, from + 1})
		}
	}
	return out, nil
}

// Args returns the n words that belong to the directive.
func (d Directive) args(n int, want string) error {
	if len(d.Args) > n {
		return d.Args[n].Wrong("nothing after " + want)
	}
	if len(d.Args) < n {
		return &Error{File: d.Name.File, Line: d.Name.Line, Column: d.Name.Column, Want: d.Name.Text + " followed by " + want}
	}
	return nil
}

// Word returns the one word that belongs to the directive.
func (d Directive) Word(want string) (string, error) {
	if err := d.args(1, want); err != nil {
		return "", err
	}
	return d.Args[0].Text, nil
}

// OneOf returns the one word, which must be one of those given.
func (d Directive) OneOf(words ...string) (string, error) {
	want := strings.Join(words, " or ")
	v, err := d.Word(want)
	if err != nil {
		return "", err
	}
	for _, w := range words {
		if v == w {
			return v, nil
		}
	}
	return "", d.Args[0].Wrong(want)
}

// Duration returns the one word as a time with its unit, as 500ms or 3s, within bounds.
func (d Directive) Duration(least, most time.Duration) (time.Duration, error) {
	want := fmt.Sprintf("a time with its unit, %s to %s", least, most)
	v, err := d.Word(want)
	if err != nil {
		return 0, err
	}
	t, err := time.ParseDuration(v)
	if err != nil || t < least || t > most {
		return 0, d.Args[0].Wrong(want)
	}
	return t, nil
}

// Int returns the one word as a whole number within bounds.
func (d Directive) Int(least, most int64) (int64, error) {
	want := fmt.Sprintf("a whole number, %d to %d", least, most)
	v, err := d.Word(want)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < least || n > most {
		return 0, d.Args[0].Wrong(want)
	}
	return n, nil
}
