package metrics

// This file owns the protocols of Graphite and collectd. It formats samples and reads confirmations. It must never
// store a connection.

import (
	"bufio"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Protocol formats samples for a receiver and reads its confirmations.
type Protocol interface {
	// Append appends the text of a sample to dst.
	Append(dst []byte, s Sample) []byte
	// Confirm reads the receiver's confirmation of a sample, if the protocol has confirmations. It
	// returns an error if the receiver rejected the sample or the confirmation cannot be read.
	Confirm(r *bufio.Reader, s Sample) error
}

// sanitize makes a name safe in both protocols: it replaces each character that is not an ASCII
// letter, a digit, '_' or '-' with '_'.
func sanitize(name string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_', r == '-':
			return r
		}
		return '_'
	}, name)
}

// formatValue formats a value in the shortest decimal form without an exponent.
func formatValue(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }

// Graphite is Graphite's plaintext protocol. It sends a line "path value timestamp" for each
// figure. The receiver sends no confirmation.
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

// Collectd is collectd's plain text protocol. It sends a PUTVAL command for each figure. The
// receiver answers each command with a status line that begins with a number. A negative number
// means that the value was rejected. Any other number is the count of lines that follow the
// status line.
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

// Confirm implements Protocol. If collectd rejected values, it returns a *RejectedError with the
// reason of the last rejection, or nil if collectd gave no reason for it. If an answer does not
// begin with a status line, it returns a *StatusLineError.
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

// StatusLineError reports an answer of collectd that is not a status line.
type StatusLineError struct{ Line string }

// Error implements error.
func (e *StatusLineError) Error() string {
	return fmt.Sprintf("metrics: expected a status line of collectd, got %.60q", e.Line)
}

// RejectedError reports that collectd rejected a value. Text is collectd's reason.
type RejectedError struct{ Text string }

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("metrics: collectd rejected a value: %.60q", e.Text)
}
