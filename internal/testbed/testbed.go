// Package testbed provides stand-ins for tests and rehearsals: workers and clients that use the JSON
// lines protocol, discovery, and a network between processes into which faults can be injected. The
// stand-ins implement the protocol's specification with libraries that the program itself does not use
// for the protocol. A stand-in owns its listeners and closes them at the end of the test or rehearsal.
// An orchestrator that serves clients must never run a stand-in.
package testbed

import "time"

// This file owns the interface that stand-ins require of the test or rehearsal that runs them.

// Host runs stand-ins. It is a test or a rehearsal.
type Host interface {
	Helper()
	Cleanup(f func())
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// Timeout is the maximum time for which a test or a rehearsal waits for one event.
const Timeout = 10 * time.Second

// Wait receives a value from a channel. It fails the test if the channel is closed or no value arrives within
// Timeout. The failure message starts with the argument what, which describes the expected event.
func Wait[T any](t Host, what string, c <-chan T) T {
	t.Helper()
	select {
	case v, ok := <-c:
		if !ok {
			t.Fatalf("%s: the channel was closed, want a value", what)
		}
		return v
	case <-time.After(Timeout):
		t.Fatalf("%s: no value was received within %s", what, Timeout)
	}
	panic("not reached")
}

// errorPrefix is the prefix of errors from processes and from the network. It is the package's former
// name and must not change because the rehearse sub-command prints these errors.
const errorPrefix = "standin"
