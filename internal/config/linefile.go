package config

// This file owns the form of line-based files, as classic daemons read them: a section's
// name in brackets, then one directive a line, a word and its arguments; # begins a
// comment; double quotes keep spaces in a word. What a directive means its user decides.
// It must never open a file, and each of its errors names the file, the line, the column
// and what was expected.

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

const (
	maxFileSize   = 1 << 20 // bytes
	maxLineLength = 4 << 10 // bytes
)

// Word is a word and its place.
type Word struct {
	Text         string
	File         string
	Line, Column int // from 1
}

// Wrong returns the error that something else was expected in place of the word. It is a
// *PositionError.
func (w Word) Wrong(want string) error {
	return &PositionError{File: w.File, Line: w.Line, Column: w.Column, Want: want, Got: w.Text}
}

// Directive is a line of a section.
type Directive struct {
	Name Word
	Args []Word
}

// Section is a heading and the directives below it.
type Section struct {
	Name       Word
	Directives []Directive
}

// ParseLines parses the text of a file. Its errors are *PositionError.
func ParseLines(file string, text []byte) ([]Section, error) {
	if len(text) > maxFileSize {
		return nil, &PositionError{File: file, Line: 1, Column: 1, Want: fmt.Sprintf("at most %d bytes", maxFileSize)}
	}
	p := lineParser{file: file}
	for rest := string(text); rest != ""; {
		var line string
		line, rest, _ = strings.Cut(rest, "\n")
		p.line++
		if err := p.parse(strings.TrimSuffix(line, "\r")); err != nil {
			return nil, err
		}
	}
	return p.sections, nil
}

// lineParser parses a file line by line.
type lineParser struct {
	file     string
	line     int // number of the present line, from 1
	sections []Section
}

// fail returns an error in the present line.
func (p *lineParser) fail(column int, want, got string) error {
	return &PositionError{File: p.file, Line: p.line, Column: column, Want: want, Got: got}
}

// parse parses the present line.
func (p *lineParser) parse(text string) error {
	if len(text) > maxLineLength {
		return p.fail(maxLineLength+1, fmt.Sprintf("a line of at most %d bytes", maxLineLength), "")
	}
	if !utf8.ValidString(text) {
		return p.fail(1, "UTF-8", text)
	}
	words, err := p.split(text)
	if err != nil || len(words) == 0 {
		return err
	}
	first := words[0]
	if strings.HasPrefix(first.Text, "[") && text[first.Column-1] == '[' { // not in quotes
		return p.addSection(words)
	}
	if len(p.sections) == 0 {
		return p.fail(first.Column, "a section as [name] before the first directive", first.Text)
	}
	section := &p.sections[len(p.sections)-1]
	section.Directives = append(section.Directives, Directive{Name: first, Args: words[1:]})
	return nil
}

// addSection adds the section of a heading, whose first word begins with a bracket.
func (p *lineParser) addSection(words []Word) error {
	heading := words[0]
	name := strings.TrimSuffix(heading.Text[1:], "]")
	if !strings.HasSuffix(heading.Text, "]") || name == "" {
		return p.fail(heading.Column, "a section as [name]", heading.Text)
	}
	if len(words) > 1 {
		return p.fail(words[1].Column, "nothing after a section's name", words[1].Text)
	}
	for _, s := range p.sections {
		if s.Name.Text == name {
			want := fmt.Sprintf("each section once; %s began in line %d", name, s.Name.Line)
			return p.fail(heading.Column, want, heading.Text)
		}
	}
	p.sections = append(p.sections, Section{Name: p.word(name, heading.Column+1)})
	return nil
}

// word returns a word of the present line.
func (p *lineParser) word(text string, column int) Word {
	return Word{Text: text, File: p.file, Line: p.line, Column: column}
}

// split splits the present line into its words, up to a comment.
func (p *lineParser) split(text string) ([]Word, error) {
	var words []Word
	for at := 0; at < len(text); {
		switch text[at] {
		case ' ', '\t':
			at++
			continue
		case '#':
			return words, nil
		}
		word, end, err := p.nextWord(text, at)
		if err != nil {
			return nil, err
		}
		words = append(words, word)
		at = end
	}
	return words, nil
}

// nextWord returns the word that begins at an offset of a line, and the offset behind it.
func (p *lineParser) nextWord(text string, at int) (word Word, end int, err error) {
	if text[at] == '"' {
		return p.quotedWord(text, at)
	}
	end = at
	for end < len(text) && !endsWord(text[end]) {
		if text[end] == '"' {
			return Word{}, 0, p.fail(end+1, "a space before an opening quote", text[end:])
		}
		end++
	}
	return p.word(text[at:end], at+1), end, nil
}

// quotedWord returns the word whose opening quote is at an offset of a line, and the
// offset behind its closing quote. Its column is that of the opening quote.
func (p *lineParser) quotedWord(text string, at int) (word Word, end int, err error) {
	length := strings.IndexByte(text[at+1:], '"')
	if length < 0 {
		return Word{}, 0, p.fail(at+1, "a closing quote", text[at:])
	}
	end = at + length + 2
	if end < len(text) && !endsWord(text[end]) {
		return Word{}, 0, p.fail(end+1, "a space after a closing quote", text[end:])
	}
	return p.word(text[at+1:end-1], at+1), end, nil
}

// endsWord reports whether a word ends before a byte.
func endsWord(b byte) bool { return b == ' ' || b == '\t' || b == '#' }

// requireArgs returns an error unless the directive has so many arguments.
func (d Directive) requireArgs(count int, want string) error {
	if len(d.Args) > count {
		return d.Args[count].Wrong("nothing after " + want)
	}
	if len(d.Args) < count {
		return &PositionError{File: d.Name.File, Line: d.Name.Line, Column: d.Name.Column, Want: d.Name.Text + " followed by " + want}
	}
	return nil
}

// Word returns the only argument.
func (d Directive) Word(want string) (string, error) {
	if err := d.requireArgs(1, want); err != nil {
		return "", err
	}
	return d.Args[0].Text, nil
}

// OneOf returns the only argument, which must be one of the given words.
func (d Directive) OneOf(words ...string) (string, error) {
	want := strings.Join(words, " or ")
	word, err := d.Word(want)
	if err != nil {
		return "", err
	}
	if !slices.Contains(words, word) {
		return "", d.Args[0].Wrong(want)
	}
	return word, nil
}

// Duration returns the only argument as a time with its unit, as 500ms or 3s, within bounds.
func (d Directive) Duration(minimum, maximum time.Duration) (time.Duration, error) {
	want := fmt.Sprintf("a time with its unit, %s to %s", minimum, maximum)
	word, err := d.Word(want)
	if err != nil {
		return 0, err
	}
	duration, err := time.ParseDuration(word)
	if err != nil || duration < minimum || duration > maximum {
		return 0, d.Args[0].Wrong(want)
	}
	return duration, nil
}

// Int returns the only argument as a whole number within bounds.
func (d Directive) Int(minimum, maximum int64) (int64, error) {
	want := fmt.Sprintf("a whole number, %d to %d", minimum, maximum)
	word, err := d.Word(want)
	if err != nil {
		return 0, err
	}
	number, err := strconv.ParseInt(word, 10, 64)
	if err != nil || number < minimum || number > maximum {
		return 0, d.Args[0].Wrong(want)
	}
	return number, nil
}
