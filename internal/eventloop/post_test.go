package eventloop

// This file tests functions that are posted to a loop that is being closed or is closed.

import (
	"sync"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"
)

// openPipe opens a pipe that is closed at the end of the test.
func openPipe(t *testing.T) (readEnd, writeEnd int) {
	t.Helper()
	var ends [2]int
	if err := unix.Pipe2(ends[:], unix.O_NONBLOCK|unix.O_CLOEXEC); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		closeFD(ends[0])
		closeFD(ends[1])
	})
	return ends[0], ends[1]
}

// reuseNumber copies fd, and reports whether the copy got the number of a closed descriptor. Another part of the process
// may have got that number before. The copy is closed at the end of the test.
func reuseNumber(t *testing.T, number, fd int) bool {
	t.Helper()
	copied, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, number)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeFD(copied) })
	return copied == number
}

// expectEmpty checks that nothing was written to a pipe.
func expectEmpty(t *testing.T, readEnd int) {
	t.Helper()
	buffer := make([]byte, 64)
	if n, err := unix.Read(readEnd, buffer); err != unix.EAGAIN {
		t.Errorf("written after the close of the loop: got % x and error %v, want nothing", buffer[:max(0, n)], err)
	}
}

// TestPostAfterCloseWritesNothing checks that Post writes to no descriptor once the loop is closed. It guards against a
// fault in which Post wrote to the number of the closed wake descriptor. A client whose connection had been given that
// number then read these bytes ahead of a message.
func TestPostAfterCloseWritesNothing(t *testing.T) {
	closeInRounds(t, 10, func(loop *Loop, closeLoop func()) {
		closeLoop()
		loop.Post(func() { t.Error("a function that was posted to a closed loop was called") })
	})
}

// TestPostDuringCloseWritesNothing checks the same for calls of Post that begin before the loop is closed.
func TestPostDuringCloseWritesNothing(t *testing.T) {
	const goroutines = 4
	closeInRounds(t, 1000, func(loop *Loop, closeLoop func()) {
		var stopping atomic.Bool
		var posting, started sync.WaitGroup
		started.Add(goroutines)
		for range goroutines {
			posting.Go(func() {
				started.Done()
				for !stopping.Load() {
					loop.Post(func() {})
				}
			})
		}
		started.Wait()
		closeLoop()
		stopping.Store(true)
		posting.Wait()
	})
}

// closeInRounds calls f with a new loop in each round. When f calls closeLoop, the loop is closed and the number of its
// wake descriptor is given to a pipe. After the round, the pipe must be empty.
func closeInRounds(t *testing.T, rounds int, f func(loop *Loop, closeLoop func())) {
	t.Helper()
	checked := 0
	for range rounds {
		t.Run("", func(t *testing.T) {
			loop, err := New(10)
			if err != nil {
				t.Fatal(err)
			}
			readEnd, writeEnd := openPipe(t)
			f(loop, func() {
				loop.Close()
				if reuseNumber(t, loop.wakeFD, writeEnd) {
					checked++
				}
			})
			expectEmpty(t, readEnd)
		})
	}
	if checked == 0 {
		t.Errorf("rounds in which a pipe got the number of the wake descriptor: got 0 of %d, want 1 or more", rounds)
	}
}
