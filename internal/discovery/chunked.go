package discovery

// This file owns the decoding of the chunked transfer coding of HTTP/1.1.

import (
	"bytes"
	"strconv"
)

// maxChunkLine is the maximum length of the line that holds the size and the extensions of a chunk, in bytes and
// without the line feed.
const maxChunkLine = 65

// decodeChunked decodes a chunked body at the start of b. used is the number of bytes that the encoded body takes in
// b, or 0 if it is incomplete.
func decodeChunked(b []byte) (body []byte, used int, err error) {
	for offset := 0; ; {
		size, lineLength, err := parseChunkSize(b[offset:])
		if err != nil || lineLength == 0 {
			return nil, 0, err
		}
		if len(body)+size > maxBody {
			return nil, 0, &ResponseError{Part: "chunked body", Reason: "too long"}
		}
		offset += lineLength
		if size == 0 {
			length, err := skipTrailers(b[offset:])
			if err != nil || length == 0 {
				return nil, 0, err
			}
			return body, offset + length, nil
		}
		end := offset + size
		if len(b) < end+len(lineEnd) {
			return nil, 0, nil
		}
		if string(b[end:end+len(lineEnd)]) != lineEnd {
			return nil, 0, &ResponseError{Part: "chunk", Reason: "expected a line end after the chunk data",
				Value: string(b[end : end+len(lineEnd)])}
		}
		body = append(body, b[offset:end]...)
		offset = end + len(lineEnd)
	}
}

// parseChunkSize parses the line that precedes the data of a chunk. size is the size of the data in bytes. length is
// the length of the line with its line feed in bytes, or 0 if the line is incomplete.
func parseChunkSize(b []byte) (size, length int, err error) {
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
	n, err := strconv.ParseUint(string(digits), 16, 31)
	if err != nil || n > maxBody {
		return 0, 0, &ResponseError{Part: "chunk size", Reason: "expected a hexadecimal number within the limit",
			Value: string(digits)}
	}
	return int(n), end + 1, nil
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
