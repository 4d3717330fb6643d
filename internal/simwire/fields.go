package simwire

// This file reads the fields of a line. Fields are separated by single spaces, and "-" stands for an absent field. The
// first error is stored, and fields.end returns it.

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// fields reads the fields of a line in order.
type fields struct {
	parts []string
	read  int   // number of fields read so far
	err   error // first error
}

// newFields splits a line into its fields.
func newFields(line string) *fields { return &fields{parts: strings.Split(line, " ")} }

// fail stores an error, unless one is stored already.
func (f *fields) fail(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

// next returns the next field, or "" if it is absent. If no field is left, it stores an error.
func (f *fields) next() string {
	if f.read >= len(f.parts) {
		f.fail("expected more than %d fields", len(f.parts))
		return ""
	}
	part := f.parts[f.read]
	f.read++
	if part == "-" {
		return ""
	}
	return part
}

// required returns the next field. It stores an error if the field is absent or empty.
func (f *fields) required(name string) string {
	part := f.next()
	if part == "" {
		f.fail("expected %s", name)
	}
	return part
}

// int returns the next field as a whole number, or 0 if it is absent. It stores an error if the field is not a whole
// number.
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

// uint returns the next field as an unsigned integer. On the wire, the field is a signed integer; uint returns
// the unsigned integer with the same bits.
func (f *fields) uint(name string) uint64 { return uint64(f.int(name)) }

// float returns the next field as a number, or 0 if it is absent. It stores an error if the field is not a finite
// number.
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

// end returns the first stored error. If there is none, it returns an error if unread fields remain.
func (f *fields) end() error {
	if f.err == nil && f.read != len(f.parts) {
		return fmt.Errorf("expected %d fields, got %d", f.read, len(f.parts))
	}
	return f.err
}
