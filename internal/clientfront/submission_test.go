package clientfront

import (
	"errors"
	"testing"

	"ravenhitch/internal/jsonlines"
)

const validExtras = "cores:1.5;memory:2.5;service:ff"

// submissionMessage returns the message of a submission with the given values of "left" and "extras". The submission
// is valid if both values are valid.
func submissionMessage(left, extras string) jsonlines.Message {
	return jsonlines.Message{Verb: jsonlines.VerbStart, Tag: "9b1f03aa5c7e2d41", HasBlob: true,
		Opts: []jsonlines.Field{{Name: "class", Value: "web"}, {Name: "key", Value: "k"},
			{Name: "left", Value: left}, {Name: "extras", Value: extras}}}
}

// A submission is accepted only if its numbers are valid, and its timeout is converted to microseconds exactly. The
// timeout is ignored if the task is already running. Extras with an unknown name are ignored.
func TestParseSubmission(t *testing.T) {
	for _, test := range []struct {
		left, extras string
		valid        bool
		timeoutUs    int64
	}{
		{"1500", validExtras, true, 1_500_000},
		{"0.5", validExtras, true, 500},
		{"-3", validExtras, false, 0},
		{"1e300", validExtras, false, 0},
		{"0", validExtras, false, 0},
		{"99999999999999999999999", validExtras, false, 0},
		{"", validExtras, false, 0},
		{"soon", validExtras, false, 0},
		{"NaN", validExtras, false, 0},
		{"5", "", false, 0},
		{"5", "x", false, 0},
		{"5", "cores:1", false, 0},
		{"5", "cores:nan;memory:1", false, 0},
		{"5", "cores:-1;memory:1", false, 0},
		{"5", "cores:1;memory:1e9", false, 0},
		{"5", "cores:1;memory:inf", false, 0},
		{"5", "cores:1;memory:1;service:xyz", false, 0},
		{"5", "home:1;copies:2", false, 0},
		{"", validExtras + ";at:s-1", true, 0},
		{"NaN", validExtras + ";at:s-1", true, 0},
	} {
		message := submissionMessage(test.left, test.extras)
		got, err := parseSubmission(&message)
		if (err == nil) != test.valid || test.valid && got.TimeoutUs != test.timeoutUs {
			t.Errorf("test case %+v: got submission %+v and error %v, want valid and timeoutUs as in the test case",
				test, got, err)
		}
	}
	message := submissionMessage("1500", validExtras+";at:s-1;new:thing")
	got, _ := parseSubmission(&message)
	if got.Cores != 1.5 || got.Memory != 2.5 || got.Program != 255 || got.RunningOn != "s-1" {
		t.Errorf("got %+v, want 1.5 cores, 2.5 memory, program 255 and worker s-1", got)
	}
}

// parseSubmission returns an error for a submission without a valid request ID, a description or a key.
func TestParseSubmissionIncomplete(t *testing.T) {
	for name, corrupt := range map[string]func(message *jsonlines.Message){
		"invalid tag":    func(message *jsonlines.Message) { message.Tag = "9b1f03aa5c7e2d4x" },
		"no tag":         func(message *jsonlines.Message) { message.Tag = "" },
		"no description": func(message *jsonlines.Message) { message.HasBlob = false },
		"no key":         func(message *jsonlines.Message) { message.Opts[1].Value = "" },
	} {
		message := submissionMessage("1500", validExtras)
		corrupt(&message)
		if _, err := parseSubmission(&message); err == nil {
			t.Errorf("invalid submission (%s): got no error, want one", name)
		}
	}
}

// The error for an invalid submission names the field on the wire, and the received value if it could not be parsed.
func TestParseSubmissionErrors(t *testing.T) {
	for _, test := range []struct {
		name         string
		left, extras string
		extraOpt     jsonlines.Field
		field, value string
	}{
		{"a timeout that is not a number", "soon", validExtras, jsonlines.Field{}, "left", "soon"},
		{"no timeout", "", validExtras, jsonlines.Field{}, "left", ""},
		{"a program that is not hex", "5", "service:xyz", jsonlines.Field{}, "service", "xyz"},
		{"cores that are not a number", "5", "cores:x", jsonlines.Field{}, "cores", "x"},
		{"a hint that is not a number", "5", validExtras, jsonlines.Field{Name: "hint", Value: "NaN"}, "hint", "NaN"},
		{"a negative hint", "5", validExtras, jsonlines.Field{Name: "hint", Value: "-7"}, "hint", ""},
		{"a negative number of submissions", "5", validExtras, jsonlines.Field{Name: "retry", Value: "-1"}, "retry", "-1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			message := submissionMessage(test.left, test.extras)
			message.Opts = append(message.Opts, test.extraOpt)
			_, err := parseSubmission(&message)
			var got *fieldError
			if !errors.As(err, &got) || !errors.Is(err, jsonlines.ErrMessage) {
				t.Fatalf("got error %v, want a fieldError that wraps ErrMessage", err)
			}
			if got.Field != test.field || got.Value != test.value || got.Want == "" {
				t.Errorf("got error %+v, want field %q, value %q and a description of the expected value", got, test.field, test.value)
			}
		})
	}
}
