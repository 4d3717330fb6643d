package jsonlines

// This file owns the errors that ForEachLine and Parse return.

import (
	"errors"
	"fmt"
)

// ErrMessage is wrapped by every error of this package.
var ErrMessage = errors.New("malformed message")

// Errors that do not concern the JSON syntax: the JSON of a message without a verb is valid, and
// a line that is too long is not parsed.
var (
	ErrNoVerb      = fmt.Errorf("%w: no verb", ErrMessage)
	ErrLineTooLong = fmt.Errorf("%w: line exceeds %d bytes", ErrMessage, MaxLine)
)

// SyntaxError is returned for a line that violates the syntax of a message. It wraps ErrMessage.
type SyntaxError struct {
	Expected string // description of the expected element
	Offset   int    // position in the line at which the error was found, in bytes from 0
}

// Error implements the error interface.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%v: expected %s at byte %d", ErrMessage, e.Expected, e.Offset)
}

// Unwrap returns ErrMessage.
func (e *SyntaxError) Unwrap() error { return ErrMessage }
