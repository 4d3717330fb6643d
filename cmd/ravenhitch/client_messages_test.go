package main

// This file tests what the server does with the lines of clients: malformed, invalid, slowly written, and
// what of a submission it passes on.

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

const (
	// overlongLine is more bytes than a line may have.
	overlongLine = 17 << 10
	// overlongName is longer than a tenant's name or an idempotency key may be.
	overlongName = "0123456789012345678901234567890123456789012345678901234567890123456789"
)

// A malformed line ends its own connection only, with a response to what was taken before it, at once.
func TestMalformedLines(t *testing.T) {
	server := newTestServer(t, "a")
	malformed, overlong, valid, half := server.connect(t), server.connect(t), server.connect(t), server.connect(t)
	testbed.Send(malformed, testbed.StartLine(testbed.RequestID(1), "guide-web", "silent-1", 60_000))
	testbed.Wait(t, "the offer", server.workers[0].Starts)

	write(t, malformed, []byte("{\"verb\":\"START\"\n"))
	write(t, overlong, []byte(strings.Repeat("x", overlongLine)))
	write(t, half, []byte("{\"verb\":"))

	for line := range overlong.Lines {
		t.Errorf("an overlong line got %v", line)
	}
	testbed.Send(valid, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 5000))
	if line := testbed.Wait(t, "another client's response", valid.Lines); line.Verb != "STARTED" {
		t.Errorf("another client got %v", line)
	}
	if line := testbed.Wait(t, "the response", malformed.Lines); line.Tag != testbed.RequestID(1) || line.Verb != "FINISH" {
		t.Errorf("got %v", line)
	}
	for line := range malformed.Lines {
		t.Errorf("got %v after the response", line)
	}
	for line := range half.Lines {
		t.Errorf("half a line got %v", line)
	}
}

// A line that comes byte by byte is whole.
func TestLineInPieces(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	request := lineBytes(t, testbed.StartLine(testbed.RequestID(4), "guide-web", "ok-4", 5000))
	for _, b := range append(request, '\n') {
		write(t, client, []byte{b})
	}
	if line := testbed.Wait(t, "the response", client.Lines); line.Tag != testbed.RequestID(4) || line.Verb != "STARTED" {
		t.Errorf("got %v", line)
	}
}

// What is invalid is answered with an error at the front and reaches no worker: there it would only count
// against the worker.
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
			if got := testbed.Wait(t, "an error", client.Lines); got.Verb != "FINISH" || got.Cause() != causeFailed || got.Tag != line.Tag {
				t.Errorf("got %v", got)
			}
		})
	}
	if n := server.workers[0].StartCount("ok-bad"); n != 0 {
		t.Errorf("%d reached a worker", n)
	}
	t.Run("another client's request ID", func(t *testing.T) { expectForeignIDIsLeftAlone(t, server, client) })
	t.Run("the same request twice", func(t *testing.T) { expectOneResponseToDuplicate(t, server, client) })
	t.Run("adopted, on an unknown worker", func(t *testing.T) { expectAdoptionNowhereEnds(t, client) })
	t.Run("too many requests", func(t *testing.T) { expectTooManyAreRejected(t, server) })
}

// A request ID that is open elsewhere, with another description: the first request is not touched, nor
// can it be cancelled from elsewhere.
func expectForeignIDIsLeftAlone(t *testing.T, server *testServer, client *testbed.Client) {
	t.Helper()
	other := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "silent-1", 300))
	testbed.Wait(t, "the offer", server.workers[0].Starts)
	testbed.Send(other, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-other", 5000))
	expectCause(t, "the error", other, testbed.RequestID(1), causeFailed)
	testbed.Send(other, cancelLine(testbed.RequestID(1)))
	testbed.Wait(t, "the confirmation of the cancel", other.Lines)
	expectCause(t, "the first request's own response", client, testbed.RequestID(1), causeRejected)
}

// Two requests of one ID on one connection: one response, and it is no start.
func expectOneResponseToDuplicate(t *testing.T, server *testServer, client *testbed.Client) {
	t.Helper()
	request := testbed.StartLine(testbed.RequestID(2), "guide-web", "silent-2", 5000)
	testbed.Send(client, request)
	testbed.Wait(t, "the offer", server.workers[0].Starts)
	testbed.Send(client, request)
	if line := testbed.Wait(t, "one response to both", client.Lines); line.Verb != "FINISH" || line.Tag != testbed.RequestID(2) {
		t.Errorf("got %v", line)
	}
}

