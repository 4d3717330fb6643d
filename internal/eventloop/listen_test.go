package eventloop

// This file tests which connections a listener accepts, and when it asks its admission to make capacity.

import (
	"os"
	"testing"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/nettest"
)

// countingAdmission is an Admission that never has capacity. MakeCapacity always succeeds and counts its
// calls.
type countingAdmission struct{ makeCapacityCalls int }

func (*countingAdmission) HasCapacity() bool    { return false }
func (a *countingAdmission) MakeCapacity() bool { a.makeCapacityCalls++; return true }

// TestCapacityIsMadeForThoseThatWait checks that a listener without capacity calls MakeCapacity once for each
// waiting connection, and does not call it if the accept queue is empty. It guards against a fault in which
// MakeCapacity was called before every accept, including the accept that finds no connection. MakeCapacity
// then ran 6 times for 3 connections, and closed the idle connection of a client although no connection was
// waiting.
func TestCapacityIsMadeForThoseThatWait(t *testing.T) {
	loop, onLoop := startLoop(t, 20)
	admission := &countingAdmission{}
	handler := newEchoHandler()
	var addr string
	onLoop(func() {
		var err error
		if addr, err = loop.Listen("127.0.0.1:0", admission, func() Handler { return handler }); err != nil {
			t.Error(err)
		}
	})
	const clients = 3
	for range clients {
		nettest.Dial(t, addr)
		testbed.Wait(t, "an accepted connection", handler.opened)
	}
	onLoop(func() {
		if admission.makeCapacityCalls != clients || loop.HasQueuedConnections() {
			t.Errorf("calls of MakeCapacity: got %d, want %d; HasQueuedConnections: got %v, want false",
				admission.makeCapacityCalls, clients, loop.HasQueuedConnections())
		}
	})
}

// TestNobodyWaitsAtAFullListener checks that HasQueuedConnections is false for a listener without capacity on
// which no connection is waiting. If it were true, it would delay a shutdown.
func TestNobodyWaitsAtAFullListener(t *testing.T) {
	loop, onLoop := startLoop(t, 20)
	full := false
	handler := newEchoHandler()
	var addr string
	onLoop(func() {
		var err error
		admission := AdmissionFunc(func() bool { return !full })
		addr, err = loop.Listen("127.0.0.1:0", admission, func() Handler { full = true; return handler })
		if err != nil {
			t.Error(err)
		}
	})
	nettest.Dial(t, addr)
	testbed.Wait(t, "the accepted connection", handler.opened)
	onLoop(func() {
		if loop.HasQueuedConnections() {
			t.Error("HasQueuedConnections: got true, want false as no connection is waiting")
		}
	})
}

// TestUnwatchableConnectionEndsUnseen checks that the handler of a connection that epoll rejects is not notified. It
// guards against a fault in which the handler was notified of the close only. In package peer, Opened increments the
// count of pending inbound connections and Closed decrements it. The count then fell below zero, and each such close
// let one more connection be pending than the limit allows.
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
		t.Errorf("handler calls: got %d of Opened and %d of Closed, want none", len(handler.opened), len(handler.closed))
	}
	if _, err := unix.FcntlInt(uintptr(fd), unix.F_GETFD, 0); err == nil {
		t.Error("the descriptor of the rejected connection is still open")
	}
	if loop.FreeDescriptors() != 10 {
		t.Errorf("free descriptors: got %d, want 10", loop.FreeDescriptors())
	}
}
