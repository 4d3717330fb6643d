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
)

// echo sends back what it gets; its fields tell a test what happened.
type echo struct {
	opened, closed chan error
	take           func(c *Conn, b []byte) (int, error)
}

func newEcho() *echo {
	return &echo{opened: make(chan error, 10), closed: make(chan error, 10),
		take: func(c *Conn, b []byte) (int, error) { c.Write(b); return len(b), nil }}
}

func (e *echo) Opened(*Conn)                        { e.opened <- nil }
func (e *echo) Data(c *Conn, b []byte) (int, error) { return e.take(c, b) }
func (e *echo) Closed(_ *Conn, err error)           { e.closed <- err }
func anywhere() bool                                { return true }

func run(t *testing.T, budget int) (*Loop, func(f func())) {
	l, err := New(budget)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := l.Run(func(int64) {}); err != nil {
			t.Error(err)
		}
		l.Close()
	}()
	t.Cleanup(func() { l.Post(l.Stop); <-done })
	return l, func(f func()) {
		t.Helper()
		ok := make(chan bool, 1)
		l.Post(func() { f(); ok <- true })
		testbed.Wait(t, "the loop", ok)
	}
}

// More than the system takes at once goes out whole, in order, both ways.
func TestPartialWrites(t *testing.T) {
	l, on := run(t, 10)
	var addr string
	h := newEcho()
	on(func() {
		var err error
		if addr, err = l.Listen("127.0.0.1:0", anywhere, func() Handler { return h }); err != nil {
			t.Error(err)
		}
	})
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	want := bytes.Repeat([]byte("0123456789abcdef"), 120_000)
	go c.Write(want)
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, want) {
		t.Errorf("what came back differs (%v)", err)
	}
	c.Close()
	if err := testbed.Wait(t, "the end", h.closed); !errors.Is(err, ErrEOF) {
		t.Errorf("ended with %v", err)
	}
}

// One that does not read is cut off, and others go on.
func TestOverflow(t *testing.T) {
	l, on := run(t, 10)
	var addr string
	hs := make(chan *echo, 2)
	on(func() {
		l.SetMaxBuffered(64 << 10)
		addr, _ = l.Listen("127.0.0.1:0", anywhere, func() Handler { h := newEcho(); hs <- h; return h })
	})
	deaf, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer deaf.Close()
	h := testbed.Wait(t, "the deaf one", hs)
	go func() {
		for b := make([]byte, 1<<20); ; {
			if _, err := deaf.Write(b); err != nil {
				return
			}
		}
	}()
	if err := testbed.Wait(t, "the end", h.closed); !errors.Is(err, ErrOverflow) {
		t.Errorf("ended with %v", err)
	}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("x"))
	if n, err := c.Read(make([]byte, 1)); n != 1 {
		t.Errorf("the other one got %v", err)
	}
}

func TestDial(t *testing.T) {
	l, on := run(t, 3)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	up, refused := newEcho(), newEcho()
	var c *Conn
	on(func() {
		c, err = l.Dial(ln.Addr().String(), 250_000, up)
		if _, err := l.Dial(closed.Addr().String(), 250_000, refused); err != nil {
			refused.closed <- err
		}
	})
	testbed.Wait(t, "the connection", up.opened)
	if err := testbed.Wait(t, "the refusal", refused.closed); !errors.Is(err, unix.ECONNREFUSED) {
		t.Errorf("refused with %v", err)
	}
	on(func() {
		for range 2 {
			if _, err := l.Dial(ln.Addr().String(), 250_000, newEcho()); err != nil {
				t.Errorf("within the budget: %v", err)
			}
		}
		if _, err := l.Dial(ln.Addr().String(), 250_000, newEcho()); !errors.Is(err, ErrBudget) {
			t.Errorf("over the budget: %v", err)
		}
		if _, err := l.Dial("nowhere", 250_000, newEcho()); err == nil {
			t.Error("an address that is none was dialled")
		}
	})
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	on(func() {
		c.Write([]byte("last words"))
		c.Close()
		c.Close()
	})
	if b, err := io.ReadAll(peer); err != nil || string(b) != "last words" {
		t.Errorf("got %q, %v", b, err)
	}
	on(func() {
		if l.FreeDescriptors() != 1 {
			t.Errorf("%d descriptors are free", l.FreeDescriptors())
		}
	})
}

// A connection that does not come up ends at its time.
func TestDialTimeout(t *testing.T) {
	l, on := run(t, 100)
	// A queue of one that nobody empties: what comes after it never comes up.
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(fd)
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sa, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: sa.(*unix.SockaddrInet4).Port}
	closed := make(chan error, 10)
	on(func() {
		for range 6 {
			h := newEcho()
			h.closed = closed
			if _, err := l.Dial(addr.String(), 100_000, h); err != nil {
				t.Error(err)
			}
		}
	})
	if err := testbed.Wait(t, "the time's end", closed); !errors.Is(err, ErrTimeout) {
		t.Errorf("ended with %v", err)
	}
}

func TestTimers(t *testing.T) {
	l, on := run(t, 2)
	var order []int
	done := make(chan bool, 1)
	on(func() {
		l.After(3000, func() { order = append(order, 2); done <- true })
		l.After(1000, func() { order = append(order, 1) })
		stopped := l.After(2000, func() { order = append(order, 9) })
		stopped.Stop()
		if stopped.Pending() {
			t.Error("a stopped timer is pending")
		}
	})
	testbed.Wait(t, "the timers", done)
	on(func() {
		if len(order) != 2 || order[0] != 1 {
			t.Errorf("called in order %v", order)
		}
	})
}

