package jsonlines

// This file owns the reading of JSON text, byte by byte. It must never read a byte more often than a bounded number of
// times.

import (
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// maxDepth bounds how deep a value that is skipped may be nested.
const maxDepth = 32

// codeUnitDigits is how many hexadecimal digits stand for a UTF-16 code unit.
const codeUnitDigits = 4

// escapedBytes gives the byte for the letter behind the backslash of a short escape.
var escapedBytes = [256]byte{'"': '"', '\\': '\\', '/': '/', 'b': '\b', 'f': '\f', 'n': '\n', 'r': '\r', 't': '\t'}

// literals are the values that are single words.
var literals = [...]string{"true", "false", "null"}

// scanner reads JSON values from a text.
type scanner struct {
	text   []byte
	offset int // of the next byte to read
}

// expected returns the error for a text in which something else comes next than what is named.
func (s *scanner) expected(what string) error {
	return &SyntaxError{Expected: what, Offset: s.offset}
}

func (s *scanner) skipSpace() {
	for s.offset < len(s.text) {
		switch s.text[s.offset] {
		case ' ', '\t', '\r', '\n':
			s.offset++
		default:
			return
		}
	}
}

// at reports whether the next byte is c.
func (s *scanner) at(c byte) bool { return s.offset < len(s.text) && s.text[s.offset] == c }

// take skips space, and also c if that comes next. It reports whether it did.
func (s *scanner) take(c byte) bool {
	s.skipSpace()
	if !s.at(c) {
		return false
	}
	s.offset++
	return true
}

// peek skips space and returns the next byte, 0 at the end.
func (s *scanner) peek() byte {
	s.skipSpace()
	if s.offset < len(s.text) {
		return s.text[s.offset]
	}
	return 0
}

// str reads a string.
func (s *scanner) str() (string, error) {
	if !s.take('"') {
		return "", s.expected("a string")
	}
	start := s.offset
	for s.offset < len(s.text) && s.text[s.offset] != '"' && s.text[s.offset] != '\\' && s.text[s.offset] >= ' ' {
		s.offset++
	}
	if !s.at('"') {
		return s.escapedString(start)
	}
	content := s.text[start:s.offset]
	s.offset++
	if !utf8.Valid(content) {
		return "", s.expected("UTF-8")
	}
	return string(content), nil
}

// escapedString reads the rest of a string that has escapes. start is where its content begins; up to the current
// offset there is no escape.
func (s *scanner) escapedString(start int) (string, error) {
	content := append([]byte(nil), s.text[start:s.offset]...)
	rawStart := start // of the bytes since the last escape
	for s.offset < len(s.text) {
		c := s.text[s.offset]
		if (c == '"' || c == '\\') && !utf8.Valid(s.text[rawStart:s.offset]) {
			return "", s.expected("UTF-8")
		}
		switch {
		case c == '"':
			s.offset++
			return string(content), nil
		case c < ' ':
			return "", s.expected("no control character")
		case c != '\\':
			content = append(content, c)
			s.offset++
		default:
			var err error
			if content, err = s.appendEscaped(content); err != nil {
				return "", err
			}
			rawStart = s.offset
		}
	}
	return "", s.expected("the end of a string")
}

// appendEscaped reads an escape, at whose backslash the scanner is, and appends what it stands for.
func (s *scanner) appendEscaped(dst []byte) ([]byte, error) {
	if s.offset+1 >= len(s.text) {
		return nil, s.expected("an escape")
	}
	letter := s.text[s.offset+1]
	if letter == 'u' {
		return s.appendCodePoint(dst)
	}
	if escapedBytes[letter] == 0 {
		return nil, s.expected("an escape")
	}
	s.offset += 2
	return append(dst, escapedBytes[letter]), nil
}

// appendCodePoint reads an escaped UTF-16 code unit, or a pair of surrogates, and appends it as UTF-8. A lone
// surrogate is appended in the three bytes that UTF-8 would have for it.
func (s *scanner) appendCodePoint(dst []byte) ([]byte, error) {
	unit, ok := s.codeUnit()
	if !ok {
		return nil, s.expected("four hex digits")
	}
	if !utf16.IsSurrogate(unit) {
		return utf8.AppendRune(dst, unit), nil
	}
	afterUnit := s.offset
	if low, ok := s.codeUnit(); ok {
		if pair := utf16.DecodeRune(unit, low); pair != utf8.RuneError {
			return utf8.AppendRune(dst, pair), nil
		}
	}
	s.offset = afterUnit
	return append(dst, 0xe0|byte(unit>>12), 0x80|byte(unit>>6&0x3f), 0x80|byte(unit&0x3f)), nil
}

// codeUnit reads an escaped UTF-16 code unit if one comes next.
func (s *scanner) codeUnit() (rune, bool) {
	digits := s.offset + len(`\u`)
	end := digits + codeUnitDigits
	if end > len(s.text) || s.text[s.offset] != '\\' || s.text[s.offset+1] != 'u' {
		return 0, false
	}
	unit, err := strconv.ParseUint(string(s.text[digits:end]), 16, 16)
	if err != nil {
		return 0, false
	}
	s.offset = end
	return rune(unit), true
}

// startsNumber reports whether c is the first byte of a number.
func startsNumber(c byte) bool { return c == '-' || isDigit(c) }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// number reads a number and returns its text.
func (s *scanner) number() (string, error) {
	s.skipSpace()
	start := s.offset
	if s.at('-') {
		s.offset++
	}
	first := s.offset
	if !s.digits() || s.text[first] == '0' && s.offset > first+1 {
		return "", s.expected("a number")
	}
	if s.at('.') {
		s.offset++
		if !s.digits() {
			return "", s.expected("a number")
		}
	}
	if s.at('e') || s.at('E') {
		s.offset++
		if s.at('+') || s.at('-') {
			s.offset++
		}
		if !s.digits() {
			return "", s.expected("a number")
		}
	}
	return string(s.text[start:s.offset]), nil
}

// digits skips digits and reports whether there was one.
func (s *scanner) digits() bool {
	start := s.offset
	for s.offset < len(s.text) && isDigit(s.text[s.offset]) {
		s.offset++
	}
	return s.offset > start
}

// object reads an object and calls value at the value of each member, which it must read.
func (s *scanner) object(value func(name string) error) error {
	if !s.take('{') {
		return s.expected("an object")
	}
	if s.take('}') {
		return nil
	}
	for {
		name, err := s.str()
		if err != nil {
			return err
		}
		if !s.take(':') {
			return s.expected("a colon")
		}
		if err := value(name); err != nil {
			return err
		}
		if s.take('}') {
			return nil
		}
		if !s.take(',') {
			return s.expected("a comma")
		}
	}
}

// skipValue skips any value. depth is how many other values it is nested in.
func (s *scanner) skipValue(depth int) error {
	if depth > maxDepth {
		return s.expected("less nesting")
	}
	switch first := s.peek(); {
	case first == '"':
		_, err := s.str()
		return err
	case first == '{':
		return s.object(func(string) error { return s.skipValue(depth + 1) })
	case first == '[':
		return s.skipArray(depth)
	case startsNumber(first):
		_, err := s.number()
		return err
	}
	return s.skipLiteral()
}

// skipArray skips an array, at whose bracket the scanner is.
func (s *scanner) skipArray(depth int) error {
	s.offset++
	if s.take(']') {
		return nil
	}
	for {
		if err := s.skipValue(depth + 1); err != nil {
			return err
		}
		if s.take(']') {
			return nil
		}
		if !s.take(',') {
			return s.expected("a comma")
		}
	}
}

func (s *scanner) skipLiteral() error {
	for _, literal := range literals {
		end := s.offset + len(literal)
		if end <= len(s.text) && string(s.text[s.offset:end]) == literal {
			s.offset = end
			return nil
		}
	}
	return s.expected("a value")
}
