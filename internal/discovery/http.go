package discovery

// This file owns the form of an HTTP answer of the command channel.

import (
	"errors"
	"fmt"
	"strconv"
)

// ErrResponse is wrapped by every error of the parser of responses.
var ErrResponse = errors.New("malformed response")

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
			return r, 0, fmt.Errorf("%w: the head of an answer is too long", ErrResponse)
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
				return r, 0, fmt.Errorf("%w: not a status line: %.40q", ErrResponse, line)
			}
			if r.status, err = strconv.Atoi(line[9:12]); err != nil || r.status < 100 {
				return r, 0, fmt.Errorf("%w: not a status line: %.40q", ErrResponse, line)
			}
			r.keep = line[7] == '1'
			continue
		}
		name, value := header(line)
		switch name {
		case "content-length":
			if length, err = strconv.ParseInt(value, 10, 64); err != nil || length < 0 || length > bodyMost {
				return r, 0, fmt.Errorf("%w: content-length %.40q", ErrResponse, value)
			}
		case "transfer-encoding":
			chunked = lower(value) == "chunked"
			if !chunked {
				return r, 0, fmt.Errorf("%w: transfer-encoding %.40q", ErrResponse, value)
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
	return r, 0, fmt.Errorf("%w: an answer without a length", ErrResponse)
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
				return nil, 0, fmt.Errorf("%w: a chunk's size", ErrResponse)
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
			return nil, 0, fmt.Errorf("%w: a chunk's size", ErrResponse)
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
			return nil, 0, fmt.Errorf("%w: a chunk's end", ErrResponse)
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
			return nil, 0, fmt.Errorf("%w: trailers are too long", ErrResponse)
		case to == len(b):
			return nil, 0, nil
		case to == at || to == at+1 && b[at] == '\r':
			return out, to + 1, nil
		}
		at = to + 1
	}
	return nil, 0, nil
}
