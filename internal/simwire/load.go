package simwire

// This file parses load reports, each of which is one field of a message. If a report lacks a value, the value is NaN,
// never 0.

import (
	"math"
	"strconv"
	"strings"

	"ravenhitch/placement"
)

// load parses the next field as a load report, which consists of name:value pairs separated by
// commas. Values that are missing in the report are NaN. Pairs with an unknown name are ignored.
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
