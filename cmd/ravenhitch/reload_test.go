package main

// This file tests that a running server reloads its configuration.

import (
	"os"
	"path/filepath"
	"testing"

	"ravenhitch/internal/testbed"
)

// After a reload with another discovery address, the server polls the new discovery for the events after the last
// event that it applied. An invalid configuration changes nothing. A running task is unaffected.
func TestReload(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the response", client.Lines)
	server.discovery.WaitPolled(t)
	next := testbed.NewDiscovery(t)
	next.CopyFrom(server.discovery)
	b := testbed.NewWorker(t, "b")
	next.Add(false, server.workers[0].ListEntry("draining"), b.ListEntry("up"))

	path := filepath.Join(t.TempDir(), "config.json")
	for _, text := range []string{"{", configJSON(next)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		server.Reload(path)
	}

	if n := testbed.Wait(t, "a poll of the new discovery", next.Polls); n != 1 {
		t.Errorf("first poll of the new discovery: got events after %d, want events after 1", n)
	}
	next.WaitPolled(t)
	server.discovery.Server.CloseClientConnections()
	testbed.Send(client, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 5000))
	if line := testbed.Wait(t, "the response", client.Lines); line.Verb != "STARTED" || *line.Blob != "b holds about ok-2" {
		t.Errorf("request 2: got %v, want STARTED from worker b", line)
	}
	server.workers[0].ReportCompletion(testbed.RequestID(1), codeDone)
	expectCode(t, "the completion", client, testbed.RequestID(1), codeDone)
	next.Add(false, b.ListEntry("draining"))
	next.WaitPolled(t)
}
