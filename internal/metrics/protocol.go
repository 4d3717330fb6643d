package metrics

// This file owns the two protocols: the text of a sample, and the reading of a
// confirmation. It must never hold a connection.

import (
	"bufio"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Protocol is the form in which samples are sent.
type Protocol interface {
	// Append appends the text of a sample.
	Append(dst []byte, s Sample) []byte
	// Confirm reads the receiver's answer to a sample, if the protocol has one.
	Confirm(r *bufio.Reader, s Sample) error
}

// sanitize makes a name safe in both protocols.
func sanitize(name string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_', r == '-':
			return r
		}
		return '_'
	}, name)
}

// formatValue returns a value in the shortest decimal form without an exponent.
func formatValue(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }

// Graphite is the plaintext protocol: a line "path value timestamp" for each figure, and
// no answer.
type Graphite struct{ Prefix, Name string }

// Append implements Protocol.
func (g Graphite) Append(dst []byte, s Sample) []byte {
	for _, figure := range s.Figures {
		dst = fmt.Appendf(dst, "%s.%s.%s %s %d\n",
			g.Prefix, sanitize(g.Name), sanitize(figure.Name), formatValue(figure.Value), s.At.Unix())
	}
	return dst
}

// Confirm implements Protocol.
func (Graphite) Confirm(*bufio.Reader, Sample) error { return nil }

// Collectd is the plain text protocol: a PUTVAL for each figure, and a status line in
// answer to each, whose number is below 0 if the value was rejected, and else how many
// lines follow it.
type Collectd struct {
	Prefix, Name string
	Interval     time.Duration
}

// Append implements Protocol.
func (c Collectd) Append(dst []byte, s Sample) []byte {
	for _, figure := range s.Figures {
		valueType := "gauge"
		if figure.Counter {
			valueType = "derive"
		}
		dst = fmt.Appendf(dst, "PUTVAL \"%s/%s/%s-%s\" interval=%s %d:%s\n",
			sanitize(c.Name), c.Prefix, valueType, sanitize(figure.Name),
			formatValue(c.Interval.Seconds()), s.At.Unix(), formatValue(figure.Value))
	}
	return dst
}

// Confirm implements Protocol. It returns a *RejectedError if a value was rejected, and a
// *StatusLineError if the answer is no status line.
func (c Collectd) Confirm(r *bufio.Reader, s Sample) error {
	var rejection string
	for range s.Figures {
		status, text, err := readStatus(r)
		if err != nil {
			return err
		}
		if status < 0 {
			rejection = text
		}
	}
	if rejection != "" {
		return &RejectedError{Text: rejection}
	}
	return nil
}

// readStatus reads a status line and the lines that follow it.
func readStatus(r *bufio.Reader) (status int, text string, err error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, "", err
	}
	number, text, _ := strings.Cut(strings.TrimSpace(line), " ")
	status, err = strconv.Atoi(number)
	if err != nil {
		return 0, "", &StatusLineError{Line: line}
	}
	for range status {
		if _, err := r.ReadString('\n'); err != nil {
			return 0, "", err
		}
	}
	return status, text, nil
}

// StatusLineError is an answer of collectd that is no status line.
type StatusLineError struct{ Line string }

// Error implements error.
func (e *StatusLineError) Error() string {
	return fmt.Sprintf("metrics: not a status line: %.60q", e.Line)
}

// RejectedError says that collectd rejected a value, and why.
type RejectedError struct{ Text string }

// Error implements error.
func (e *RejectedError) Error() string { return fmt.Sprintf("metrics: not taken: %.60q", e.Text) }
