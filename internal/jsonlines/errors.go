package jsonlines

// This file owns the errors of the parsers.

import (
	"errors"
	"fmt"
)

// ErrMessage is wrapped by every error of the parsers.
var ErrMessage = errors.New("malformed message")

// What is wrong with a message that is valid JSON, or may be.
var (
	ErrNoVerb      = fmt.Errorf("%w: no verb", ErrMessage)
	ErrLineTooLong = fmt.Errorf("%w: a line of more than %d bytes", ErrMessage, MaxLine)
)

// SyntaxError is a line that is no valid message. It wraps ErrMessage.
type SyntaxError struct {
	Expected string // what should have come
	Offset   int    // in the line, in bytes
}

// Error implements error.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%v: expected %s at byte %d", ErrMessage, e.Expected, e.Offset)
}

// Unwrap returns ErrMessage.
func (e *SyntaxError) Unwrap() error { return ErrMessage }
