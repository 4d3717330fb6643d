package jsonlines

// This file owns how a stream of bytes is divided into lines.

import "bytes"

// Lines calls handle with each complete line of b, without its end, and returns how many bytes that took. Empty
// lines are skipped. It returns the error of handle, or ErrLineTooLong as soon as a line exceeds MaxLine.
func Lines(b []byte, handle func(line []byte) error) (used int, err error) {
	for used < len(b) {
		rest := b[used:]
		length := bytes.IndexByte(rest[:min(len(rest), MaxLine)], '\n')
		if length < 0 && len(rest) >= MaxLine {
			return used, ErrLineTooLong
		}
		if length < 0 {
			return used, nil
		}
		used += length + 1
		line := trimEnd(rest[:length])
		if len(line) == 0 {
			continue
		}
		if err := handle(line); err != nil {
			return used, err
		}
	}
	return used, nil
}

// trimEnd removes carriage returns and spaces from the end of a line.
func trimEnd(line []byte) []byte {
	for len(line) > 0 && (line[len(line)-1] == '\r' || line[len(line)-1] == ' ') {
		line = line[:len(line)-1]
	}
	return line
}
