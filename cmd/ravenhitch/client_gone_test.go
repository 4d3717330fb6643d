package main

// This file lets clients leave at each place where a request can wait, and measures the
// time from there to the last attempt's first byte: no attempt may begin for who has gone.

import (
	"net"
	"testing"
	"time"

	"log/slog"

	"ravenhitch/internal/config"
	"ravenhitch/internal/testbed"
)

// goneMost is for how long a client may have been gone when an attempt begins, by the rules.
const goneMost = 100 * time.Millisecond

// waits is one place where a request can wait: hold brings it about that the client's
// request waits there, and returns how the wait ends.
type waits struct {
	name    string
	minions []string
	// unread says that the client's leave is read only once the wait has ended.
	unread bool
	hold   func(t *testing.T, f *field, client *testbed.Client) (end func())
}

// stand stops the loop at the point of a turn where what came in is read and nothing is
// decided yet. The turn ends when the returned function is called.
func (f *field) stand(t *testing.T) (end func()) {
	t.Helper()
	here, on := make(chan bool), make(chan bool)
	f.l.Post(func() {
		here <- true
		<-on
	})
	testbed.Wait(t, "the loop stands", here)
	return func() { on <- true }
}

// long lets the turn that stands last longer than a client may have been gone.
func (f *field) long() {
	for began := time.Now(); time.Since(began) < goneMost; time.Sleep(time.Millisecond) {
	}
}

var waitingPlaces = []waits{
	{"for a worker that takes offers", []string{"a"}, false, func(t *testing.T, f *field, client *testbed.Client) func() {
		f.feed.Add(false, f.minions[0].ListEntry("draining"))
		f.feed.WaitPolled(t)
		testbed.Send(client, leaver("ok-leaver"))
		f.until(t, "the request", func() bool { return f.c.OpenCount() == 1 })
		return func() { f.feed.Add(false, f.minions[0].ListEntry("up")) }
	}},
	{"between attempts, as the last one is not known to be over", []string{"a", "b"}, false, func(t *testing.T, f *field, client *testbed.Client) func() {
		testbed.Send(client, leaver("missed-leaver"))
		f.soon(t, "the first attempt", func() bool { return f.attempts.Count(leaverTag) == 1 })
		for _, m := range f.minions { // the first attempt's end is written, and has to be proved
			m.Note()
			f.links[m.Name].Delay(80 * time.Millisecond)
		}
		f.until(t, "its end is under way", func() bool { return f.nodes.UnconfirmedCancels() > 0 })
		return func() {}
	}},
	{"for a connection that comes up late", []string{"a"}, false, func(t *testing.T, f *field, client *testbed.Client) func() {
		link := f.away(t)
		testbed.Send(client, leaver("ok-leaver"))
		f.until(t, "the request", func() bool { return f.c.OpenCount() == 1 })
		return func() { link.Heal(t) }
	}},
	{"for a connection that comes up in the turn in which the leave is read", []string{"a"}, true, func(t *testing.T, f *field, client *testbed.Client) func() {
		link := f.away(t)
		testbed.Send(client, leaver("ok-leaver"))
		f.until(t, "the request", func() bool { return f.c.OpenCount() == 1 })
		end := f.stand(t)
		before, _ := f.minions[0].DialCounts()
		link.Heal(t)
		f.soon(t, "the connection", func() bool { n, _ := f.minions[0].DialCounts(); return n > before })
		return end
	}},
	{"for the rest of a long turn", []string{"a"}, true, func(t *testing.T, f *field, client *testbed.Client) func() {
		first := f.stand(t)
		testbed.Send(client, leaver("ok-leaver"))
		here, on := make(chan bool), make(chan bool)
		f.l.Post(func() { // in the turn that reads it
			here <- f.c.OpenCount() == 1
			<-on
		})
		first()
		if !testbed.Wait(t, "the turn", here) {
			t.Fatal("the request was not read in that turn")
		}
		return func() { on <- true }
	}},
	{"to be read", []string{"a"}, true, func(t *testing.T, f *field, client *testbed.Client) func() {
		end := f.stand(t)
		testbed.Send(client, leaver("ok-leaver"))
		return end
	}},
	{"behind answers that its client has not read", []string{"a"}, false, func(t *testing.T, f *field, client *testbed.Client) func() {
		f.feed.Add(false, f.minions[0].ListEntry("draining"))
		f.feed.WaitPolled(t)
		client.Conn = slowReader(t, f.world)
		testbed.Send(client, leaver("ok-leaver"))
		f.until(t, "the request", func() bool { return f.c.OpenCount() == 1 })
		return func() { f.feed.Add(false, f.minions[0].ListEntry("up")) }
	}},
}

