package simwire

// This file parses the values of settings. After an error, reading continues with the next setting, and the first error
// is stored.

import (
	"fmt"
	"strconv"
	"strings"

	"ravenhitch/placement"
)

// settingsReader parses the values of settings and stores the first error.
type settingsReader struct {
	values map[string]string // by path
	err    error             // first error, a *SettingError
}

// fail stores the error that a setting is invalid, unless an error is stored already.
func (r *settingsReader) fail(path, want string) {
	if r.err == nil {
		r.err = &SettingError{Key: path, Want: want, Got: r.values[path]}
	}
}

// isAbsent reports whether a value is missing. On the wire, "-" stands for a missing value.
func isAbsent(value string) bool { return value == "" || value == "-" }

// float returns the value at a path as a number, or 0 if it is absent.
func (r *settingsReader) float(path string) float64 {
	value := r.values[path]
	if isAbsent(value) {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil {
		r.fail(path, "a number")
	}
	return number
}

// int returns the value at a path, truncated to an integer, or 0 if the value is absent.
func (r *settingsReader) int(path string) int64 { return int64(r.float(path)) }

// bool reports whether the value at a path is "true" or "1".
func (r *settingsReader) bool(path string) bool {
	value := r.values[path]
	return value == "true" || value == "1"
}

// list returns the items of the comma-separated list at a path, or nil if the list is absent.
func (r *settingsReader) list(path string) []string {
	value := r.values[path]
	if isAbsent(value) {
		return nil
	}
	return strings.Split(value, ",")
}

// floats returns the numbers of the list at a path, or nil if the list is absent.
func (r *settingsReader) floats(path string) []float64 {
	var numbers []float64
	for _, item := range r.list(path) {
		number, err := strconv.ParseFloat(item, 64)
		if err != nil {
			r.fail(path, "numbers")
		}
		numbers = append(numbers, number)
	}
	return numbers
}

// perClass returns the list of numbers at a path, which must have one item for each class. If the
// list is absent, every item is defaultValue.
func (r *settingsReader) perClass(path string, classes int, defaultValue float64) []float64 {
	numbers := r.floats(path)
	if len(numbers) == 0 {
		for range classes {
			numbers = append(numbers, defaultValue)
		}
	}
	if len(numbers) != classes {
		r.fail(path, fmt.Sprintf("%d items, one for each class", classes))
		return make([]float64, classes)
	}
	return numbers
}

// scope returns the scope that value names. If there is no such scope, it calls fail for the setting at path.
func (r *settingsReader) scope(path, value string) placement.Scope {
	scope, known := scopes[value]
	if !known {
		r.fail(path, "none, machine, cell, zone or all")
	}
	return scope
}
