package dispatch

import (
	"reflect"
	"slices"
	"testing"

	"ravenhitch/internal/testbed/doctable"
	"ravenhitch/placement"
)

// The page on the fields of both fronts has a row for each field of a submission.
func TestSubmissionFieldsAreDocumented(t *testing.T) {
	var documented, fields []string
	for _, row := range doctable.Read(t, "../../docs/design/submission-fields.md", "Submission") {
		documented = append(documented, row["Submission"])
	}
	submission := reflect.TypeFor[Submission]()
	for i := range submission.NumField() {
		fields = append(fields, submission.Field(i).Name)
	}
	slices.Sort(documented)
	slices.Sort(fields)
	if !slices.Equal(documented, fields) {
		t.Errorf("fields of the page: %v; fields of Submission: %v", documented, fields)
	}
}

// Guards against a second start of a task that workers cannot recognise as a repeat, as its client gave no idempotency key: it
// counts as one that must not run twice, whatever the group of its class.
func TestKeyedTaskWithoutKeyIsNotRepeated(t *testing.T) {
	for _, class := range []string{"all", "zone", "cell"} {
		h := newHarness(t)
		h.updateWorkers(placement.ListFull, placement.Ready, "a", "b")
		h.withoutKeys = true
		h.mustSubmit("t1", class, "k1", 5000)
		h.advance(10 * millisecond)
		h.endAttempt("t1", placement.Reset)
		h.advance(10 * millisecond)
		if len(h.offers) != 1 || h.finalResponses["t1"] != Failed || h.Counts().Blocked > 0 {
			t.Errorf("class %s: offers %v, response %v, %d blocked; want one offer, a failure and none blocked", class, h.offers,
				h.finalResponses["t1"], h.Counts().Blocked)
		}
	}
}