// early notes for each message when it came at the earliest.
type early struct {
	l     *Loop
	since chan int64
}

func (*early) Opened(*Conn)        {}
func (*early) Closed(*Conn, error) {}
func (e *early) Data(c *Conn, b []byte) (int, error) {
	e.since <- c.EarliestArrival()
	return len(b), nil
}

// What lay in the socket while a turn lasted counts from before that turn; what came
// to an idle connection counts from the last look at it, not from its last message.
func TestSince(t *testing.T) {
	l, err := New(8)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	e := &early{l, make(chan int64, 10)}
	addr, err := l.Listen("127.0.0.1:0", func() bool { return true }, func() Handler { return e })
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var mark int64
	ended := make(chan error, 1)
	go func() { ended <- l.Run(func(int64) {}) }()
	on := func(f func()) {
		done := make(chan struct{})
		l.Post(func() { f(); close(done) })
		<-done
	}
	on(func() {})
	c.Write([]byte("a"))
	<-e.since
	on(func() {})
	on(func() { mark = l.clock() }) // an idle turn: the connection was found empty
	on(func() {})
	c.Write([]byte("b"))
	if at := <-e.since; at < mark {
		t.Errorf("a message to an idle connection counts from %d us before it was found empty", mark-at)
	}
	var busy int64
	on(func() { // a long turn, with a message that comes early in it
		busy = l.clock()
		c.Write([]byte("c"))
		for l.clock() < busy+20_000 {
		}
	})
	if at := <-e.since; at > busy {
		t.Errorf("a message that came in a long turn counts from %d us later", at-busy)
	}
	l.Post(l.Stop)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// three dials three connections to a listener of the test's own; it returns both ends.
func three(t *testing.T, l *Loop, on func(func())) (near [3]*Conn, far [3]net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	for i := range near {
		h := newEcho()
		on(func() {
			if near[i], err = l.Dial(ln.Addr().String(), 10_000_000, h); err != nil {
				t.Error(err)
			}
		})
		testbed.Wait(t, "the connection", h.opened)
		if far[i], err = ln.Accept(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { far[i].Close() })
	}
	return near, far
}

// What is pushed or closed amid a turn is out before that turn's ordinary writes,
// though those were asked for first.
func TestAheadOfTheTurn(t *testing.T) {
	l, on := run(t, 10)
	near, far := three(t, l, on)
	on(func() {
		near[0].Write([]byte("last"))
		near[1].Write([]byte("first"))
		if !near[1].Flush() {
			t.Error("the system did not take five bytes")
		}
		near[2].Close()
		b := make([]byte, 10)
		for i, want := range []string{"", "first", ""} {
			far[i].SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			n, err := far[i].Read(b)
			if string(b[:n]) != want || (i == 2) != errors.Is(err, io.EOF) {
				t.Errorf("connection %d, amid the turn: %q, %v", i, b[:n], err)
			}
		}
		if l.FreeDescriptors() != 10-2 {
			t.Errorf("%d descriptors are free after a close", l.FreeDescriptors())
		}
		far[0].SetReadDeadline(time.Time{})
	})
	if n, err := far[0].Read(make([]byte, 10)); n != 4 {
		t.Errorf("after the turn: %d bytes, %v", n, err)
	}
}

// An abort takes back what the other side has not got, and says so.
func TestAbort(t *testing.T) {
	l, on := run(t, 10)
	near, far := three(t, l, on)
	const most = 64 << 20
	on(func() {
		l.SetMaxBuffered(most)
		near[0].Write(make([]byte, most))
		if near[0].Flush() {
			t.Error("the system took more than it can hold")
		}
		near[0].Abort()
		near[0].Abort()
	})
	if n, err := io.Copy(io.Discard, far[0]); !errors.Is(err, unix.ECONNRESET) || n >= most {
		t.Errorf("%d bytes, then %v", n, err)
	}
}

// bulk notes when it is told to go on.
type bulk struct{ opened, drained chan struct{} }

const bulkPart = 64 << 10

func (b *bulk) Opened(*Conn)                         { b.opened <- struct{}{} }
func (b *bulk) Data(_ *Conn, in []byte) (int, error) { return len(in), nil }
func (b *bulk) Closed(*Conn, error)                  {}
func (b *bulk) Drained(*Conn)                        { b.drained <- struct{}{} }

// A connection whose other side reads on before the end of the turn is written to then, and its
// handler told, as no event comes any more.
func TestDrainedWithinTheTurn(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	b := &bulk{opened: make(chan struct{}, 1), drained: make(chan struct{}, 10)}
	l, on := run(t, 10)
	var written *Conn
	on(func() {
		if written, err = l.Dial(ln.Addr().String(), 1_000_000, b); err != nil {
			t.Error(err)
		}
	})
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	testbed.Wait(t, "the connection", b.opened)
	testbed.Wait(t, "the first turn's word", b.drained)
	on(func() {
		for written.Write(make([]byte, bulkPart)); written.Flush(); {
			written.Write(make([]byte, bulkPart))
		}
		if _, err := io.CopyN(io.Discard, c, 16*bulkPart); err != nil { // before the end of the turn
			t.Error(err)
		}
	})
	testbed.Wait(t, "the word that the system has taken all", b.drained)
}
