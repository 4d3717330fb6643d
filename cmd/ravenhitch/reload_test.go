package main

// This file tests a changed configuration of a running server.

import (
	"os"
	"path/filepath"
	"testing"

	"ravenhitch/internal/testbed"
)

// A new configuration moves the server to another discovery, which it polls for what follows the last
// event; one that can't be used changes nothing. Open requests and running tasks are not touched.
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

	if n := testbed.Wait(t, "the new discovery is polled", next.Polls); n != 1 {
		t.Errorf("polled for what follows %d", n)
	}
	next.WaitPolled(t)
	server.discovery.Server.CloseClientConnections()
	testbed.Send(client, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 5000))
	if line := testbed.Wait(t, "the response", client.Lines); line.Verb != "STARTED" || *line.Blob != "b holds about ok-2" {
		t.Errorf("got %v", line)
	}
	server.workers[0].End(testbed.RequestID(1), causeDone)
	expectCause(t, "the completion", client, testbed.RequestID(1), causeDone)
	next.Add(false, b.ListEntry("draining"))
	next.WaitPolled(t)
}
