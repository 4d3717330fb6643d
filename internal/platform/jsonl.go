// Package platform speaks the platform's protocol: JSON lines with owners and
// minions, HTTP/1.1 with the command channel. This file owns the form of a
// message and of an HTTP answer. Its parsers keep no state between messages,
// hold no socket, and must never panic or take more than linear time, whatever
// bytes they are given.
package platform

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// lineMost is the longest message, its line feed included.
const lineMost = 16 << 10

// depthMost bounds how deep a value that is skipped may be nested.
const depthMost = 32

// ErrMessage is wrapped by every error of the parsers.
var ErrMessage = errors.New("malformed message")

// The words of the protocol.
const (
	verbStart    = "START"
	verbPending  = "PENDING"
	verbStarted  = "STARTED"
	verbFinish   = "FINISH"
	verbFinished = "FINISHED"
	verbEcho     = "ECHO"
	verbEchoed   = "ECHOED"
	verbNotice   = "NOTICE"
	verbMove     = "MOVE"
)

// Field is one entry of a message's fields; a number is kept as it was written.
type Field struct{ Name, Value string }

// Message is one line. Strings hold what the JSON strings stood for; half of a
// surrogate pair, which no UTF-8 stands for, is kept in three bytes so that it
// goes out as it came in.
type Message struct {
	Verb, Tag string
	Opts      []Field
	RC        int
	HasRC     bool
	Blob      string
	HasBlob   bool
}

