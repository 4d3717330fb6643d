package main

// This file plays deployments of other customers, whose settings name other classes,
// limits and fields than the first one's.

import (
	"log/slog"
	"maps"
	"testing"

	"ravenhitch/internal/config"
	"ravenhitch/internal/testbed"
)

// What a minion knows a repeat by is passed on unchanged, and what only an orchestrator
// has a use for is not: whom the task is for, how long it runs, that it came before.
func TestOfferFields(t *testing.T) {
	settings := changedSettings(t, settingChange{"RequestClasses.0.Name", "bulletin"}, settingChange{"RequestClasses.0.Semantics", "guarded"},
		settingChange{"RequestClasses.0.Group", "zone"}, settingChange{"Parties", []any{map[string]any{"Name": "studio"}}},
		settingChange{"FamilyInfo.ShareCores", []float64{100}})
	server := newServerSet(t, settings, config.Operators{}, 1024, slog.New(slog.DiscardHandler), func(*testbed.Worker) {}, "a")
	client := server.connect(t)
	line := testbed.StartLine(testbed.RequestID(1), "bulletin", "ok-1", 5000)
	own := map[string]string{"idem": "279ca3614cb41c092fc30eea25e0d5b5", "tenant": "studio", "hint": "4409.9", "retry": "1"}
	maps.Copy(line.Opts, own)
	testbed.Send(client, line)
	got := testbed.Wait(t, "the offer", server.workers[0].Starts)
	for _, name := range []string{"class", "key", "idem"} {
		if got.Opts[name] != line.Opts[name] {
			t.Errorf("%s: expected %q, got %q", name, line.Opts[name], got.Opts[name])
		}
	}
	if len(got.Opts) != 4 || *got.Blob != *line.Blob {
		t.Errorf("got %v about %q", got.Opts, *got.Blob)
	}
	if line := testbed.Wait(t, "the answer", client.Lines); line.Verb != "STARTED" {
		t.Errorf("got %v", line)
	}
	for name, value := range map[string]string{"hint": "-1", "retry": "often", "tenant": overlongName, "idem": overlongName} {
		line := testbed.StartLine(testbed.RequestID(2), "bulletin", "ok-2", 5000)
		line.Opts[name] = value
		testbed.Send(client, line)
		if line := testbed.Wait(t, "the error", client.Lines); line.Verb != "FINISH" || line.Cause() != 47 {
			t.Errorf("%s %q: got %v", name, value, line)
		}
	}
}

const overlongName = "0123456789012345678901234567890123456789012345678901234567890123456789"

// Where the deployment allows no tests of minions none is sent; the next attempt goes out
// all the same, and no copy with it.
func TestProbesDisabled(t *testing.T) {
	server := newProxiedServerWith(t, changedSettings(t, settingChange{"Limits.Probes", false}), "a", "b")
	missed := server.submit("missed", 8, 2000)
	server.noteOnceHalfOffered(t, missed)
	server.expectAllStarted(t, missed)
	// What is withdrawn needs no proof, and costs nobody a connection.
	silent := server.submit("silent", 4, 60_000)
	server.noteOnceHalfOffered(t, silent)
	for _, tag := range silent {
		testbed.Send(server, testbed.FinishLine("FINISH", tag, 16))
	}
	server.eventually(t, "no attempt out", func() bool { return len(server.attempts.Open()) == 0 })
	for _, worker := range server.workers {
		if n := worker.PingCount(); n > 0 {
			t.Errorf("%s got %d tests", worker.Name, n)
		}
	}
	if copies := server.attempts.Duplicates(); len(copies) > 0 {
		t.Errorf("%d copies, as %s", len(copies), copies[0])
	}
}

// Where the deployment allows no advice on refusals, none is given, nor by the front itself.
func TestRetryAfterDisabled(t *testing.T) {
	settings := changedSettings(t, settingChange{"Limits.RetryAfter", false})
	server := newServerSet(t, settings, config.Operators{}, 1024, slog.New(slog.DiscardHandler), func(*testbed.Worker) {}, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "full-1", 300))
	for i := range 40 { // more than a new connection may have open
		testbed.Send(client, testbed.StartLine(testbed.RequestID(2+i), "guide-web", "silent-2", 300))
	}
	for range 41 {
		line := testbed.Wait(t, "the refusal", client.Lines)
		if wait, ok := line.Opts["wait"]; ok || line.Cause() != 34 {
			t.Fatalf("got %v, to stay away for %q ms", line, wait)
		}
	}
}