var leaverTag = testbed.RequestID(0xbeef)

func leaver(task string) testbed.Line { return testbed.StartLine(leaverTag, "guide-web", task, 8000) }

// away moves the only worker to an address whose connections do not come up.
func (f *field) away(t *testing.T) *testbed.Proxy {
	t.Helper()
	link := testbed.NewProxy(t, f.minions[0])
	link.Cut(t)
	f.feed.Add(false, f.minions[0].ListEntry("up"))
	f.feed.WaitPolled(t)
	return link
}

// No attempt begins for a client that has gone, wherever its request waited and however it
// left. The time to the last attempt's first byte is logged; below zero it came before.
func TestNoAttemptAfterTheClient(t *testing.T) {
	for _, c := range waitingPlaces {
		for _, way := range []struct {
			name  string
			leave func(o *testbed.Client)
		}{
			{"closes", func(o *testbed.Client) { o.Close() }},
			{"resets", func(o *testbed.Client) { o.Conn.(*net.TCPConn).SetLinger(0); o.Close() }},
			{"cancels", func(o *testbed.Client) { testbed.Send(o, testbed.FinishLine("FINISH", leaverTag, 16)) }},
		} {
			t.Run(c.name+", "+way.name, func(t *testing.T) {
				t.Parallel()
				f := newGoneField(t, c.minions)
				client := f.world.owner(t)
				end := c.hold(t, f, client)
				tried := f.attempts.Count(leaverTag)
				left := time.Now()
				if way.leave(client); c.unread {
					f.long()
				} else {
					f.until(t, "the leave is read", func() bool { return f.c.OpenCount() == 0 })
				}
				end()
				f.until(t, "all ends are proved", func() bool { return f.nodes.UnconfirmedCancels() == 0 })
				f.allTaken(t, f.ask("ok", 1, 8000)) // by then what was to leave has left
				if n := f.attempts.Count(leaverTag) - tried; n > 0 {
					t.Errorf("%d attempts began after the client had gone, the last %s after", n, f.attempts.Last(leaverTag).Sub(left))
				}
				if last := f.attempts.Last(leaverTag); !last.IsZero() {
					t.Logf("from the leave to the last attempt's first byte: %s", last.Sub(left))
				}
			})
		}
	}
}

// newGoneField is a field where connections to workers may take long to come up.
func newGoneField(t *testing.T, minions []string) *field {
	f := &field{links: map[string]*testbed.Proxy{}, attempts: testbed.NewAttemptLog(), got: map[string]string{}}
	f.world = newWorldSet(t, settingsWith(t, change{"Limits.DialTimeoutUs", 10_000_000}), config.Operators{}, 1024,
		slog.New(slog.DiscardHandler), func(m *testbed.Worker) {
			m.Attempts = f.attempts
			f.links[m.Name] = testbed.NewProxy(t, m)
		}, minions...)
	f.Client = f.world.owner(t)
	f.allTaken(t, f.ask("ok", 1, 8000))
	f.allTaken(t, f.ask("ok", 16*len(minions), 8000)) // what is new to a worker waits no longer
	return f
}
