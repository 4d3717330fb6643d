// Package testbed holds the stand-ins that tests and rehearsals run against: workers,
// discovery and clients on JSON lines, the network between orchestrators, and faults that
// are injected into it. The stand-ins are written from the protocol's specification with libraries
// that the program itself does not use for it. A stand-in owns what it listens on and
// closes it at the end of the test; it must never be part of a program that serves.
package testbed

import "time"

// This file owns what stand-ins need of whoever runs them.

// Host runs stand-ins: a test, or a rehearsal.
type Host interface {
	Helper()
	Cleanup(f func())
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// Timeout is the timeout of whatever a test waits for.
const Timeout = 10 * time.Second

// Wait receives from a channel, and fails the test where nothing comes in time.
func Wait[T any](t Host, what string, c <-chan T) T {
	t.Helper()
	select {
	case v, ok := <-c:
		if !ok {
			t.Fatalf("%s: the other side closed", what)
		}
		return v
	case <-time.After(Timeout):
		t.Fatalf("%s: nothing came in %s", what, Timeout)
	}
	panic("not reached")
}

// errorPrefix opens the package's errors. It is the package's former name, which stays
// since the sub-command rehearse prints it.
const errorPrefix = "standin"