// A task that is registered as running on an unknown worker ends in time.
func expectAdoptionNowhereEnds(t *testing.T, client *testbed.Client) {
	t.Helper()
	began := time.Now()
	request := testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-3", 5000)
	request.Opts["extras"] += ";at:nowhere"
	testbed.Send(client, request)
	line := testbed.Wait(t, "its end", client.Lines)
	if line.Verb != "FINISH" || line.Tag != testbed.RequestID(3) || time.Since(began) > 3*time.Second {
		t.Errorf("got %v after %s", line, time.Since(began))
	}
}

// More than a new connection may have open is rejected at once; enough of what is invalid ends it.
func expectTooManyAreRejected(t *testing.T, server *testServer) {
	t.Helper()
	client := server.connect(t)
	for i := range 40 {
		testbed.Send(client, testbed.StartLine(testbed.RequestID(100+i), "guide-web", fmt.Sprint("silent-c", i), 60_000))
	}
	for range 8 {
		if line := testbed.Wait(t, "a rejection", client.Lines); line.Cause() != causeRejected || line.Opts["wait"] == "" {
			t.Errorf("got %v", line)
		}
	}
	for range 70 {
		testbed.Send(client, testbed.Line{Verb: "START", Tag: "x", Opts: map[string]string{}})
	}
	responses := 0
	for line := range client.Lines {
		if responses++; line.Verb != "FINISH" {
			t.Errorf("got %v", line)
		}
	}
	if responses < 32 {
		t.Errorf("%d responses before the end", responses)
	}
}

// A client may take 2 s to write a request; the connection of one that never ends it is closed.
func TestSlowWriter(t *testing.T) {
	server := newTestServer(t, "a")
	slow, never := server.connect(t), server.connect(t)
	request := lineBytes(t, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	began, half := time.Now(), len(request)/2
	for _, client := range []*testbed.Client{slow, never} {
		write(t, client, request[:half])
	}
	time.Sleep(2*time.Second - time.Since(began)) // what the client does, not what the test waits for
	write(t, slow, append(request[half:], '\n'))
	if line := testbed.Wait(t, "the response", slow.Lines); line.Verb != "STARTED" {
		t.Errorf("got %v", line)
	}
	if line, ok := <-never.Lines; ok {
		t.Errorf("half a request got %v", line)
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("the close took %v", took)
	}
}

// What a worker recognises a repeat by is passed on unchanged, and what only an orchestrator uses is not:
// the tenant, the hint of the duration, the repeat.
func TestOfferFields(t *testing.T) {
	settings := changedSettings(t, settingChange{"RequestClasses.0.Name", "bulletin"}, settingChange{"RequestClasses.0.Semantics", "guarded"},
		settingChange{"RequestClasses.0.Group", "zone"}, settingChange{"Parties", []any{map[string]any{"Name": "studio"}}},
		settingChange{"FamilyInfo.ShareCores", []float64{100}})
	server := startTestServer(t, serverOptions{settings: settings}, "a")
	client := server.connect(t)
	request := testbed.StartLine(testbed.RequestID(1), "bulletin", "ok-1", 5000)
	maps.Copy(request.Opts, map[string]string{"idem": "279ca3614cb41c092fc30eea25e0d5b5", "tenant": "studio", "hint": "4409.9", "retry": "1"})
	testbed.Send(client, request)
	offer := testbed.Wait(t, "the offer", server.workers[0].Starts)
	for _, name := range []string{"class", "key", "idem"} {
		if offer.Opts[name] != request.Opts[name] {
			t.Errorf("%s: expected %q, got %q", name, request.Opts[name], offer.Opts[name])
		}
	}
	if len(offer.Opts) != 4 || *offer.Blob != *request.Blob {
		t.Errorf("got %v about %q", offer.Opts, *offer.Blob)
	}
	if line := testbed.Wait(t, "the response", client.Lines); line.Verb != "STARTED" {
		t.Errorf("got %v", line)
	}
	for name, value := range map[string]string{"hint": "-1", "retry": "often", "tenant": overlongName, "idem": overlongName} {
		request := testbed.StartLine(testbed.RequestID(2), "bulletin", "ok-2", 5000)
		request.Opts[name] = value
		testbed.Send(client, request)
		if line := testbed.Wait(t, "the error", client.Lines); line.Verb != "FINISH" || line.Cause() != causeFailed {
			t.Errorf("%s %q: got %v", name, value, line)
		}
	}
}
