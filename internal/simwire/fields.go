package simwire

// This file owns the fields of a line, which are separated by single spaces; "-" is an
// absent one. It must never fail at once: it keeps the first error until end.

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// fields reads the fields of a line in order.
type fields struct {
	parts []string
	read  int // how many were read
	err   error
}

// newFields returns the fields of a line.
func newFields(line string) *fields { return &fields{parts: strings.Split(line, " ")} }

// fail keeps an error, unless there is one.
func (f *fields) fail(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

// next returns the next field, "" if it is absent.
func (f *fields) next() string {
	if f.read >= len(f.parts) {
		f.fail("expected more than %d parts", len(f.parts))
		return ""
	}
	part := f.parts[f.read]
	f.read++
	if part == "-" {
		return ""
	}
	return part
}

// text returns the next field, which must not be absent.
func (f *fields) text(name string) string {
	part := f.next()
	if part == "" {
		f.fail("expected %s", name)
	}
	return part
}

// int returns the next field as a whole number, 0 if it is absent.
func (f *fields) int(name string) int64 {
	part := f.next()
	if part == "" {
		return 0
	}
	number, err := strconv.ParseInt(part, 10, 64)
	if err != nil {
		f.fail("expected a whole number for %s, got %.40q", name, part)
	}
	return number
}

// uint returns the next field, a whole number, as the unsigned one of the same bits.
func (f *fields) uint(name string) uint64 { return uint64(f.int(name)) }

// float returns the next field as a finite number, 0 if it is absent.
func (f *fields) float(name string) float64 {
	part := f.next()
	if part == "" {
		return 0
	}
	number, err := strconv.ParseFloat(part, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		f.fail("expected a number for %s, got %.40q", name, part)
	}
	return number
}

// rest returns all remaining fields.
func (f *fields) rest() []string {
	rest := f.parts[f.read:]
	f.read = len(f.parts)
	return rest
}

// end returns the first error, or one if fields remain.
func (f *fields) end() error {
	if f.err == nil && f.read != len(f.parts) {
		return fmt.Errorf("expected %d parts, got %d", f.read, len(f.parts))
	}
	return f.err
}
