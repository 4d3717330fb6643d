package simwire

// This file owns how the values of settings are read. It must never fail at once: it keeps
// the first error.

import (
	"fmt"
	"strconv"
	"strings"

	"ravenhitch/placement"
)

// settingsReader holds the values of settings by path.
type settingsReader struct {
	values map[string]string
	err    error
}

// fail keeps the error that a setting is invalid, unless there is an error.
func (r *settingsReader) fail(path, want string) {
	if r.err == nil {
		r.err = &SettingError{Key: path, Want: want, Got: r.values[path]}
	}
}

// isAbsent reports whether a value is missing: "-" stands for none on the wire.
func isAbsent(value string) bool { return value == "" || value == "-" }

// float returns a number, 0 if it is absent.
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

// int returns the whole part of a number, 0 if it is absent.
func (r *settingsReader) int(path string) int64 { return int64(r.float(path)) }

// bool returns whether a setting is on.
func (r *settingsReader) bool(path string) bool {
	value := r.values[path]
	return value == "true" || value == "1"
}

// list returns the items of a list, none if it is absent.
func (r *settingsReader) list(path string) []string {
	value := r.values[path]
	if isAbsent(value) {
		return nil
	}
	return strings.Split(value, ",")
}

// floats returns the items of a list of numbers.
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

// perClass returns a list of numbers, one for each class. An absent list has the default
// for each.
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

// scope returns the scope of a value at a path.
func (r *settingsReader) scope(path, value string) placement.Scope {
	scope, known := scopes[value]
	if !known {
		r.fail(path, "none, machine, cell, zone or all")
	}
	return scope
}
