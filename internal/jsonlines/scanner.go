package jsonlines

// This file owns the reading of JSON text, byte by byte.

import (
	"fmt"
	"strconv"
	"unicode/utf8"
)

// depthMost bounds how deep a value that is skipped may be nested.
const depthMost = 32

type scanner struct {
	b []byte
	i int
}

func (s *scanner) bad(want string) error {
	return fmt.Errorf("%w: expected %s at byte %d", ErrMessage, want, s.i)
}

func (s *scanner) space() {
	for s.i < len(s.b) {
		switch s.b[s.i] {
		case ' ', '\t', '\r', '\n':
			s.i++
		default:
			return
		}
	}
}

// next skips space and takes c if it comes.
func (s *scanner) next(c byte) bool {
	s.space()
	if s.i < len(s.b) && s.b[s.i] == c {
		s.i++
		return true
	}
	return false
}

func (s *scanner) peek() byte {
	s.space()
	if s.i < len(s.b) {
		return s.b[s.i]
	}
	return 0
}

// str reads a JSON string.
func (s *scanner) str() (string, error) {
	if !s.next('"') {
		return "", s.bad("a string")
	}
	from := s.i
	for s.i < len(s.b) && s.b[s.i] != '"' && s.b[s.i] != '\\' && s.b[s.i] >= ' ' {
		s.i++
	}
	if s.i < len(s.b) && s.b[s.i] == '"' {
		out := s.b[from:s.i]
		s.i++
		if !utf8.Valid(out) {
			return "", s.bad("UTF-8")
		}
		return string(out), nil
	}
	out := append([]byte(nil), s.b[from:s.i]...)
	raw := from
	check := func() bool { return utf8.Valid(s.b[raw:s.i]) }
	for s.i < len(s.b) {
		switch c := s.b[s.i]; {
		case c == '"':
			if !check() {
				return "", s.bad("UTF-8")
			}
			s.i++
			return string(out), nil
		case c < ' ':
			return "", s.bad("no control character")
		case c != '\\':
			out = append(out, c)
			s.i++
		default:
			if !check() {
				return "", s.bad("UTF-8")
			}
			var err error
			if out, err = s.escape(out); err != nil {
				return "", err
			}
			raw = s.i
		}
	}
	return "", s.bad("the end of a string")
}

var escapes = [256]byte{'"': '"', '\\': '\\', '/': '/', 'b': '\b', 'f': '\f', 'n': '\n', 'r': '\r', 't': '\t'}

// escape reads what a backslash begins.
func (s *scanner) escape(out []byte) ([]byte, error) {
	if s.i+1 >= len(s.b) {
		return nil, s.bad("an escape")
	}
	c := s.b[s.i+1]
	if c != 'u' {
		if escapes[c] == 0 {
			return nil, s.bad("an escape")
		}
		s.i += 2
		return append(out, escapes[c]), nil
	}
	r, ok := s.hex4(s.i + 2)
	if !ok {
		return nil, s.bad("four hex digits")
	}
	s.i += 6
	if r >= 0xd800 && r < 0xdc00 && s.i+1 < len(s.b) && s.b[s.i] == '\\' && s.b[s.i+1] == 'u' {
		if low, ok := s.hex4(s.i + 2); ok && low >= 0xdc00 && low < 0xe000 {
			s.i += 6
			return utf8.AppendRune(out, 0x10000+(r-0xd800)<<10+(low-0xdc00)), nil
		}
	}
	if r >= 0xd800 && r < 0xe000 {
		return append(out, 0xe0|byte(r>>12), 0x80|byte(r>>6&0x3f), 0x80|byte(r&0x3f)), nil
	}
	return utf8.AppendRune(out, r), nil
}

func (s *scanner) hex4(at int) (rune, bool) {
	if at+4 > len(s.b) {
		return 0, false
	}
	v, err := strconv.ParseUint(string(s.b[at:at+4]), 16, 16)
	return rune(v), err == nil
}

// number reads a JSON number and returns its text.
func (s *scanner) number() (string, error) {
	s.space()
	from := s.i
	digits := func() bool {
		at := s.i
		for s.i < len(s.b) && s.b[s.i] >= '0' && s.b[s.i] <= '9' {
			s.i++
		}
		return s.i > at
	}
	if s.i < len(s.b) && s.b[s.i] == '-' {
		s.i++
	}
	lead := s.i
	if !digits() || s.b[lead] == '0' && s.i > lead+1 {
		return "", s.bad("a number")
	}
	if s.i < len(s.b) && s.b[s.i] == '.' {
		s.i++
		if !digits() {
			return "", s.bad("a number")
		}
	}
	if s.i < len(s.b) && (s.b[s.i] == 'e' || s.b[s.i] == 'E') {
		s.i++
		if s.i < len(s.b) && (s.b[s.i] == '+' || s.b[s.i] == '-') {
			s.i++
		}
		if !digits() {
			return "", s.bad("a number")
		}
	}
	return string(s.b[from:s.i]), nil
}

// object reads an object and calls f at each value.
func (s *scanner) object(f func(name string) error) error {
	if !s.next('{') {
		return s.bad("an object")
	}
	if s.next('}') {
		return nil
	}
	for {
		name, err := s.str()
		if err != nil {
			return err
		}
		if !s.next(':') {
			return s.bad("a colon")
		}
		if err := f(name); err != nil {
			return err
		}
		if s.next('}') {
			return nil
		}
		if !s.next(',') {
			return s.bad("a comma")
		}
	}
}

// skip passes over any value.
func (s *scanner) skip(depth int) error {
	if depth > depthMost {
		return s.bad("less nesting")
	}
	switch c := s.peek(); {
	case c == '"':
		_, err := s.str()
		return err
	case c == '{':
		return s.object(func(string) error { return s.skip(depth + 1) })
	case c == '[':
		s.i++
		if s.next(']') {
			return nil
		}
		for {
			if err := s.skip(depth + 1); err != nil {
				return err
			}
			if s.next(']') {
				return nil
			}
			if !s.next(',') {
				return s.bad("a comma")
			}
		}
	case c == '-' || c >= '0' && c <= '9':
		_, err := s.number()
		return err
	}
	for _, w := range []string{"true", "false", "null"} {
		if len(s.b)-s.i >= len(w) && string(s.b[s.i:s.i+len(w)]) == w {
			s.i += len(w)
			return nil
		}
	}
	return s.bad("a value")
}
