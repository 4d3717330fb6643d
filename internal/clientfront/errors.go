package clientfront

// This file owns the errors of messages from clients.

import (
	"fmt"

	"ravenhitch/internal/jsonlines"
)

// fieldError is the error of a message with an invalid field. It wraps jsonlines.ErrMessage.
type fieldError struct {
	Field string // its name on the wire
	Value string // what came, empty where nothing did or the dispatcher's check failed
	Want  string // what was expected
}

// Error implements error. Of a long value it prints the beginning.
func (e *fieldError) Error() string {
	if e.Value == "" {
		return fmt.Sprintf("%v: %s: expected %s", jsonlines.ErrMessage, e.Field, e.Want)
	}
	return fmt.Sprintf("%v: %s: expected %s, got %.40q", jsonlines.ErrMessage, e.Field, e.Want, e.Value)
}

// Unwrap returns jsonlines.ErrMessage.
func (e *fieldError) Unwrap() error { return jsonlines.ErrMessage }
