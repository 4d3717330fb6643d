package main

// This file owns the retries of system calls while the process starts or reloads its files. Without them, operators would
// have to start the process again, or to repeat the signal, because of an error that passes.

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

const (
	transientTimeout = 5 * time.Second
	transientDelay   = 10 * time.Millisecond
)

// transientErrors are the errors of system calls that pass by themselves: the system lacks descriptors, memory or
// buffers, the call was interrupted, or a read has failed.
var transientErrors = []unix.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EAGAIN, unix.EINTR, unix.EIO}

// errStopped is returned if a signal ends the process before it serves.
var errStopped = errors.New("stopped before the start was complete")

// retryTransient calls f until it returns no transient error, for at most transientTimeout, and returns the last error.
// If ctx ends between two calls, retryTransient returns errStopped. It blocks, so it must not be called on a running event
// loop. action names what is delayed in the log.
func retryTransient(ctx context.Context, log *slog.Logger, action string, f func() error) error {
	deadline := time.Now().Add(transientTimeout)
	for retries := 0; ; retries++ {
		err := f()
		if !isTransient(err) || time.Now().After(deadline) {
			return err
		}
		if retries == 0 {
			log.Warn(action+" delayed", "err", err)
		}
		select {
		case <-ctx.Done():
			return errStopped
		case <-time.After(transientDelay):
		}
	}
}

func isTransient(err error) bool {
	var errno unix.Errno
	return errors.As(err, &errno) && slices.Contains(transientErrors, errno)
}
