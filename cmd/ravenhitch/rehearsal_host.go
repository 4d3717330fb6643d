package main

// This file owns what the testbed gets in place of a test: it prints what is logged, notes failures and
// runs the cleanups. It must never end the process.

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
)

// errEndedEarly is wrapped by the error of a rehearsal that was not played to its end.
var errEndedEarly = errors.New("the rehearsal ended early")

// rehearsalHost is the testbed.Host of a rehearsal. It may be used from many goroutines, but for Fatal
// and Fatalf, which panic as a test's Fatal ends its goroutine: they are for the one that called Run.
type rehearsalHost struct {
	out      io.Writer
	mu       sync.Mutex
	cleanups []func()
	failures []string
}

// printf prints progress. A rehearsal is played to its end also where nobody can read that.
func (h *rehearsalHost) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(h.out, format, args...)
}

// Helper marks a test helper in a test, and nothing here.
func (h *rehearsalHost) Helper() {}

// Cleanup has f called at the end of the rehearsal.
func (h *rehearsalHost) Cleanup(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cleanups = append(h.cleanups, f)
}

// Logf prints a line.
func (h *rehearsalHost) Logf(format string, args ...any) { h.printf(format+"\n", args...) }

// Errorf notes a failure, and the rehearsal goes on.
func (h *rehearsalHost) Errorf(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = append(h.failures, fmt.Sprintf(format, args...))
}

// Fatal notes a failure and ends the rehearsal: it panics with errEndedEarly.
func (h *rehearsalHost) Fatal(args ...any) {
	h.Errorf("%s", fmt.Sprint(args...))
	panic(errEndedEarly)
}

// Fatalf is Fatal with a format.
func (h *rehearsalHost) Fatalf(format string, args ...any) { h.Fatal(fmt.Sprintf(format, args...)) }

// recoverFatal returns the error for a panic by Fatal, and passes any other panic on.
func (h *rehearsalHost) recoverFatal(reason any) error {
	if err, ok := reason.(error); !ok || !errors.Is(err, errEndedEarly) {
		panic(reason)
	}
	return fmt.Errorf("%w: %s", errEndedEarly, strings.Join(h.failures, "; "))
}

// runCleanups ends what was started, last first.
func (h *rehearsalHost) runCleanups() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.cleanups) - 1; i >= 0; i-- {
		h.cleanups[i]()
	}
	h.cleanups = nil
}
