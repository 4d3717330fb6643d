package discovery

// This file owns the chunked transfer coding of HTTP/1.1.

import (
	"bytes"
	"strconv"
)

// maxChunkLine bounds the line with a chunk's size and its extensions, in bytes without the line feed.
const maxChunkLine = 65

// decodeChunked joins the chunks of a body; used is 0 while bytes are missing.
func decodeChunked(b []byte) (body []byte, used int, err error) {
	for at := 0; ; {
		size, lineLength, err := parseChunkSize(b[at:])
		if err != nil || lineLength == 0 {
			return nil, 0, err
		}
		if len(body)+size > maxBody {
			return nil, 0, &ResponseError{Part: "chunked body", Reason: "too long"}
		}
		at += lineLength
		if size == 0 {
			length, err := skipTrailers(b[at:])
			if err != nil || length == 0 {
				return nil, 0, err
			}
			return body, at + length, nil
		}
		end := at + size
		if len(b) < end+len(lineEnd) {
			return nil, 0, nil
		}
		if string(b[end:end+len(lineEnd)]) != lineEnd {
			return nil, 0, &ResponseError{Part: "chunk", Reason: "expected a line end behind it",
				Value: string(b[end : end+len(lineEnd)])}
		}
		body = append(body, b[at:end]...)
		at = end + len(lineEnd)
	}
}

// parseChunkSize reads the line before a chunk; length is that of the line with its end, 0 while bytes
// are missing.
func parseChunkSize(b []byte) (size, length int, err error) {
	end := bytes.IndexByte(b[:min(len(b), maxChunkLine+1)], '\n')
	if end < 0 {
		if len(b) > maxChunkLine {
			return 0, 0, &ResponseError{Part: "chunk size", Reason: "line too long"}
		}
		return 0, 0, nil
	}
	digits := b[:end]
	if to := bytes.IndexAny(digits, "\r; "); to >= 0 {
		digits = digits[:to]
	}
	n, err := strconv.ParseUint(string(digits), 16, 31)
	if err != nil || n > maxBody {
		return 0, 0, &ResponseError{Part: "chunk size", Reason: "expected a hex number within the limit",
			Value: string(digits)}
	}
	return int(n), end + 1, nil
}

// skipTrailers passes over the headers that may follow the last chunk, and the empty line behind them;
// length counts their bytes, 0 while some are missing.
func skipTrailers(b []byte) (length int, err error) {
	for at := 0; at < len(b); {
		end := bytes.IndexByte(b[at:], '\n')
		missing := end < 0
		if missing {
			end = len(b) - at
		}
		line := b[at : at+end]
		at += end
		switch {
		case at > maxHead:
			return 0, &ResponseError{Part: "trailers", Reason: "too long"}
		case missing:
			return 0, nil
		case len(line) == 0 || string(line) == "\r":
			return at + 1, nil
		}
		at++
	}
	return 0, nil
}
