package clientfront

import (
	"reflect"
	"slices"
	"testing"

	"ravenhitch/internal/jsonlines"
	"ravenhitch/internal/testbed/doctable"
)

// The page on the fields of both fronts names the fields of a JSON line that reach a submission.
func TestLineFields(t *testing.T) {
	line := jsonlines.Message{Verb: jsonlines.VerbStart, Tag: "9b1f03aa5c7e2d41", HasBlob: true, Blob: "b", Opts: []jsonlines.Field{
		{Name: "class", Value: "c"}, {Name: "key", Value: "k"}, {Name: "idem", Value: "i"}, {Name: "tenant", Value: "t"},
		{Name: "hint", Value: "1"}, {Name: "retry", Value: "1"}, {Name: "left", Value: "1"},
		{Name: "extras", Value: "cores:1;memory:2;service:3"}}}
	submission, err := parseSubmission(&line)
	if err != nil {
		t.Fatal(err)
	}
	line.Opts[len(line.Opts)-1].Value += ";at:w"
	handedOver, err := parseSubmission(&line) // it has no timeout
	if err != nil {
		t.Fatal(err)
	}
	submission.RunningOn = handedOver.RunningOn
	names := []string{"tag", "blob"}
	for _, option := range line.Opts {
		names = append(names, option.Name)
	}
	var documented []string
	for _, row := range doctable.Read(t, "../../docs/design/submission-fields.md", "Submission") {
		field, fromLine := row["Submission"], row.Names("JSON line")
		documented = append(documented, fromLine...)
		if isSet := !reflect.ValueOf(submission).FieldByName(field).IsZero(); isSet != (len(fromLine) > 0) {
			t.Errorf("%s: the page says that it comes from %q of a line; set by a line with all fields: %v", field, fromLine, isSet)
		}
	}
	slices.Sort(names)
	slices.Sort(documented)
	if documented = slices.Compact(documented); !slices.Equal(names, documented) {
		t.Errorf("fields of the page: %v; fields of the line: %v", documented, names)
	}
}
