package config

// This file owns the error types of the package. Their texts are shown to operators.

import (
	"errors"
	"fmt"
)

// ErrConfig is wrapped by every error of this package about the configuration file, a list of workers or
// the operators' file.
var ErrConfig = errors.New("configuration")

// ErrLineFile is wrapped by every error about the content of a line-based file. The line-based files are
// the operators' file and the file of retry token keys. Errors about the operators' file also wrap
// ErrConfig.
var ErrLineFile = errors.New("invalid line-based file")

// PositionError reports invalid or missing text at a position in a line-based file. It wraps
// ErrLineFile.
type PositionError struct {
	File         string
	Line, Column int    // line and column, counted from 1; the column counts bytes
	Want, Got    string // Want describes the expected text; Got is the received text, "" if the error quotes none
}

// Error implements error.
func (e *PositionError) Error() string {
	text := fmt.Sprintf("%s:%d:%d: expected %s", e.File, e.Line, e.Column, e.Want)
	if e.Got != "" {
		text += fmt.Sprintf(", got %.60q", e.Got)
	}
	return text
}

// Unwrap returns ErrLineFile.
func (e *PositionError) Unwrap() error { return ErrLineFile }

// SectionError reports a section of the operators' file whose combination of directives is invalid, such
// as a certificate without a key. It wraps ErrLineFile.
type SectionError struct{ File, Section, Want string }

// Error implements error.
func (e *SectionError) Error() string {
	return fmt.Sprintf("%s: [%s]: expected %s", e.File, e.Section, e.Want)
}

// Unwrap returns ErrLineFile.
func (e *SectionError) Unwrap() error { return ErrLineFile }

// FieldError reports an invalid field of the configuration. It wraps ErrConfig.
type FieldError struct {
	Field string // path of the field, such as settings.Limits.DialTimeoutUs
	Want  string
	Got   string // received value in quotes, or "" if Want alone describes the error
}

// Error implements error.
func (e *FieldError) Error() string {
	text := fmt.Sprintf("%s: %s: expected %s", ErrConfig, e.Field, e.Want)
	if e.Got != "" {
		text += ", got " + e.Got
	}
	return text
}

// Unwrap returns ErrConfig.
func (e *FieldError) Unwrap() error { return ErrConfig }

// WorkerError reports an invalid worker in a list of workers. It wraps ErrConfig.
type WorkerError struct{ Name, Problem string }

// Error implements error.
func (e *WorkerError) Error() string {
	return fmt.Sprintf("%s: member %.40q: %s", ErrConfig, e.Name, e.Problem)
}

// Unwrap returns ErrConfig.
func (e *WorkerError) Unwrap() error { return ErrConfig }
