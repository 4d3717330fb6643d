package clientfront

import (
	"testing"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/jsonlines"
	"ravenhitch/placement"
)

// Responses and completions are encoded as the protocol defines.
func TestEncodeResponse(t *testing.T) {
	for _, test := range []struct {
		name     string
		response dispatch.Response
		want     string
	}{
		{"started", dispatch.Response{Kind: dispatch.Started, Description: "d"}, `{"verb":"STARTED","tag":"x","opts":{},"blob":"d"}`},
		{"rejected", dispatch.Response{Kind: dispatch.Rejected}, `{"verb":"FINISH","tag":"x","opts":{},"rc":34}`},
		{"rejected with Retry-After", dispatch.Response{Kind: dispatch.Rejected, RetryAfterUs: 1_500_001},
			`{"verb":"FINISH","tag":"x","opts":{"wait":"1501"},"rc":34}`},
		{"failed", dispatch.Response{Kind: dispatch.Failed}, `{"verb":"FINISH","tag":"x","opts":{},"rc":47}`},
		{"completed", dispatch.Response{Kind: dispatch.Completed, Outcome: placement.Completed}, `{"verb":"FINISH","tag":"x","opts":{},"rc":16}`},
		{"ended without completing", dispatch.Response{Kind: dispatch.Completed, Outcome: placement.Reset}, `{"verb":"FINISH","tag":"x","opts":{},"rc":41}`},
		{"migrated", dispatch.Response{Kind: dispatch.Migrated}, `{"verb":"MOVE","tag":"x","opts":{}}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.response.RequestID = "x"
			message := encodeResponse(test.response)
			if got := string(jsonlines.Append(nil, &message)); got != test.want+"\n" {
				t.Errorf("encoded response: got %s, want %s", got, test.want)
			}
		})
	}
}
