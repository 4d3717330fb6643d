package discovery

// This file owns the reading of HTTP/1.1 responses of discovery, which arrive in pieces. The reader has no access to the
// connection, and keeps no part of a body, so that the length of a body has no limit. Invariant: for any input, the reader runs
// in linear time and does not panic.

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// maxHead is the maximum size of the head, and of the trailers of a chunked body, in bytes.
const maxHead = 16 << 10

const (
	headEnd = "\r\n\r\n"
	lineEnd = "\r\n"
)

// responseHandler receives the parts of a final response. An error ends the response.
type responseHandler interface {
	// handleHead is called once, before the body.
	handleHead(h head) error
	// handleBody is called with each piece of the body. It must not keep the piece.
	handleBody(piece []byte) error
}

// responseReader reads the final response to one request, and skips the interim (1xx) responses before it. The zero value is
// ready for use.
type responseReader struct {
	head    head
	hasHead bool
	body    bodyReader // nil before the head has been read
}

// bodyReader reads a body whose end it knows. It passes on the pieces of the body, and returns the number of bytes used and
// whether the body is complete. The caller passes the unused bytes again, with those that follow.
type bodyReader interface {
	read(b []byte, handle func(piece []byte) error) (used int, complete bool, err error)
}

// read reads the next bytes of the response. used is the number of bytes at the start of b that need not be passed to the next
// call. complete is true once the final response is complete; the rest of b does not belong to it.
func (r *responseReader) read(b []byte, handler responseHandler) (used int, complete bool, err error) {
	for !r.hasHead {
		length, err := r.readHead(b[used:])
		if err != nil || length == 0 {
			return used, false, err
		}
		used += length
		if r.head.isInterim() {
			continue
		}
		r.hasHead = true
		if err := handler.handleHead(r.head); err != nil {
			return used, false, err
		}
	}
	length, complete, err := r.body.read(b[used:], handler.handleBody)
	return used + length, complete, err
}

// readHead reads a head at the start of b. It returns the length of the head in bytes, or 0 if the head is incomplete.
func (r *responseReader) readHead(b []byte) (length int, err error) {
	end := bytes.Index(b[:min(len(b), maxHead+len(headEnd)-1)], []byte(headEnd))
	if end < 0 {
		if len(b) >= maxHead {
			return 0, &ResponseError{Part: "head", Reason: "too long"}
		}
		return 0, nil
	}
	if r.head, err = parseHead(b[:end]); err != nil {
		return 0, err
	}
	if r.body, err = r.head.bodyReader(); err != nil {
		return 0, err
	}
	return end + len(headEnd), nil
}

// head holds the information that the reader uses from the status line and the headers of a response.
type head struct {
	status   int
	reusable bool  // the connection may be used for another request
	length   int64 // length of the body in bytes, or noLength
	chunked  bool  // the body uses the chunked transfer coding
	dateUs   int64 // Unix time of the Date header in microseconds, 0 if there is no valid one
}

// noLength is the value of head.length for a response without a content-length header.
const noLength = -1

// isInterim reports whether the response is an interim (1xx) response, which another response to the same request
// follows.
func (h *head) isInterim() bool { return h.status < http.StatusOK }

// hasNoBody reports whether a response of this status never has a body according to HTTP/1.1.
func (h *head) hasNoBody() bool {
	return h.isInterim() || h.status == http.StatusNoContent || h.status == http.StatusNotModified
}

// bodyReader returns the reader of the body that follows the head.
func (h *head) bodyReader() (bodyReader, error) {
	switch {
	case h.chunked:
		return &chunkedReader{}, nil
	case h.length >= 0:
		return &plainReader{left: h.length}, nil
	case h.hasNoBody():
		return &plainReader{}, nil
	}
	return nil, &ResponseError{Part: "head", Reason: "neither content-length nor chunked coding"}
}

// plainReader reads a body of a known length.
type plainReader struct {
	left int64 // bytes that are still to be read
}

// read implements bodyReader.
func (r *plainReader) read(b []byte, handle func(piece []byte) error) (used int, complete bool, err error) {
	piece := b[:min(int64(len(b)), r.left)]
	r.left -= int64(len(piece))
	if len(piece) > 0 {
		err = handle(piece)
	}
	return len(piece), err == nil && r.left == 0, err
}

// parseHead parses the status line and the headers. b must not include the empty line that ends the headers.
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

// cutLine returns the first line of a head and the rest after the line end. A carriage return marks the end of the
// line. The byte after it is taken for the line feed without a check.
func cutLine(b []byte) (line string, rest []byte) {
	end := bytes.IndexByte(b, '\r')
	if end < 0 {
		return string(b), nil
	}
	return string(b[:end]), b[min(len(b), end+len(lineEnd)):]
}

// parseStatusLine parses a status line such as "HTTP/1.1 200 OK".
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

// parseHeader parses one header line. It ignores all headers except those for the connection, the length of the
// body, the transfer coding of the body and the date. It also ignores an invalid date.
func (h *head) parseHeader(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found {
		return nil
	}
	value = strings.Trim(value, " \t")
	switch name = asciiLower(name); name {
	case "content-length":
		length, err := strconv.ParseInt(value, 10, 64)
		if err != nil || length < 0 {
			return &ResponseError{Part: name, Reason: "expected a number of bytes", Value: value}
		}
		h.length = length
	case "transfer-encoding":
		if asciiLower(value) != "chunked" {
			return &ResponseError{Part: name, Reason: "expected chunked", Value: value}
		}
		h.chunked = true
	case "date":
		if date, err := http.ParseTime(value); err == nil {
			h.dateUs = date.UnixMicro()
		}
	case "connection":
		h.reusable = h.reusable && asciiLower(value) != "close"
	}
	return nil
}

// asciiLower returns text with its ASCII upper-case letters in lower case. The names and values of headers that the
// parser compares are ASCII.
func asciiLower(text string) string {
	lower := []byte(text)
	for i, c := range lower {
		if c >= 'A' && c <= 'Z' {
			lower[i] = c + 'a' - 'A'
		}
	}
	return string(lower)
}
