package config

// This file owns the errors of the package. Their texts are shown to operators.

import (
	"errors"
	"fmt"
)

// ErrConfig is wrapped by every error about the configuration and the operators' file.
var ErrConfig = errors.New("configuration")

// ErrLineFile is wrapped by every error about a line-based file: the operators' file, whose
// errors wrap ErrConfig too, and the file of keys of retry tokens.
var ErrLineFile = errors.New("settings")

// PositionError is what is wrong at a place in a line-based file. It wraps ErrLineFile.
type PositionError struct {
	File         string
	Line, Column int    // from 1
	Want, Got    string // Got is "" if there is nothing
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

// SectionError is what is wrong with a section of the operators' file as a whole.
type SectionError struct{ File, Section, Want string }

// Error implements error.
func (e *SectionError) Error() string {
	return fmt.Sprintf("%s: [%s]: expected %s", e.File, e.Section, e.Want)
}

// Unwrap returns ErrLineFile.
func (e *SectionError) Unwrap() error { return ErrLineFile }

// FieldError is what is wrong with a field of the configuration. It wraps ErrConfig.
type FieldError struct {
	Field string // its path, as settings.Limits.DialTimeoutUs
	Want  string
	Got   string // quoted, "" if Want says it all
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

// WorkerError is what is wrong with one worker of a list. It wraps ErrConfig.
type WorkerError struct{ Name, Problem string }

// Error implements error.
func (e *WorkerError) Error() string {
	return fmt.Sprintf("%s: member %.40q: %s", ErrConfig, e.Name, e.Problem)
}

// Unwrap returns ErrConfig.
func (e *WorkerError) Unwrap() error { return ErrConfig }
