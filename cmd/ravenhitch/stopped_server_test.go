package main

// This file tests that a stopped server does not affect the connections of another server in the same process.

import (
	"testing"

	"ravenhitch/internal/testbed"
)

// reusedDescriptors is more than the number of descriptors that a stopped test server frees. New descriptors get the
// lowest free numbers, so these connections get all numbers that were freed.
const reusedDescriptors = 100

// A function that is posted to a stopped server must reach no connection of another server. It guards against a fault
// in which eventloop.Loop.Post wrote to the number of the closed wake descriptor. A connection that had been given that
// number then carried these bytes ahead of a message.
func TestStoppedServerReachesNoConnection(t *testing.T) {
	stopped, running := newTestServer(t, "a"), newTestServer(t, "a")
	stopped.loop.Post(stopped.loop.Stop)
	if err := stopped.waitStopped(t); err != nil {
		t.Fatal(err)
	}
	var clients []*testbed.Client
	for range reusedDescriptors {
		clients = append(clients, running.connect(t))
	}
	running.waitConnections(t, reusedDescriptors)
	stopped.loop.Post(stopped.loop.Stop)
	for _, client := range clients {
		pingServer(t, client)
	}
}
