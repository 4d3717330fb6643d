package jsonlines

// This file owns the scanning of JSON text. It must read each byte at most a constant number of times, so that
// parsing takes linear time.

import (
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// maxDepth is the maximum nesting depth of a skipped value.
const maxDepth = 32

// codeUnitDigits is the number of hexadecimal digits in the escape sequence of a UTF-16 code unit.
const codeUnitDigits = 4

// unescapedBytes maps the letter that follows the backslash in a short escape sequence to the byte that the sequence
// represents, or to 0 if there is no such sequence.
var unescapedBytes = [256]byte{'"': '"', '\\': '\\', '/': '/', 'b': '\b', 'f': '\f', 'n': '\n', 'r': '\r', 't': '\t'}

// literals are the JSON literal names.
var literals = [...]string{"true", "false", "null"}

// scanner reads JSON values from text.
type scanner struct {
	text   []byte
	offset int // index in text of the next byte to read
}

// expected returns a SyntaxError which reports that the described element was expected at the current offset.
func (s *scanner) expected(element string) error {
	return &SyntaxError{Expected: element, Offset: s.offset}
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

// consume skips whitespace and then the byte c if it comes next. It reports whether it skipped c.
func (s *scanner) consume(c byte) bool {
	s.skipSpace()
	if !s.at(c) {
		return false
	}
	s.offset++
	return true
}

// peek skips whitespace and returns the next byte without consuming it, or 0 at the end of the text.
func (s *scanner) peek() byte {
	s.skipSpace()
	if s.offset < len(s.text) {
		return s.text[s.offset]
	}
	return 0
}

// str reads a quoted string and returns it decoded.
func (s *scanner) str() (string, error) {
	if !s.consume('"') {
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
		return "", s.expected("valid UTF-8")
	}
	return string(content), nil
}

// escapedString reads the rest of a string that contains escape sequences or is malformed, and returns the whole
// string decoded. The content of the string begins at start and has no escape sequence before the current offset.
func (s *scanner) escapedString(start int) (string, error) {
	content := append([]byte(nil), s.text[start:s.offset]...)
	rawStart := start // offset of the first byte that is not yet checked for valid UTF-8
	for s.offset < len(s.text) {
		c := s.text[s.offset]
		if (c == '"' || c == '\\') && !utf8.Valid(s.text[rawStart:s.offset]) {
			return "", s.expected("valid UTF-8")
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

// appendEscaped reads an escape sequence, whose backslash is at the current offset, and appends the decoded bytes to
// dst.
func (s *scanner) appendEscaped(dst []byte) ([]byte, error) {
	if s.offset+1 >= len(s.text) {
		return nil, s.expected("a valid escape sequence")
	}
	letter := s.text[s.offset+1]
	if letter == 'u' {
		return s.appendCodePoint(dst)
	}
	if unescapedBytes[letter] == 0 {
		return nil, s.expected("a valid escape sequence")
	}
	s.offset += 2
	return append(dst, unescapedBytes[letter]), nil
}

// appendCodePoint reads an escaped UTF-16 code unit, or an escaped surrogate pair, and appends the code point to
// dst in UTF-8. A lone surrogate is appended as the three bytes that the UTF-8 scheme would assign to its value.
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

// codeUnit reads an escaped UTF-16 code unit. If none comes next, it returns false and consumes nothing.
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

// startsNumber reports whether a number may begin with c.
func startsNumber(c byte) bool { return c == '-' || isDigit(c) }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// number reads a number and returns its text unconverted.
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

// digits skips decimal digits and reports whether there was at least one.
func (s *scanner) digits() bool {
	start := s.offset
	for s.offset < len(s.text) && isDigit(s.text[s.offset]) {
		s.offset++
	}
	return s.offset > start
}

// object reads an object. For each member, it calls readValue with the member's name; readValue must then consume
// the member's value.
func (s *scanner) object(readValue func(name string) error) error {
	if !s.consume('{') {
		return s.expected("an object")
	}
	if s.consume('}') {
		return nil
	}
	for {
		name, err := s.str()
		if err != nil {
			return err
		}
		if !s.consume(':') {
			return s.expected("a colon")
		}
		if err := readValue(name); err != nil {
			return err
		}
		if s.consume('}') {
			return nil
		}
		if !s.consume(',') {
			return s.expected("a comma")
		}
	}
}

// skipValue skips one value of any type. depth is the number of skipped values that enclose it. If depth is above
// maxDepth, skipValue returns an error.
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

// skipArray skips an array whose opening bracket is at the current offset. depth is the number of skipped values that
// enclose the array.
func (s *scanner) skipArray(depth int) error {
	s.offset++
	if s.consume(']') {
		return nil
	}
	for {
		if err := s.skipValue(depth + 1); err != nil {
			return err
		}
		if s.consume(']') {
			return nil
		}
		if !s.consume(',') {
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
