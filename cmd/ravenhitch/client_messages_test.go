package main

// This file tests how the server handles malformed, invalid and slowly written lines of clients, and which fields
// of a submission it passes on to workers.

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

const (
	// overlongLine is the length in bytes of a line that exceeds the maximum length.
	overlongLine = 17 << 10
	// overlongName is a name that exceeds the maximum length of a tenant's name and of an idempotency key.
	overlongName = "0123456789012345678901234567890123456789012345678901234567890123456789"
)

// A malformed line ends only the connection on which it arrives. Requests that were accepted earlier on this
// connection get a response at once.
func TestMalformedLines(t *testing.T) {
	server := newTestServer(t, "a")
	malformed, overlong, valid, half := server.connect(t), server.connect(t), server.connect(t), server.connect(t)
	testbed.Send(malformed, testbed.StartLine(testbed.RequestID(1), "guide-web", "silent-1", 60_000))
	testbed.Wait(t, "the offer", server.workers[0].Offers)

	write(t, malformed, []byte("{\"verb\":\"START\"\n"))
	write(t, overlong, []byte(strings.Repeat("x", overlongLine)))
	write(t, half, []byte("{\"verb\":"))

	for line := range overlong.Lines {
		t.Errorf("the client with an overlong line got %v, want the end of its connection", line)
	}
	testbed.Send(valid, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 5000))
	if line := testbed.Wait(t, "another client's response", valid.Lines); line.Verb != "STARTED" {
		t.Errorf("another client got %v, want STARTED", line)
	}
	if line := testbed.Wait(t, "the response", malformed.Lines); line.Tag != testbed.RequestID(1) || line.Verb != "FINISH" {
		t.Errorf("the client with a malformed line got %v, want FINISH for %s", line, testbed.RequestID(1))
	}
	for line := range malformed.Lines {
		t.Errorf("the client with a malformed line got %v after the response, want the end of its connection", line)
	}
	for line := range half.Lines {
		t.Errorf("the client with half a line got %v, want the end of its connection", line)
	}
}

// A line that is written byte by byte is read as one line.
func TestLineInPieces(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	request := lineBytes(t, testbed.StartLine(testbed.RequestID(4), "guide-web", "ok-4", 5000))
	for _, b := range append(request, '\n') {
		write(t, client, []byte{b})
	}
	if line := testbed.Wait(t, "the response", client.Lines); line.Tag != testbed.RequestID(4) || line.Verb != "STARTED" {
		t.Errorf("response: got %v, want STARTED for %s", line, testbed.RequestID(4))
	}
}

// The front answers an invalid submission with an error and does not offer it to a worker. If it were offered, its
// failure would count against the worker.
func TestInvalidSubmissions(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	for i, test := range []struct {
		name       string
		invalidate func(line *testbed.Line)
	}{
		{"unknown class", func(line *testbed.Line) { line.Opts["class"] = "guide-web_x" }},
		{"negative timeout", func(line *testbed.Line) { line.Opts["left"] = "-5" }},
		{"timeout that is no number", func(line *testbed.Line) { line.Opts["left"] = "soon" }},
		{"size that is no number", func(line *testbed.Line) { line.Opts["extras"] = "cores:nan;memory:1" }},
		{"no size", func(line *testbed.Line) { line.Opts["extras"] = "" }},
		{"no description", func(line *testbed.Line) { line.Blob = nil }},
		{"no request ID", func(line *testbed.Line) { line.Tag = "" }},
		{"unknown verb", func(line *testbed.Line) { line.Verb = "BEGIN" }},
		{"adopted, of an unknown class", func(line *testbed.Line) { line.Opts["extras"] += ";at:nowhere"; line.Opts["class"] = "x" }},
	} {
		t.Run(test.name, func(t *testing.T) {
			line := testbed.StartLine(testbed.RequestID(10+i), "guide-web", "ok-bad", 5000)
			test.invalidate(&line)
			testbed.Send(client, line)
			if got := testbed.Wait(t, "an error", client.Lines); got.Verb != "FINISH" || got.Code() != codeFailed || got.Tag != line.Tag {
				t.Errorf("invalid submission: got %v, want FINISH for %q with cause %d", got, line.Tag, codeFailed)
			}
		})
	}
	if n := server.workers[0].OfferCount("ok-bad"); n != 0 {
		t.Errorf("%d invalid submissions were offered to the worker, want none", n)
	}
	t.Run("another client's request ID", func(t *testing.T) { expectForeignIDIsLeftAlone(t, server, client) })
	t.Run("the same request twice", func(t *testing.T) { expectOneResponseToDuplicate(t, server, client) })
	t.Run("adopted, on an unknown worker", func(t *testing.T) { expectAdoptionOnUnknownWorkerEnds(t, client) })
	t.Run("too many requests", func(t *testing.T) { expectTooManyAreRejected(t, server) })
}

// If a request ID is open for one client, another client that submits a different task under this ID gets an
// error. Neither this submission nor a cancel by the other client affects the open request.
func expectForeignIDIsLeftAlone(t *testing.T, server *testServer, client *testbed.Client) {
	t.Helper()
	other := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "silent-1", 300))
	testbed.Wait(t, "the offer", server.workers[0].Offers)
	testbed.Send(other, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-other", 5000))
	expectCode(t, "the error", other, testbed.RequestID(1), codeFailed)
	testbed.Send(other, cancelLine(testbed.RequestID(1)))
	testbed.Wait(t, "the confirmation of the cancel", other.Lines)
	expectCode(t, "the first request's own response", client, testbed.RequestID(1), codeRejected)
}

