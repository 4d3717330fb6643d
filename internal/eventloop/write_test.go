package eventloop

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/nettest"
)

// Given more than the system takes at once, it arrives completely and in order, both ways.
func TestPartialWrites(t *testing.T) {
	loop, onLoop := startLoop(t, 10)
	handler := newEchoHandler()
	var addr string
	onLoop(func() {
		var err error
		if addr, err = loop.Listen("127.0.0.1:0", admitAll, func() Handler { return handler }); err != nil {
			t.Error(err)
		}
	})
	conn := nettest.Dial(t, addr)
	want := bytes.Repeat([]byte("0123456789abcdef"), 120_000)
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(want)
		written <- err
	}()

	got := make([]byte, len(want))
	if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, want) {
		t.Errorf("what came back differs (%v)", err)
	}
	if err := testbed.Wait(t, "the write", written); err != nil {
		t.Error(err)
	}
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
	if err := testbed.Wait(t, "the end", handler.closed); !errors.Is(err, ErrEOF) {
		t.Errorf("ended with %v", err)
	}
}

// writeUntilClosed writes to a connection and reads nothing.
func writeUntilClosed(conn net.Conn) {
	for b := make([]byte, 1<<20); ; {
		if _, err := conn.Write(b); err != nil {
			return
		}
	}
}

// Given a client that does not read, its connection ends with ErrOverflow, and others go on.
func TestOverflow(t *testing.T) {
	loop, onLoop := startLoop(t, 10)
	var addr string
	handlers := make(chan *testHandler, 2)
	onLoop(func() {
		loop.SetMaxBuffered(64 << 10)
		var err error
		addr, err = loop.Listen("127.0.0.1:0", admitAll, func() Handler {
			handler := newEchoHandler()
			handlers <- handler
			return handler
		})
		if err != nil {
			t.Error(err)
		}
	})

	unread := nettest.Dial(t, addr)
	handler := testbed.Wait(t, "the client that does not read", handlers)
	go writeUntilClosed(unread)
	if err := testbed.Wait(t, "the end", handler.closed); !errors.Is(err, ErrOverflow) {
		t.Errorf("ended with %v", err)
	}

	other := nettest.Dial(t, addr)
	write(t, other, []byte("x"))
	if n, err := other.Read(make([]byte, 1)); n != 1 {
		t.Errorf("the other one got %v", err)
	}
}

// What is flushed or closed amid a turn is sent before that turn's ordinary writes, though those were requested first.
func TestFlushAndCloseAreSentAheadOfTheTurn(t *testing.T) {
	loop, onLoop := startLoop(t, 10)
	local, remote := connectThree(t, loop, onLoop)
	onLoop(func() {
		local[0].Write([]byte("last"))
		local[1].Write([]byte("first"))
		if !local[1].Flush() {
			t.Error("the system did not take five bytes")
		}
		local[2].Close()
		b := make([]byte, 10)
		for i, want := range []string{"", "first", ""} {
			setReadDeadline(t, remote[i], time.Now().Add(50*time.Millisecond))
			n, err := remote[i].Read(b)
			if string(b[:n]) != want || (i == 2) != errors.Is(err, io.EOF) {
				t.Errorf("connection %d, amid the turn: %q, %v", i, b[:n], err)
			}
		}
		if loop.FreeDescriptors() != 10-2 {
			t.Errorf("%d descriptors are free after a close", loop.FreeDescriptors())
		}
		setReadDeadline(t, remote[0], time.Time{})
	})
	if n, err := remote[0].Read(make([]byte, 10)); n != 4 {
		t.Errorf("after the turn: %d bytes, %v", n, err)
	}
}

// An abort takes back what the other side has not received, and resets the connection.
func TestAbort(t *testing.T) {
	loop, onLoop := startLoop(t, 10)
	local, remote := connectThree(t, loop, onLoop)
	const maxBuffered = 64 << 20
	onLoop(func() {
		loop.SetMaxBuffered(maxBuffered)
		local[0].Write(make([]byte, maxBuffered))
		if local[0].Flush() {
			t.Error("the system took more than it can buffer")
		}
		local[0].Abort()
		local[0].Abort()
	})
	if n, err := io.Copy(io.Discard, remote[0]); !errors.Is(err, unix.ECONNRESET) || n >= maxBuffered {
		t.Errorf("%d bytes, then %v", n, err)
	}
}

// drainHandler reports when it is notified that the system has taken all.
type drainHandler struct{ opened, drained chan struct{} }

func (h *drainHandler) Opened(*Conn)                         { h.opened <- struct{}{} }
func (h *drainHandler) Data(_ *Conn, in []byte) (int, error) { return len(in), nil }
func (h *drainHandler) Closed(*Conn, error)                  {}
func (h *drainHandler) Drained(*Conn)                        { h.drained <- struct{}{} }

// Given a connection whose other side reads on before the end of the turn, it is written to then, and its handler
// notified, as no event comes any more.
func TestDrainedWithinTheTurn(t *testing.T) {
	const chunkSize = 64 << 10
	listener := nettest.Listen(t)
	handler := &drainHandler{opened: make(chan struct{}, 1), drained: make(chan struct{}, 10)}
	loop, onLoop := startLoop(t, 10)
	var local *Conn
	onLoop(func() {
		var err error
		if local, err = loop.Dial(listener.Addr().String(), 1_000_000, handler); err != nil {
			t.Error(err)
		}
	})
	remote := nettest.Accept(t, listener)
	testbed.Wait(t, "the connection", handler.opened)
	testbed.Wait(t, "the first turn's notification", handler.drained)

	onLoop(func() {
		for local.Write(make([]byte, chunkSize)); local.Flush(); {
			local.Write(make([]byte, chunkSize))
		}
		if _, err := io.CopyN(io.Discard, remote, 16*chunkSize); err != nil { // before the end of the turn
			t.Error(err)
		}
	})
	testbed.Wait(t, "the notification that the system has taken all", handler.drained)
}
