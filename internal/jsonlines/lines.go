package jsonlines

// This file owns the splitting of a byte stream into lines.

import "bytes"

// ForEachLine calls handle with each complete line of b and returns the number of bytes consumed. Each line is passed
// without its line feed and without trailing carriage returns and spaces; lines that are then empty are skipped.
// ForEachLine stops at the first error of handle and returns it; the line that caused it counts as consumed. It returns
// ErrLineTooLong as soon as a line is known to exceed MaxLine bytes, even if the line is still incomplete.
func ForEachLine(b []byte, handle func(line []byte) error) (used int, err error) {
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

// trimEnd removes trailing carriage returns and spaces from a line.
func trimEnd(line []byte) []byte {
	for len(line) > 0 && (line[len(line)-1] == '\r' || line[len(line)-1] == ' ') {
		line = line[:len(line)-1]
	}
	return line
}