// If a client submits a request again on the same connection while the request is open, it gets a single
// FINISH as the response to both submissions.
func expectOneResponseToDuplicate(t *testing.T, server *testServer, client *testbed.Client) {
	t.Helper()
	request := testbed.StartLine(testbed.RequestID(2), "guide-web", "silent-2", 5000)
	testbed.Send(client, request)
	testbed.Wait(t, "the offer", server.workers[0].Offers)
	testbed.Send(client, request)
	if line := testbed.Wait(t, "one response to both", client.Lines); line.Verb != "FINISH" || line.Tag != testbed.RequestID(2) {
		t.Errorf("response to both: got %v, want FINISH for %s", line, testbed.RequestID(2))
	}
}

// A task that a client registers as running on an unknown worker is reported as ended within 3 s.
func expectAdoptionOnUnknownWorkerEnds(t *testing.T, client *testbed.Client) {
	t.Helper()
	began := time.Now()
	request := testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-3", 5000)
	request.Opts["extras"] += ";at:nowhere"
	testbed.Send(client, request)
	line := testbed.Wait(t, "the end of the task", client.Lines)
	if line.Verb != "FINISH" || line.Tag != testbed.RequestID(3) || time.Since(began) > 3*time.Second {
		t.Errorf("end of the task: got %v after %s, want FINISH for %s within 3s", line, time.Since(began), testbed.RequestID(3))
	}
}

// A connection that has had no task yet may have only a limited number of open requests; further requests are
// rejected at once. Too many invalid messages end the connection, after a response to each open request.
func expectTooManyAreRejected(t *testing.T, server *testServer) {
	t.Helper()
	client := server.connect(t)
	for i := range 40 {
		testbed.Send(client, testbed.StartLine(testbed.RequestID(100+i), "guide-web", fmt.Sprint("silent-c", i), 60_000))
	}
	for range 8 {
		if line := testbed.Wait(t, "a rejection", client.Lines); line.Code() != codeRejected || line.Opts["wait"] == "" {
			t.Errorf("rejection: got %v, want cause %d with a Retry-After", line, codeRejected)
		}
	}
	for range 70 {
		testbed.Send(client, testbed.Line{Verb: "START", Tag: "x", Opts: map[string]string{}})
	}
	responses := 0
	for line := range client.Lines {
		if responses++; line.Verb != "FINISH" {
			t.Errorf("response before the end of the connection: got %v, want FINISH", line)
		}
	}
	if responses < 32 {
		t.Errorf("%d responses before the end of the connection, want at least 32", responses)
	}
}

// A client may take 2 s to write a request. A connection on which a request stays incomplete is closed within 3 s.
func TestSlowWriter(t *testing.T) {
	server := newTestServer(t, "a")
	slow, never := server.connect(t), server.connect(t)
	request := lineBytes(t, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	began, half := time.Now(), len(request)/2
	for _, client := range []*testbed.Client{slow, never} {
		write(t, client, request[:half])
	}
	// The sleep simulates a client that writes slowly. It does not wait for an event.
	time.Sleep(2*time.Second - time.Since(began))
	write(t, slow, append(request[half:], '\n'))
	if line := testbed.Wait(t, "the response", slow.Lines); line.Verb != "STARTED" {
		t.Errorf("the slow client got %v, want STARTED", line)
	}
	if line, ok := <-never.Lines; ok {
		t.Errorf("the client with half a request got %v, want the end of its connection", line)
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("the connection with half a request was closed after %v, want at most 3s", took)
	}
}

// An offer contains, unchanged, the fields by which a worker recognises a repeated request: the class, the key and the
// idempotency key. It omits the fields that only an orchestrator uses, such as the tenant, the expected run time and
// the number of earlier submissions. A submission in which an optional field is invalid gets an error.
func TestOfferFields(t *testing.T) {
	settings := changedSettings(t, settingChange{"RequestClasses.0.Name", "bulletin"}, settingChange{"RequestClasses.0.Semantics", "guarded"},
		settingChange{"RequestClasses.0.Group", "zone"}, settingChange{"Parties", []any{map[string]any{"Name": "studio"}}},
		settingChange{"FamilyInfo.ShareCores", []float64{100}})
	server := startTestServer(t, serverOptions{settings: settings}, "a")
	client := server.connect(t)
	request := testbed.StartLine(testbed.RequestID(1), "bulletin", "ok-1", 5000)
	maps.Copy(request.Opts, map[string]string{"idem": "279ca3614cb41c092fc30eea25e0d5b5", "tenant": "studio", "hint": "4409.9", "retry": "1"})
	testbed.Send(client, request)
	offer := testbed.Wait(t, "the offer", server.workers[0].Offers)
	for _, name := range []string{"class", "key", "idem"} {
		if offer.Opts[name] != request.Opts[name] {
			t.Errorf("%s: got %q, want %q", name, offer.Opts[name], request.Opts[name])
		}
	}
	if len(offer.Opts) != 4 || *offer.Blob != *request.Blob {
		t.Errorf("got offer fields %v with description %q, want 4 fields with description %q",
			offer.Opts, *offer.Blob, *request.Blob)
	}
	if line := testbed.Wait(t, "the response", client.Lines); line.Verb != "STARTED" {
		t.Errorf("response: got %v, want STARTED", line)
	}
	for name, value := range map[string]string{"hint": "-1", "retry": "often", "tenant": overlongName, "idem": overlongName} {
		request := testbed.StartLine(testbed.RequestID(2), "bulletin", "ok-2", 5000)
		request.Opts[name] = value
		testbed.Send(client, request)
		if line := testbed.Wait(t, "the error", client.Lines); line.Verb != "FINISH" || line.Code() != codeFailed {
			t.Errorf("%s %q: got %v, want FINISH with cause %d", name, value, line, codeFailed)
		}
	}
}
