package discovery

// This file owns the form of an HTTP/1.1 response of discovery. Its parser keeps no state
// between calls and has no connection. It must never take more than linear time or panic, whatever
// bytes come.

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

const (
	maxHead = 16 << 10 // bytes, also of the trailers of a chunked body
	maxBody = 2 << 20  // bytes
)

const (
	headEnd = "\r\n\r\n"
	lineEnd = "\r\n"
)

// response is an HTTP response.
type response struct {
	status   int
	body     []byte
	reusable bool // whether the connection may be used again
}

// isInterim reports whether another response follows to the same request.
func (r *response) isInterim() bool { return r.status < http.StatusOK }

// hasNoBody reports whether a response of this status ends with its head, by the protocol.
func (r *response) hasNoBody() bool {
	return r.isInterim() || r.status == http.StatusNoContent || r.status == http.StatusNotModified
}

// parseFinalResponse reads a response from the start of b and passes over interim ones before it. It is
// not complete while bytes are missing; used counts what need not come again even then.
func parseFinalResponse(b []byte) (r response, used int, complete bool, err error) {
	for {
		r, length, err := parseResponse(b[used:])
		if err != nil || length == 0 {
			return response{}, used, false, err
		}
		used += length
		if !r.isInterim() {
			return r, used, true, nil
		}
	}
}

// parseResponse reads a response from the start of b; used is 0 while bytes are missing. The body is part
// of b, unless it came in chunks.
func parseResponse(b []byte) (r response, used int, err error) {
	end := bytes.Index(b[:min(len(b), maxHead+len(headEnd)-1)], []byte(headEnd))
	if end < 0 {
		if len(b) >= maxHead {
			return response{}, 0, &ResponseError{Part: "head", Reason: "too long"}
		}
		return response{}, 0, nil
	}
	h, err := parseHead(b[:end])
	if err != nil {
		return response{}, 0, err
	}
	r = response{status: h.status, reusable: h.reusable}
	bodyAt := end + len(headEnd)
	body, length, complete, err := h.parseBody(&r, b[bodyAt:])
	if err != nil || !complete {
		return response{}, 0, err
	}
	r.body = body
	return r, bodyAt + length, nil
}

// head is what the status line and the headers of a response say.
type head struct {
	status   int
	reusable bool
	length   int  // of the body in bytes, or noLength
	chunked  bool // the body comes in chunks
}

// noLength is the length of a response without the header content-length.
const noLength = -1

// parseHead reads the status line and the headers, without the empty line behind them.
func parseHead(b []byte) (head, error) {
	h := head{length: noLength}
	line, rest := cutLine(b)
	if err := h.parseStatusLine(line); err != nil {
		return head{}, err
	}
	for len(rest) > 0 {
		line, rest = cutLine(rest)
		if err := h.parseHeader(line); err != nil {
			return head{}, err
		}
	}
	return h, nil
}

// cutLine returns the first line of a head, up to a carriage return, and what follows its end.
func cutLine(b []byte) (line string, rest []byte) {
	end := bytes.IndexByte(b, '\r')
	if end < 0 {
		return string(b), nil
	}
	return string(b[:end]), b[min(len(b), end+len(lineEnd)):]
}

// parseStatusLine reads a line such as "HTTP/1.1 200 OK".
func (h *head) parseStatusLine(line string) (err error) {
	const version = "HTTP/1."
	const minorAt, statusAt, statusEnd = len(version), len(version) + 2, len(version) + 5
	if len(line) >= statusEnd && strings.HasPrefix(line, version) && line[minorAt+1] == ' ' {
		h.reusable = line[minorAt] == '1'
		h.status, err = strconv.Atoi(line[statusAt:statusEnd])
	}
	if err != nil || h.status < http.StatusContinue {
		return &ResponseError{Part: "status line", Reason: "expected HTTP/1.x and a status", Value: line}
	}
	return nil
}

// parseHeader reads one header. Those that say nothing of the connection or the body are passed over.
func (h *head) parseHeader(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found {
		return nil
	}
	value = strings.Trim(value, " \t")
	switch name = asciiLower(name); name {
	case "content-length":
		length, err := strconv.ParseInt(value, 10, 64)
		if err != nil || length < 0 || length > maxBody {
			return &ResponseError{Part: name, Reason: "expected a number of bytes within the limit", Value: value}
		}
		h.length = int(length)
	case "transfer-encoding":
		if asciiLower(value) != "chunked" {
			return &ResponseError{Part: name, Reason: "expected chunked", Value: value}
		}
		h.chunked = true
	case "connection":
		h.reusable = h.reusable && asciiLower(value) != "close"
	}
	return nil
}

// parseBody reads the body that follows the head; length counts the bytes that it takes in b.
func (h *head) parseBody(r *response, b []byte) (body []byte, length int, complete bool, err error) {
	switch {
	case h.chunked:
		body, length, err = decodeChunked(b)
		return body, length, length > 0, err
	case h.length >= 0:
		if len(b) < h.length {
			return nil, 0, false, nil
		}
		return b[:h.length], h.length, true, nil
	case r.hasNoBody():
		return nil, 0, true, nil
	}
	return nil, 0, false, &ResponseError{Part: "head", Reason: "no length of the body"}
}

// asciiLower is the text with its ASCII capitals in lower case. Headers know no other letters.
func asciiLower(text string) string {
	lower := []byte(text)
	for i, c := range lower {
		if c >= 'A' && c <= 'Z' {
			lower[i] = c + 'a' - 'A'
		}
	}
	return string(lower)
}