// Opt returns a field, "" where it is absent.
func (m *Message) Opt(name string) string {
	for _, f := range m.Opts {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

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

// Parse reads one line, without its line feed.
func Parse(line []byte) (Message, error) {
	var m Message
	s := &scanner{b: line}
	err := s.object(func(name string) (err error) {
		switch name {
		case "verb":
			m.Verb, err = s.str()
		case "tag":
			m.Tag, err = s.str()
		case "blob":
			if s.peek() != '"' {
				return s.skip(0)
			}
			m.HasBlob = true
			m.Blob, err = s.str()
		case "rc":
			if s.peek() == 'n' {
				return s.skip(0)
			}
			var text string
			if text, err = s.number(); err == nil {
				if m.RC, err = strconv.Atoi(text); err != nil {
					return s.bad("a whole number as rc")
				}
				m.HasRC = true
			}
		case "opts":
			if s.peek() == 'n' {
				return s.skip(0)
			}
			m.Opts = m.Opts[:0]
			err = s.object(func(name string) error {
				var v string
				var err error
				switch c := s.peek(); {
				case c == '"':
					v, err = s.str()
				case c == '-' || c >= '0' && c <= '9':
					v, err = s.number()
				default:
					return s.skip(0)
				}
				m.Opts = append(m.Opts, Field{name, v})
				return err
			})
		default:
			err = s.skip(0)
		}
		return err
	})
	if err != nil {
		return Message{}, err
	}
	if s.space(); s.i != len(line) {
		return Message{}, s.bad("the end of the line")
	}
	if m.Verb == "" {
		return Message{}, fmt.Errorf("%w: no verb", ErrMessage)
	}
	return m, nil
}

// appendString writes v as a JSON string.
func appendString(dst []byte, v string) []byte {
	const hex = "0123456789abcdef"
	dst = append(dst, '"')
	for i := 0; i < len(v); i++ {
		switch c := v[i]; {
		case c == '"' || c == '\\':
			dst = append(dst, '\\', c)
		case c == '\n':
			dst = append(dst, '\\', 'n')
		case c == '\r':
			dst = append(dst, '\\', 'r')
		case c == '\t':
			dst = append(dst, '\\', 't')
		case c == '\b':
			dst = append(dst, '\\', 'b')
		case c == '\f':
			dst = append(dst, '\\', 'f')
		case c < ' ':
			dst = append(dst, '\\', 'u', '0', '0', hex[c>>4], hex[c&15])
		case c == 0xed && i+2 < len(v) && v[i+1] >= 0xa0:
			r := 0xd000 | int(v[i+1]&0x3f)<<6 | int(v[i+2]&0x3f)
			dst = append(dst, '\\', 'u', hex[r>>12], hex[r>>8&15], hex[r>>4&15], hex[r&15])
			i += 2
		default:
			dst = append(dst, c)
		}
	}
	return append(dst, '"')
}

// Append writes m as a line.
func Append(dst []byte, m *Message) []byte {
	dst = append(dst, `{"verb":`...)
	dst = appendString(dst, m.Verb)
	dst = append(dst, `,"tag":`...)
	dst = appendString(dst, m.Tag)
	dst = append(dst, `,"opts":{`...)
	for i, f := range m.Opts {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = appendString(dst, f.Name)
		dst = append(dst, ':')
		dst = appendString(dst, f.Value)
	}
	dst = append(dst, '}')
	if m.HasRC {
		dst = append(dst, `,"rc":`...)
		dst = strconv.AppendInt(dst, int64(m.RC), 10)
	}
	if m.HasBlob {
		dst = append(dst, `,"blob":`...)
		dst = appendString(dst, m.Blob)
	}
	return append(dst, '}', '\n')
}

// lines calls f with each whole line of b and returns how many bytes that took.
func lines(b []byte, f func(line []byte) error) (used int, err error) {
	for used < len(b) {
		rest := b[used:]
		n := bytes.IndexByte(rest[:min(len(rest), lineMost)], '\n')
		if n < 0 {
			if len(rest) >= lineMost {
				return used, fmt.Errorf("%w: a line of more than %d bytes", ErrMessage, lineMost)
			}
			return used, nil
		}
		used += n + 1
		line := rest[:n]
		for len(line) > 0 && (line[len(line)-1] == '\r' || line[len(line)-1] == ' ') {
			line = line[:len(line)-1]
		}
		if len(line) == 0 {
			continue
		}
		if err := f(line); err != nil {
			return used, err
		}
	}
	return used, nil
}

// response is an HTTP answer.
type response struct {
	status int
	body   []byte
	keep   bool // the connection may be used again
}

const (
	headMost = 16 << 10
	bodyMost = 2 << 20
)

// parseResponse reads an HTTP/1.1 answer from the start of b. used is 0 where it
// is not whole yet.
func parseResponse(b []byte) (r response, used int, err error) {
	end := -1
	for i := 0; i+3 < len(b) && i < headMost; i++ {
		if b[i] == '\r' && b[i+1] == '\n' && b[i+2] == '\r' && b[i+3] == '\n' {
			end = i
			break
		}
	}
	if end < 0 {
		if len(b) >= headMost {
			return r, 0, fmt.Errorf("%w: the head of an answer is too long", ErrMessage)
		}
		return r, 0, nil
	}
	length, chunked, first := int64(-1), false, true
	for at := 0; at < end; {
		to := at
		for to < end && b[to] != '\r' {
			to++
		}
		line := string(b[at:to])
		at = to + 2
		if first {
			first = false
			if len(line) < 12 || line[:7] != "HTTP/1." || line[8] != ' ' {
				return r, 0, fmt.Errorf("%w: not a status line: %.40q", ErrMessage, line)
			}
			if r.status, err = strconv.Atoi(line[9:12]); err != nil || r.status < 100 {
				return r, 0, fmt.Errorf("%w: not a status line: %.40q", ErrMessage, line)
			}
			r.keep = line[7] == '1'
			continue
		}
		name, value := header(line)
		switch name {
		case "content-length":
			if length, err = strconv.ParseInt(value, 10, 64); err != nil || length < 0 || length > bodyMost {
				return r, 0, fmt.Errorf("%w: content-length %.40q", ErrMessage, value)
			}
		case "transfer-encoding":
			chunked = lower(value) == "chunked"
			if !chunked {
				return r, 0, fmt.Errorf("%w: transfer-encoding %.40q", ErrMessage, value)
			}
		case "connection":
			r.keep = r.keep && lower(value) != "close"
		}
	}
	body := b[end+4:]
	switch {
	case chunked:
		out, n, err := chunks(body)
		if err != nil || n == 0 {
			return r, 0, err
		}
		r.body = out
		return r, end + 4 + n, nil
	case length >= 0:
		if int64(len(body)) < length {
			return r, 0, nil
		}
		r.body = body[:length]
		return r, end + 4 + int(length), nil
	case r.status == 204 || r.status == 304 || r.status < 200:
		return r, end + 4, nil
	}
	return r, 0, fmt.Errorf("%w: an answer without a length", ErrMessage)
}

func header(line string) (name, value string) {
	for i := 0; i < len(line); i++ {
		if line[i] == ':' {
			value = line[i+1:]
			for len(value) > 0 && (value[0] == ' ' || value[0] == '\t') {
				value = value[1:]
			}
			for len(value) > 0 && (value[len(value)-1] == ' ' || value[len(value)-1] == '\t') {
				value = value[:len(value)-1]
			}
			return lower(line[:i]), value
		}
	}
	return "", ""
}

func lower(s string) string {
	b := []byte(s)
	for i, c := range b {
		if c >= 'A' && c <= 'Z' {
			b[i] = c + 'a' - 'A'
		}
	}
	return string(b)
}

// chunks joins the chunks of a body. used is 0 where the last is not there yet.
func chunks(b []byte) (out []byte, used int, err error) {
	for at := 0; ; {
		to := at
		for to < len(b) && b[to] != '\n' {
			if to-at > 64 {
				return nil, 0, fmt.Errorf("%w: a chunk's size", ErrMessage)
			}
			to++
		}
		if to >= len(b) {
			return nil, 0, nil
		}
		digits := at
		for digits < to && b[digits] != '\r' && b[digits] != ';' && b[digits] != ' ' {
			digits++
		}
		n, err := strconv.ParseUint(string(b[at:digits]), 16, 31)
		if err != nil || n > bodyMost || len(out)+int(n) > bodyMost {
			return nil, 0, fmt.Errorf("%w: a chunk's size", ErrMessage)
		}
		at = to + 1
		if n == 0 {
			return trailers(b, at, out)
		}
		if len(b) < at+int(n)+2 {
			return nil, 0, nil
		}
		out = append(out, b[at:at+int(n)]...)
		at += int(n)
		if b[at] != '\r' || b[at+1] != '\n' {
			return nil, 0, fmt.Errorf("%w: a chunk's end", ErrMessage)
		}
		at += 2
	}
}

// trailers passes over what may follow the last chunk, up to an empty line.
func trailers(b []byte, at int, out []byte) ([]byte, int, error) {
	for from := at; at < len(b); {
		to := at
		for to < len(b) && b[to] != '\n' {
			to++
		}
		switch {
		case to-from > headMost:
			return nil, 0, fmt.Errorf("%w: trailers are too long", ErrMessage)
		case to == len(b):
			return nil, 0, nil
		case to == at || to == at+1 && b[at] == '\r':
			return out, to + 1, nil
		}
		at = to + 1
	}
	return nil, 0, nil
}
