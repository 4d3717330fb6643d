package main

// This file tests servers whose settings disable certain features. The default settings of the tests enable
// these features.

import (
	"testing"

	"ravenhitch/internal/testbed"
)

// If the deployment forbids pings of workers, the server sends none. If the first attempt of a request gets
// no answer, the server still offers the request again, and no two attempts of a request are in flight at a
// time.
func TestProbesDisabled(t *testing.T) {
	server := newWarmProxiedServer(t, changedSettings(t, settingChange{"Limits.Probes", false}), nil, "a", "b")
	missed := server.submit("missed", 8, 2000)
	server.sendNoticesOnceOffered(t, missed)
	server.expectAllStarted(t, missed)
	// Without pings, the server does not wait for cancel confirmations. If a client cancels a request and the
	// worker has sent data since the offer, the server keeps the connection to the worker open.
	silent := server.submit("silent", 4, 60_000)
	server.sendNoticesOnceOffered(t, silent)
	for _, id := range silent {
		testbed.Send(server, cancelLine(id))
	}
	server.waitNoOpenAttempt(t)
	for _, worker := range server.workers {
		if n := worker.PingCount(); n > 0 {
			t.Errorf("worker %s got %d pings, want 0", worker.Name, n)
		}
	}
	server.expectNoDuplicates(t)
}

// If the deployment forbids the Retry-After on rejections, none is sent. This includes the rejections by the
// client front.
func TestRetryAfterDisabled(t *testing.T) {
	server := startTestServer(t, serverOptions{settings: changedSettings(t, settingChange{"Limits.RetryAfter", false})}, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "full-1", 300))
	for i := range 40 { // more requests than a new connection may have open
		testbed.Send(client, testbed.StartLine(testbed.RequestID(2+i), "guide-web", "silent-2", 300))
	}
	for range 41 {
		line := testbed.Wait(t, "the rejection", client.Lines)
		if retryAfter, ok := line.Opts["wait"]; ok || line.Code() != codeRejected {
			t.Fatalf("rejection: got %v with Retry-After %q ms, want a rejection without Retry-After", line, retryAfter)
		}
	}
}
