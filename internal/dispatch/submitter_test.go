package dispatch

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"ravenhitch/placement"
)

// recordingClient records the responses to it, each as the request ID and the kind.
type recordingClient struct{ responses []string }

// Respond implements Client.
func (c *recordingClient) Respond(response Response) {
	c.responses = append(c.responses, fmt.Sprintf("%s:%d", response.RequestID, response.Kind))
}

func (c *recordingClient) expect(t *testing.T, name string, want ...string) {
	t.Helper()
	if !slices.Equal(c.responses, want) {
		t.Errorf("%s: got responses %v, want %v", name, c.responses, want)
	}
}

// submitAs submits a resumable request for the task k.
func (h *harness) submitAs(client Client, requestID string) error {
	h.deadline[requestID], h.class[requestID] = h.now+2000*millisecond, "web"
	return h.Submit(h.now, client, Submission{RequestID: requestID, Class: "web", Key: "k", TimeoutUs: 2000 * millisecond, Cores: 2,
		Memory: 4, Resumable: true})
}

func (h *harness) mustSubmitAs(t *testing.T, client Client, requestID string) {
	t.Helper()
	if err := h.submitAs(client, requestID); err != nil {
		t.Fatalf("Submit of %s: %v", requestID, err)
	}
}

// Guards against an offer over gRPC without a response, because another offer of its task came after it, or because its ID
// stayed in the table after the task: each submission of a request gets its final response, and the completion.
func TestEachSubmissionGetsTheResponse(t *testing.T) {
	h := newHarness(t)
	h.updateWorkers(placement.ListFull, placement.Ready, "a")
	first, second := &recordingClient{}, &recordingClient{}
	h.mustSubmitAs(t, first, "A")
	h.mustSubmitAs(t, second, "B")
	h.mustSubmitAs(t, first, "A") // a repeat by the same client
	h.advance(10 * millisecond)
	h.accept("A")
	first.expect(t, "started", "A:0")
	second.expect(t, "started", "B:0")
	h.mustSubmitAs(t, first, "A") // a repeat while the task runs
	h.endAttempt("A", placement.Completed)
	first.expect(t, "completed", "A:0", "A:0", "A:3")
	second.expect(t, "completed", "B:0", "B:3")
	late := &recordingClient{}
	h.mustSubmitAs(t, late, "B")
	h.mustSubmitAs(t, late, "A")
	late.expect(t, "repeats after the end", "B:3", "A:3")
	if len(h.aliases) > 0 || len(h.requests) > 0 {
		t.Errorf("%d aliases and %d requests are left, want none", len(h.aliases), len(h.requests))
	}
}

// A submission that its client cancels or abandons leaves the request open for the others. A cancel that names no client
// ends the request for all.
func TestOneSubmissionIsWithdrawn(t *testing.T) {
	h := newHarness(t)
	clients := []*recordingClient{{}, {}, {}, {}}
	ids := []string{"A", "B", "C", "D"}
	for i, client := range clients {
		h.mustSubmitAs(t, client, ids[i])
	}
	if h.Cancel(h.now, clients[0], "B") != NotFound {
		t.Error("a client cancelled the submission of another one")
	}
	if h.Cancel(h.now, clients[0], "A") != WasOpen || h.Cancel(h.now, clients[0], "A") != NotFound {
		t.Error("cancel of A: want one submission to be cancelled, once")
	}
	h.Abandon(h.now, clients[1], "B")
	if h.OpenCount() != 1 {
		t.Fatal("the request ended with one of its submissions")
	}
	if h.Cancel(h.now, nil, "A") != WasOpen || h.OpenCount() != 0 {
		t.Error("a cancel that names no client did not end the request")
	}
	clients[0].expect(t, "cancelled")
	clients[1].expect(t, "abandoned")
	clients[2].expect(t, "cancelled for all", "C:5")
	clients[3].expect(t, "cancelled for all", "D:5")
}

// The number of request IDs of one request is limited.
func TestAliasesAreBounded(t *testing.T) {
	h := newHarness(t)
	client := &recordingClient{}
	for i := range maxAliases + 1 {
		h.mustSubmitAs(t, client, fmt.Sprint("t", i))
	}
	if err := h.submitAs(client, "one more"); !errors.Is(err, ErrKeyInUse) {
		t.Errorf("got error %v for one submission too many, want ErrKeyInUse", err)
	}
	h.mustSubmitAs(t, client, "t1")
}
