package clientfront

// This file owns the errors for invalid client messages.

import (
	"fmt"

	"ravenhitch/internal/jsonlines"
)

// fieldError is the error for a message with an invalid or missing field. It wraps jsonlines.ErrMessage.
type fieldError struct {
	Field string // name of the field on the wire, or its name in a dispatch.ValidationError
	Value string // received value; empty if the field was absent or failed the dispatcher's validation
	Want  string // description of the expected value
}

// Error implements the error interface. It truncates the received value to 40 characters.
func (e *fieldError) Error() string {
	if e.Value == "" {
		return fmt.Sprintf("%v: %s: expected %s", jsonlines.ErrMessage, e.Field, e.Want)
	}
	return fmt.Sprintf("%v: %s: expected %s, got %.40q", jsonlines.ErrMessage, e.Field, e.Want, e.Value)
}

// Unwrap returns jsonlines.ErrMessage.
func (e *fieldError) Unwrap() error { return jsonlines.ErrMessage }
