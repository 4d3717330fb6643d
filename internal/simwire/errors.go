package simwire

// This file owns the errors of the package. Their texts go back to the simulator.

import "fmt"

// SyntaxError tells where the input departs from the wire.
type SyntaxError struct {
	Batch string // its sequence, "-" before the first
	Line  int    // from 1
	Err   error
}

// Error implements error.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("batch %s, line %d: %v", e.Batch, e.Line, e.Err)
}

// Unwrap returns the cause.
func (e *SyntaxError) Unwrap() error { return e.Err }

// SettingError is an invalid setting.
type SettingError struct {
	Key       string // its path, "" if there is none
	Want, Got string
}

// Error implements error.
func (e *SettingError) Error() string {
	text := "bad setting: "
	if e.Key != "" {
		text += e.Key + ": "
	}
	return text + fmt.Sprintf("expected %s, got %.40q", e.Want, e.Got)
}
