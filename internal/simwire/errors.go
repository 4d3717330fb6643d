package simwire

// This file contains the errors of the package. Command simadapter prints their texts on standard error. Command
// ravenhitch reports the text of a SettingError to operators if its configuration has an invalid setting.

import "fmt"

// SyntaxError reports where the input is malformed or cannot be read.
type SyntaxError struct {
	Batch string // sequence number of the last batch whose first line was valid, "-" before the first batch
	Line  int    // line number, starting at 1
	Err   error
}

// Error implements error.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("batch %s, line %d: %v", e.Batch, e.Line, e.Err)
}

// Unwrap returns the error that caused the SyntaxError.
func (e *SyntaxError) Unwrap() error { return e.Err }

// SettingError reports an invalid setting.
type SettingError struct {
	Key       string // path of the setting, "" if there is none
	Want, Got string // description of a valid value, and the actual value
}

// Error implements error.
func (e *SettingError) Error() string {
	text := "bad setting: "
	if e.Key != "" {
		text += e.Key + ": "
	}
	return text + fmt.Sprintf("expected %s, got %.40q", e.Want, e.Got)
}
