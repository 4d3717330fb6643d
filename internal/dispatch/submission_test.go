package dispatch

import (
	"math"
	"strings"
	"testing"
)

// Validate returns the first invalid field and a description of a valid value.
func TestValidate(t *testing.T) {
	longName := strings.Repeat("x", maxNameLength+1)
	for _, c := range []struct {
		name   string
		modify func(s *Submission)
		field  string // "": the submission is valid
		want   string
	}{
		{"valid", func(*Submission) {}, "", ""},
		{"adopted without a timeout", func(s *Submission) { s.RunningOn, s.TimeoutUs = "a", 0 }, "", ""},
		{"the longest timeout", func(s *Submission) { s.TimeoutUs = 86_400 * second }, "", ""},
		{"short request ID", func(s *Submission) { s.RequestID = "9b1f" }, "tag", "16 hex digits"},
		{"request ID with a digit that is not hexadecimal", func(s *Submission) { s.RequestID = "9b1f03aa5c7e2d4g" }, "tag", "16 hex digits"},
		{"no key", func(s *Submission) { s.Key = "" }, "task", "a name of 1 to 64 bytes"},
		{"long key", func(s *Submission) { s.Key = longName }, "task", "a name of 1 to 64 bytes"},
		{"no class", func(s *Submission) { s.Class = "" }, "class", "a name of 1 to 64 bytes"},
		{"long idempotency key", func(s *Submission) { s.IdempotencyKey = longName }, "idem", "a key of 64 bytes at most"},
		{"long tenant", func(s *Submission) { s.Tenant = longName }, "tenant", "a name of 64 bytes at most"},
		{"negative run time", func(s *Submission) { s.ExpectedRunUs = -1 }, "hint", "a time of 0 or more, a year at most"},
		{"no cores", func(s *Submission) { s.Cores = 0 }, "cores", "a number above 0"},
		{"cores not a number", func(s *Submission) { s.Cores = math.NaN() }, "cores", "a number above 0"},
		{"infinite memory", func(s *Submission) { s.Memory = math.Inf(1) }, "memory", "a number above 0"},
		{"no timeout", func(s *Submission) { s.TimeoutUs = 0 }, "wait", "a time above 0, a day at most"},
		{"too long a timeout", func(s *Submission) { s.TimeoutUs = 86_400*second + 1 }, "wait", "a time above 0, a day at most"},
		{"two invalid fields", func(s *Submission) { s.Cores, s.Key = 0, "" }, "task", "a name of 1 to 64 bytes"},
	} {
		submission := Submission{RequestID: "9b1f03aa5c7e2d41", Class: "web", Key: "k", TimeoutUs: 5 * second, Cores: 1, Memory: 1}
		c.modify(&submission)
		invalid := submission.Validate()
		switch {
		case invalid == nil && c.field != "":
			t.Errorf("%s: Validate returned no error, want an error for field %s", c.name, c.field)
		case invalid != nil && (invalid.Field != c.field || invalid.Want != c.want):
			t.Errorf("%s: Validate returned %v, want field %s: expected %s", c.name, invalid, c.field, c.want)
		}
	}
}
