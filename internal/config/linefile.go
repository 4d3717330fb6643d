package config

// This file owns the syntax of line-based files. The configuration files of many Unix daemons have a similar
// syntax. A section starts with its name in brackets. Each further line contains at most one directive, which
// is a name followed by arguments. # begins a comment. A word in double quotes may contain spaces and #, and
// may be empty. The caller interprets the directives; arguments.go converts arguments to values. The parser must
// never open a file, and each of its errors names the file, the line, the column and the expected text.

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

const (
	maxFileSize   = 1 << 20 // bytes
	maxLineLength = 4 << 10 // bytes, without the line ending
)

// Word is a name or an argument in a line-based file, without its quotes, and its position.
type Word struct {
	Text         string
	File         string
	Line, Column int // line and column, counted from 1; the column counts bytes
}

// Expected returns a *PositionError that reports that want was expected in place of the word.
func (w Word) Expected(want string) error {
	return &PositionError{File: w.File, Line: w.Line, Column: w.Column, Want: want, Got: w.Text}
}

// Directive is one line of a section: a name and its arguments.
type Directive struct {
	Name Word
	Args []Word
}

// Section is a heading and the directives that follow it.
type Section struct {
	Name       Word
	Directives []Directive
}

// ParseLines parses the text of a line-based file. file is the name of the file in error texts. Each
// error is a *PositionError.
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

// lineParser parses a line-based file, one line at a time.
type lineParser struct {
	file     string
	line     int // number of the current line, counted from 1
	sections []Section
}

// errorAt returns a *PositionError at a column of the current line, counted from 1 in bytes.
func (p *lineParser) errorAt(column int, want, got string) error {
	return &PositionError{File: p.file, Line: p.line, Column: column, Want: want, Got: got}
}

// parse parses the current line. text is the line without its ending. The line contains a heading, a
// directive of the latest section, or no words.
func (p *lineParser) parse(text string) error {
	if len(text) > maxLineLength {
		return p.errorAt(maxLineLength+1, fmt.Sprintf("a line of at most %d bytes", maxLineLength), "")
	}
	if !utf8.ValidString(text) {
		return p.errorAt(1, "UTF-8", text)
	}
	words, err := p.split(text)
	if err != nil || len(words) == 0 {
		return err
	}
	first := words[0]
	if strings.HasPrefix(first.Text, "[") && text[first.Column-1] == '[' { // the bracket is not quoted
		return p.addSection(words)
	}
	if len(p.sections) == 0 {
		return p.errorAt(first.Column, "a section as [name] before the first directive", first.Text)
	}
	section := &p.sections[len(p.sections)-1]
	section.Directives = append(section.Directives, Directive{Name: first, Args: words[1:]})
	return nil
}

// addSection adds the section that a heading begins. words holds all words of the heading's line; the
// first of them starts with a bracket.
func (p *lineParser) addSection(words []Word) error {
	heading := words[0]
	name := strings.TrimSuffix(heading.Text[1:], "]")
	if !strings.HasSuffix(heading.Text, "]") || name == "" {
		return p.errorAt(heading.Column, "a section as [name]", heading.Text)
	}
	if len(words) > 1 {
		return p.errorAt(words[1].Column, "nothing after a section's name", words[1].Text)
	}
	for _, s := range p.sections {
		if s.Name.Text == name {
			want := fmt.Sprintf("each section once; %s began in line %d", name, s.Name.Line)
			return p.errorAt(heading.Column, want, heading.Text)
		}
	}
	p.sections = append(p.sections, Section{Name: p.word(name, heading.Column+1)})
	return nil
}

// word returns a Word at a column of the current line.
func (p *lineParser) word(text string, column int) Word {
	return Word{Text: text, File: p.file, Line: p.line, Column: column}
}

// split splits the text of the current line into words, without a trailing comment.
func (p *lineParser) split(text string) ([]Word, error) {
	var words []Word
	for offset := 0; offset < len(text); {
		switch text[offset] {
		case ' ', '\t':
			offset++
			continue
		case '#':
			return words, nil
		}
		word, end, err := p.nextWord(text, offset)
		if err != nil {
			return nil, err
		}
		words = append(words, word)
		offset = end
	}
	return words, nil
}

// nextWord returns the word that begins at an offset of the current line, and the offset of the byte
// after it.
func (p *lineParser) nextWord(text string, offset int) (word Word, end int, err error) {
	if text[offset] == '"' {
		return p.quotedWord(text, offset)
	}
	end = offset
	for end < len(text) && !endsWord(text[end]) {
		if text[end] == '"' {
			return Word{}, 0, p.errorAt(end+1, "a space before an opening quote", text[end:])
		}
		end++
	}
	return p.word(text[offset:end], offset+1), end, nil
}

// quotedWord returns the word whose opening quote is at an offset of the current line, and the offset
// of the byte after its closing quote. The column of the word is that of the opening quote.
func (p *lineParser) quotedWord(text string, offset int) (word Word, end int, err error) {
	length := strings.IndexByte(text[offset+1:], '"')
	if length < 0 {
		return Word{}, 0, p.errorAt(offset+1, "a closing quote", text[offset:])
	}
	end = offset + length + 2
	if end < len(text) && !endsWord(text[end]) {
		return Word{}, 0, p.errorAt(end+1, "a space after a closing quote", text[end:])
	}
	return p.word(text[offset+1:end-1], offset+1), end, nil
}

// endsWord reports whether a byte ends a word: a space, a tab or the # of a comment, which needs no
// space before it.
func endsWord(b byte) bool { return b == ' ' || b == '\t' || b == '#' }
