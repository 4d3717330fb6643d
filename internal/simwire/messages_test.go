package simwire

import (
	"reflect"
	"strings"
	"testing"

	"ravenhitch/placement"
)

// TestMessages checks that the fields of messages are decoded in their order on the wire, which must never change. The
// expected events are therefore those that the build of 1 December 2026 decoded.
func TestMessages(t *testing.T) {
	for _, test := range []struct {
		line string
		want placement.Event
	}{
		{"EXISTING 3 t1 ma 17 500 ten 9000 77 job 1.5 9 2.5", placement.Adopted{Worker: "ma", Task: placement.Task{
			RequestID: "t1", KeyHash: 77, DeadlineUs: 9000, Cores: 1.5, Memory: 2.5, Class: "job", ExpectedRunUs: 500,
			HasRunHint: true, Retry: true, Tenant: "ten", Program: 9}}},
		{"REQUEST 3 t2 77 8652250 2 1.5 job 12000 16 ten 9", placement.Request{Task: placement.Task{
			RequestID: "t2", KeyHash: 77, DeadlineUs: 8652250, Cores: 2, Memory: 1.5, Class: "job", ExpectedRunUs: 12000,
			Retry: true, Tenant: "ten", Program: 9}}},
		{"ACCEPTED 3 t1 2 ma 300", placement.Accepted{RequestID: "t1", Attempt: 2, Worker: "ma", RTTUs: 300}},
		{"DONE 3 t1 2 1 18500 3 4 ma -", placement.AttemptEnded{RequestID: "t1", Attempt: 4, Worker: "ma",
			Outcome: placement.Outcome(3), Cause: placement.Cause(2), Final: true, RTTUs: 18500}},
		{"PROGRESS 3 t1 2 ma 4 0.5", placement.TaskReport{RequestID: "t1", Attempt: 2, Worker: "ma",
			Kind: placement.ReportKind(4), Value: 0.5}},
		{"BELL 3 r1", placement.TimerFired{Ref: "r1"}},
		{"TIMED_OUT_CLIENT 3 t1", placement.ClientCancelled{RequestID: "t1"}},
	} {
		batch, err := NewDecoder(strings.NewReader("BATCH 5 1\n" + test.line + "\nFLUSH\n")).Next()
		if err != nil || len(batch.Items) != 1 {
			t.Errorf("%s: got batch %+v, error %v; want one item", test.line, batch, err)
			continue
		}
		item := batch.Items[0]
		if item.Kind != EventReceived || item.Instance != 3 || !reflect.DeepEqual(item.Event, test.want) {
			t.Errorf("%s: got %+v, want event %+v for instance 3", test.line, item, test.want)
		}
	}
}

// TestInstanceMessages checks the items of messages that are not events: the stop of an instance and an ignored
// message.
func TestInstanceMessages(t *testing.T) {
	for line, want := range map[string]Item{
		"DOWN 5":              {Kind: InstanceStopped, Instance: 5},
		"DATAGRAM 3 2 686920": {Kind: Ignored, Instance: 3},
	} {
		batch, err := NewDecoder(strings.NewReader("BATCH 5 1\n" + line + "\nFLUSH\n")).Next()
		if err != nil || len(batch.Items) != 1 || !reflect.DeepEqual(batch.Items[0], want) {
			t.Errorf("%s: got batch %+v, error %v; want item %+v", line, batch, err, want)
		}
	}
}
