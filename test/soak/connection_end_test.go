package soak

import (
	"testing"
	"time"

	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/nettest"
)

// This file tests when the end of a client's connection is recorded.

// TestConnectionEndIsRecordedWhenItHappens checks that a client that notices the end of its connection late records the
// time of the end. It guards against a fault in which the client recorded the time when it noticed the end. A request
// that had crossed the end then counted as lost.
func TestConnectionEndIsRecordedWhenItHappens(t *testing.T) {
	listener := nettest.Listen(t)
	s := &scenario{t: t, plan: plan{deadline: time.Second}, ledger: newLedger(), done: make(chan struct{})}
	c := newClient(s, &process{scenario: s, address: listener.Addr().String()}, 0)
	if !c.connect() {
		t.Fatal("the client could not connect")
	}
	t.Cleanup(func() { testbed.CloseQuietly(c.conn) })
	c.submit(false)
	testbed.CloseQuietly(nettest.Accept(t, listener))
	for range c.conn.Lines { // returns once the connection has ended
	}
	noticedAt := time.Now()
	c.recordConnectionEnd()
	requests := s.ledger.sorted()
	if len(requests) != 1 {
		t.Fatalf("requests in the ledger: got %d, want 1", len(requests))
	}
	if at := requests[0].disconnectedAt; at.IsZero() || at.After(noticedAt) {
		t.Errorf("recorded end of the connection: got %s, want a time that is not after %s", at, noticedAt)
	}
}
