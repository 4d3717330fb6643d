package discovery

// This file owns the reading of the chunked transfer coding of HTTP/1.1.

import (
	"bytes"
	"strconv"
)

// maxChunkLine is the maximum length of the line that holds the size and the extensions of a chunk, in bytes and
// without the line feed.
const maxChunkLine = 65

// chunkPart is a part of a chunked body.
type chunkPart int

const (
	partSize     chunkPart = iota // the line that precedes the data of a chunk
	partData                      // the data of a chunk
	partDataEnd                   // the line end after the data
	partTrailers                  // the trailers, and the empty line after them
)

// chunkedReader reads a body with the chunked transfer coding. The zero value is ready for use.
type chunkedReader struct {
	part chunkPart
	left int64 // bytes of the present chunk that are still to be read
}

// read implements bodyReader.
func (r *chunkedReader) read(b []byte, handle func(piece []byte) error) (used int, complete bool, err error) {
	for {
		length, complete, err := r.readPart(b[used:], handle)
		used += length
		if err != nil || complete || length == 0 {
			return used, complete, err
		}
	}
}

// readPart reads of the present part what is at the start of b, and returns the number of bytes used. complete is true at the
// end of the body.
func (r *chunkedReader) readPart(b []byte, handle func(piece []byte) error) (used int, complete bool, err error) {
	switch r.part {
	case partSize:
		used, err = r.readSize(b)
	case partData:
		used, err = r.readData(b, handle)
	case partDataEnd:
		used, err = r.readDataEnd(b)
	case partTrailers:
		used, err = skipTrailers(b)
		complete = used > 0
	}
	return used, complete, err
}

func (r *chunkedReader) readSize(b []byte) (used int, err error) {
	size, used, err := parseChunkSize(b)
	if err != nil || used == 0 {
		return 0, err
	}
	r.part, r.left = partData, size
	if size == 0 {
		r.part = partTrailers
	}
	return used, nil
}

func (r *chunkedReader) readData(b []byte, handle func(piece []byte) error) (used int, err error) {
	piece := b[:min(int64(len(b)), r.left)]
	if len(piece) == 0 {
		return 0, nil
	}
	if r.left -= int64(len(piece)); r.left == 0 {
		r.part = partDataEnd
	}
	return len(piece), handle(piece)
}

func (r *chunkedReader) readDataEnd(b []byte) (used int, err error) {
	if len(b) < len(lineEnd) {
		return 0, nil
	}
	if end := string(b[:len(lineEnd)]); end != lineEnd {
		return 0, &ResponseError{Part: "chunk", Reason: "expected a line end after the chunk data", Value: end}
	}
	r.part = partSize
	return len(lineEnd), nil
}

// parseChunkSize parses the line that precedes the data of a chunk. size is the size of the data in bytes. length is
// the length of the line with its line feed in bytes, or 0 if the line is incomplete.
func parseChunkSize(b []byte) (size int64, length int, err error) {
	end := bytes.IndexByte(b[:min(len(b), maxChunkLine+1)], '\n')
	if end < 0 {
		if len(b) > maxChunkLine {
			return 0, 0, &ResponseError{Part: "chunk size", Reason: "line too long"}
		}
		return 0, 0, nil
	}
	digits := b[:end]
	if sizeEnd := bytes.IndexAny(digits, "\r; "); sizeEnd >= 0 {
		digits = digits[:sizeEnd]
	}
	n, err := strconv.ParseUint(string(digits), 16, 63)
	if err != nil {
		return 0, 0, &ResponseError{Part: "chunk size", Reason: "expected a hexadecimal number", Value: string(digits)}
	}
	return int64(n), end + 1, nil
}

// skipTrailers returns the length in bytes of the optional trailer headers after the last chunk, including the empty
// line that ends them, or 0 if they are incomplete.
func skipTrailers(b []byte) (length int, err error) {
	for offset := 0; offset < len(b); {
		end := bytes.IndexByte(b[offset:], '\n')
		incomplete := end < 0
		if incomplete {
			end = len(b) - offset
		}
		line := b[offset : offset+end]
		offset += end
		switch {
		case offset > maxHead:
			return 0, &ResponseError{Part: "trailers", Reason: "too long"}
		case incomplete:
			return 0, nil
		case len(line) == 0 || string(line) == "\r":
			return offset + 1, nil
		}
		offset++
	}
	return 0, nil
}
