package eventloop

// This file tests which connections a listener accepts.

import (
	"os"
	"testing"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/testbed"
)

// A connection that epoll rejects ends unseen. Its handler was notified of the end alone, so that the count of a peer's
// pending connections, which begins with Opened, fell below zero, and its limit rose by one with each.
func TestUnwatchableConnectionEndsUnseen(t *testing.T) {
	loop, err := New(10)
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Close()
	file, err := os.CreateTemp(t.TempDir(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer testbed.CloseQuietly(file)
	fd, err := unix.Dup(int(file.Fd())) // epoll rejects regular files
	if err != nil {
		t.Fatal(err)
	}
	handler := newEchoHandler()
	loop.addAccepted(fd, &listener{accept: func() Handler { return handler }})
	if len(handler.opened)+len(handler.closed) > 0 {
		t.Errorf("opened %d times, closed %d times", len(handler.opened), len(handler.closed))
	}
	if _, err := unix.FcntlInt(uintptr(fd), unix.F_GETFD, 0); err == nil {
		t.Error("its descriptor is open")
	}
	if loop.FreeDescriptors() != 10 {
		t.Errorf("%d descriptors are free", loop.FreeDescriptors())
	}
}
