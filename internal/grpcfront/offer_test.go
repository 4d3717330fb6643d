package grpcfront

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"ravenhitch/internal/grpcfront/edgepb"
)

// TestParseOffer asserts that a valid offer is converted to a submission, and that the status of an invalid offer
// names the invalid field.
func TestParseOffer(t *testing.T) {
	valid := &edgepb.Offer{OfferId: "9b1f03aa5c7e2d41", Task: "t", Class: "web", Cores: 1.5, Memory: 2.5, Service: "ff",
		Description: "d", WaitMs: 1500}
	submission, err := parseOffer(valid)
	if err != nil || submission.TimeoutUs != 1_500_000 || submission.Program != 255 || !submission.Resumable {
		t.Errorf("valid offer: got submission %+v, error %v; want timeout 1500000 us, program 255, resumable, no error",
			submission, err)
	}
	for _, test := range []struct {
		name   string
		modify func(offer *edgepb.Offer)
		want   string
	}{
		{"no wait", func(o *edgepb.Offer) { o.WaitMs = 0 }, "OK: "},
		{"no ID", func(o *edgepb.Offer) { o.OfferId = "" }, "InvalidArgument: offer_id: expected 16 hex digits"},
		{"no task", func(o *edgepb.Offer) { o.Task = "" }, "InvalidArgument: task: expected a name of 1 to 64 bytes"},
		{"no class", func(o *edgepb.Offer) { o.Class = "" }, "InvalidArgument: class: expected a name of 1 to 64 bytes"},
		{"no cores", func(o *edgepb.Offer) { o.Cores = 0 }, "InvalidArgument: cores: expected a number above 0"},
		{"no memory", func(o *edgepb.Offer) { o.Memory = 0 }, "InvalidArgument: memory: expected a number above 0"},
		{"a wait over a day", func(o *edgepb.Offer) { o.WaitMs = 86_400_001 },
			"InvalidArgument: wait_ms: expected a time above 0, a day at most"},
		{"a service that is not hex", func(o *edgepb.Offer) { o.Service = "x" },
			"InvalidArgument: service: expected up to 16 hex digits"},
		{"the longest description", func(o *edgepb.Offer) { o.Description = strings.Repeat("x", 8192) }, "OK: "},
		{"a longer description", func(o *edgepb.Offer) { o.Description = strings.Repeat("x", 8193) },
			"InvalidArgument: description: expected at most 8192 bytes of UTF-8, few of them control characters"},
		{"too many control characters", func(o *edgepb.Offer) { o.Description = strings.Repeat("\n", 2049) },
			"InvalidArgument: description: expected at most 8192 bytes of UTF-8, few of them control characters"},
		{"not UTF-8", func(o *edgepb.Offer) { o.Description = "\xff" },
			"InvalidArgument: description: expected at most 8192 bytes of UTF-8, few of them control characters"},
	} {
		t.Run(test.name, func(t *testing.T) {
			offer := proto.Clone(valid).(*edgepb.Offer)
			test.modify(offer)
			_, err := parseOffer(offer)
			if got := formatStatus(err); got != test.want {
				t.Errorf("status: got %q, want %q", got, test.want)
			}
		})
	}
}
