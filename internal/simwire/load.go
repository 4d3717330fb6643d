package simwire

// This file owns the form of load reports, which are one field of a message. It must never
// take a value that a report does not carry for 0: it is NaN.

import (
	"math"
	"strconv"
	"strings"

	"ravenhitch/placement"
)

// load returns the next field as a load report, pairs of name:value separated by commas.
// Values that it does not carry are NaN.
func (f *fields) load() placement.Load {
	nan := math.NaN()
	load := placement.Load{FreeCores: nan, FreeMemory: nan, Utilization: nan, Queued: nan}
	part := f.next()
	if part == "" {
		return load
	}
	for _, pair := range strings.Split(part, ",") {
		name, text, found := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(text, 64)
		if !found || err != nil {
			f.fail("expected name:value, got %.40q", pair)
			return load
		}
		switch name {
		case "x0":
			load.FreeCores = value
		case "x1":
			load.FreeMemory = value
		case "utilization":
			load.Utilization = value
		case "backlog":
			load.Queued = value
		}
	}
	return load
}
