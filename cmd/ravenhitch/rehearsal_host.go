package main

// This file implements the host that the testbed uses in a rehearsal in place of a test: it prints log lines,
// records failures and runs cleanups. It never ends the process.

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
)

// errEndedEarly is wrapped by the error of a rehearsal that ended before its schedule was completed.
var errEndedEarly = errors.New("the rehearsal ended early")

// rehearsalHost is the testbed.Host of a rehearsal. Fatal and Fatalf end the rehearsal by a panic, which
// rehearseCommand.Run recovers, so only the goroutine of Run may call them. Any goroutine may call the other
// methods of testbed.Host.
type rehearsalHost struct {
	out      io.Writer
	mu       sync.Mutex
	cleanups []func()
	failures []string
}

// printf prints progress. It ignores write errors: a rehearsal continues even if its output cannot be written.
func (h *rehearsalHost) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(h.out, format, args...)
}

// Helper implements testbed.Host and does nothing.
func (h *rehearsalHost) Helper() {}

// Cleanup registers f to be called at the end of the rehearsal.
func (h *rehearsalHost) Cleanup(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cleanups = append(h.cleanups, f)
}

// Logf prints a line.
func (h *rehearsalHost) Logf(format string, args ...any) { h.printf(format+"\n", args...) }

// Errorf records a failure. The rehearsal continues.
func (h *rehearsalHost) Errorf(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = append(h.failures, fmt.Sprintf(format, args...))
}

// Fatal records a failure and ends the rehearsal by a panic with errEndedEarly.
func (h *rehearsalHost) Fatal(args ...any) {
	h.Errorf("%s", fmt.Sprint(args...))
	panic(errEndedEarly)
}

// Fatalf formats its arguments and then does what Fatal does.
func (h *rehearsalHost) Fatalf(format string, args ...any) { h.Fatal(fmt.Sprintf(format, args...)) }

// recoverFatal returns the error of a rehearsal that Fatal ended, given the recovered value of the panic. For
// the value of any other panic, it panics again.
func (h *rehearsalHost) recoverFatal(reason any) error {
	if err, ok := reason.(error); !ok || !errors.Is(err, errEndedEarly) {
		panic(reason)
	}
	return fmt.Errorf("%w: %s", errEndedEarly, strings.Join(h.failures, "; "))
}

// runCleanups calls the registered cleanups, the last registered first.
func (h *rehearsalHost) runCleanups() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.cleanups) - 1; i >= 0; i-- {
		h.cleanups[i]()
	}
	h.cleanups = nil
}
