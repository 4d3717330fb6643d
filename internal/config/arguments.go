package config

// This file owns the conversion of a directive's arguments to typed values within bounds.
// Each error is a *PositionError at the invalid argument, or at the directive's name if an
// argument is missing.

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// requireArgs returns an error unless the directive has exactly count arguments. want describes the
// expected arguments in the error text.
func (d Directive) requireArgs(count int, want string) error {
	if len(d.Args) > count {
		return d.Args[count].Expected("nothing after " + want)
	}
	if len(d.Args) < count {
		return &PositionError{
			File:   d.Name.File,
			Line:   d.Name.Line,
			Column: d.Name.Column,
			Want:   d.Name.Text + " followed by " + want,
		}
	}
	return nil
}

// Word returns the directive's only argument, which want describes in error texts.
func (d Directive) Word(want string) (string, error) {
	if err := d.requireArgs(1, want); err != nil {
		return "", err
	}
	return d.Args[0].Text, nil
}

// OneOf returns the directive's only argument, which must be one of the given words.
func (d Directive) OneOf(words ...string) (string, error) {
	want := strings.Join(words, " or ")
	word, err := d.Word(want)
	if err != nil {
		return "", err
	}
	if !slices.Contains(words, word) {
		return "", d.Args[0].Expected(want)
	}
	return word, nil
}

// Duration parses the directive's only argument as a duration with a unit, such as 500ms or 3s. It
// must be at least minimum and at most maximum.
func (d Directive) Duration(minimum, maximum time.Duration) (time.Duration, error) {
	want := fmt.Sprintf("a time with its unit, %s to %s", minimum, maximum)
	word, err := d.Word(want)
	if err != nil {
		return 0, err
	}
	duration, err := time.ParseDuration(word)
	if err != nil || duration < minimum || duration > maximum {
		return 0, d.Args[0].Expected(want)
	}
	return duration, nil
}

// Int parses the directive's only argument as a decimal integer, which must be at least minimum and
// at most maximum.
func (d Directive) Int(minimum, maximum int64) (int64, error) {
	want := fmt.Sprintf("a whole number, %d to %d", minimum, maximum)
	word, err := d.Word(want)
	if err != nil {
		return 0, err
	}
	number, err := strconv.ParseInt(word, 10, 64)
	if err != nil || number < minimum || number > maximum {
		return 0, d.Args[0].Expected(want)
	}
	return number, nil
}
