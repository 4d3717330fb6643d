package eventloop

import (
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// What was read of a connection up to now tells up to when it was heard: where a turn leaves
// something unread that is before it was written, else when the turn began.
func TestHeardAt(t *testing.T) {
	l, on := run(t, 10)
	near, far := three(t, l, on)
	took := make(chan int, 100)
	on(func() {
		l.buf = make([]byte, 16)
		near[0].h = &echo{closed: make(chan error, 1), take: func(_ *Conn, b []byte) (int, error) {
			took <- len(b)
			return len(b), nil
		}}
	})
	began := int64(0)
	heard := func() (at int64) {
		on(func() { at = near[0].LastSeenAt() })
		return at
	}
	on(func() { // what is written here is read from the next turn on, 64 bytes in each
		began = l.clock()
		if _, err := far[0].Write(make([]byte, 200)); err != nil {
			t.Error(err)
		}
		l.Post(func() {
			if at := near[0].LastSeenAt(); at > began {
				t.Errorf("half read, and heard up to %d us after it was written", at-began)
			}
		})
	})
	for n := 0; n < 200; n += testbed.Wait(t, "what was written", took) {
	}
	if at := heard(); at <= began {
		t.Errorf("all was read, and it is heard up to %d us before that was written", began-at)
	}
	on(func() {
		if near[1].left >= l.heardPoll {
			t.Error("a quiet connection counts as not read")
		}
	})
}

// A quiet connection counts as heard also while more others are ready in every turn than one
// poll told of at first.
func TestHeardAmongManyThatAreReady(t *testing.T) {
	const pairs = eventsMost + 64
	l, on := run(t, 3*pairs)
	addr := ""
	on(func() {
		var err error
		if addr, err = l.Listen("127.0.0.1:0", anywhere, func() Handler { return newEcho() }); err != nil {
			t.Error(err)
		}
	})
	quiet, _ := three(t, l, on)
	on(func() {
		for range pairs { // each sends one byte to and fro
			opened := &echo{opened: make(chan error, 1), closed: make(chan error, 1),
				take: func(c *Conn, b []byte) (int, error) { c.Write(b); return len(b), nil }}
			c, err := l.Dial(addr, 10_000_000, opened)
			if err != nil {
				t.Error(err)
				return
			}
			l.After(500_000, func() { c.Write([]byte{1}) })
		}
	})
	since, ready := int64(0), false
	for limit := time.Now().Add(10 * time.Second); !ready && time.Now().Before(limit); time.Sleep(time.Millisecond) {
		on(func() { ready = l.held >= 2*pairs && l.Now() > l.began.UnixMicro()+700_000 })
	}
	on(func() { since = l.clock() })
	for limit := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		at := int64(0)
		on(func() { at = quiet[0].LastSeenAt() })
		if at > since {
			return
		}
		if time.Now().After(limit) {
			t.Fatal("a quiet connection was not heard in 10 s")
		}
	}
}
