package main

// This file tests settings of other deployments, which switch off what the usual ones allow.

import (
	"testing"

	"ravenhitch/internal/testbed"
)

// Where the deployment allows no pings of workers none is sent; the next attempt goes out all the same, and
// no duplicate with it.
func TestProbesDisabled(t *testing.T) {
	server := newWarmProxiedServer(t, changedSettings(t, settingChange{"Limits.Probes", false}), nil, "a", "b")
	missed := server.submit("missed", 8, 2000)
	server.noteOnceOffered(t, missed)
	server.expectAllStarted(t, missed)
	// What is cancelled needs no confirmation, and costs nobody a connection.
	silent := server.submit("silent", 4, 60_000)
	server.noteOnceOffered(t, silent)
	for _, id := range silent {
		testbed.Send(server, cancelLine(id))
	}
	server.waitNoOpenAttempt(t)
	for _, worker := range server.workers {
		if n := worker.PingCount(); n > 0 {
			t.Errorf("%s got %d pings", worker.Name, n)
		}
	}
	server.expectNoDuplicates(t)
}

// Where the deployment allows no Retry-After on rejections, none is given, nor by the front itself.
func TestRetryAfterDisabled(t *testing.T) {
	server := startTestServer(t, serverOptions{settings: changedSettings(t, settingChange{"Limits.RetryAfter", false})}, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "full-1", 300))
	for i := range 40 { // more than a new connection may have open
		testbed.Send(client, testbed.StartLine(testbed.RequestID(2+i), "guide-web", "silent-2", 300))
	}
	for range 41 {
		line := testbed.Wait(t, "the rejection", client.Lines)
		if retryAfter, ok := line.Opts["wait"]; ok || line.Cause() != causeRejected {
			t.Fatalf("got %v, to come again after %q ms", line, retryAfter)
		}
	}
}
