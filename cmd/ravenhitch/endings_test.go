package main

// This file plays the instants at which something ends while something is still owed, one
// crossing a test. What opens and closes a crossing is an event, never a time that passes.

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"ravenhitch/internal/config"
	"ravenhitch/internal/testbed"
)

// A minion that refuses connections and says nothing on those that it has is gone, and
// nobody else will tell of what stood there. One that only takes no further connections is
// not: what stands there ends by its own word.
func TestMinionsThatRefuse(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(t *testing.T, m *testbed.Worker, e *early)
		want int
	}{
		{"gone without a word", func(_ *testing.T, m *testbed.Worker, _ *early) { m.Vanish() }, 41},
		{"gone with a close and no reset", func(_ *testing.T, m *testbed.Worker, _ *early) { m.CloseGracefully() }, 41},
		{"deaf, and there", func(t *testing.T, m *testbed.Worker, e *early) {
			m.RefuseConnections()
			for limit := time.Now().Add(3 * testbed.Patience); e.spell() < 2*deadRefuse; time.Sleep(time.Millisecond) {
				if time.Now().After(limit) {
					t.Fatal("it was not called on for long")
				}
			}
			m.SendFinish(testbed.RequestID(1), 16)
		}, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := &early{Handler: slog.DiscardHandler, gone: map[string]int64{}}
			w := newWorldBy(t, config.Operators{}, 1024, slog.New(e), func(*testbed.Worker) {}, "a")
			o := w.owner(t)
			testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			if l := testbed.Wait(t, "the answer", o.Lines); l.Verb != "STARTED" {
				t.Fatalf("got %v", l)
			}
			c.play(t, w.minions[0], e)
			if l := testbed.Wait(t, "the end", o.Lines); l.Tag != testbed.RequestID(1) || l.Cause() != c.want {
				t.Errorf("got %v, expected %d", l, c.want)
			}
		})
	}
}

// deadRefuse is how long what refuses and is silent lives at the most.
const deadRefuse = 2 * time.Second

// running is a set-up of a task that a minion holds already.
func running(tag, minion string) testbed.Line {
	l := testbed.StartLine(tag, "guide-web", "ok-"+tag, 5000)
	l.Opts["extras"] += ";at:" + minion
	return l
}

// asked lets an owner test the program, and so what it sent before is read.
func asked(t *testing.T, o *testbed.Client) {
	t.Helper()
	testbed.Send(o, testbed.Line{Verb: "ECHO", Tag: "t", Opts: map[string]string{}})
	l := testbed.Wait(t, "the test", o.Lines)
	if l.Verb == "FINISHED" { // heard of a release sent before
		l = testbed.Wait(t, "the test", o.Lines)
	}
	if l.Verb != "ECHOED" {
		t.Fatalf("got %v", l)
	}
}

// Whoever repeats the set-up of a task that runs gets nothing of it: the end goes to who
// handed it in, and where that one is gone to one that a task was started for.
func TestEndGoesToItsOwner(t *testing.T) {
	w := newWorld(t, "a")
	first, served, second := w.owner(t), w.owner(t), w.owner(t)
	for i := 1; i <= 2; i++ {
		testbed.Send(first, running(testbed.RequestID(i), "a"))
	}
	asked(t, first)
	testbed.Send(served, testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-3", 5000))
	if l := testbed.Wait(t, "the answer", served.Lines); l.Verb != "STARTED" {
		t.Fatalf("got %v", l)
	}
	for i := 1; i <= 2; i++ {
		testbed.Send(second, running(testbed.RequestID(i), "a"))
	}
	testbed.Send(second, running(testbed.RequestID(4), "a")) // one that nobody else knows of
	asked(t, second)
	w.minions[0].End(testbed.RequestID(1), 16)
	wantCause(t, "the end", first, testbed.RequestID(1), 16)
	first.Close()
	w.until(t, "its connection is gone", func() bool { return w.front.Connections() == 2 })
	w.minions[0].End(testbed.RequestID(2), 16)
	wantCause(t, "the second end", served, testbed.RequestID(2), 16)
	for range 9 { // some that only speak
		asked(t, w.owner(t))
	}
	served.Close()
	w.until(t, "its connection is gone", func() bool { return w.front.Connections() == 10 })
	w.minions[0].End(testbed.RequestID(3), 16)
	wantCause(t, "the third end", second, testbed.RequestID(3), 16)
}

// An end that found no owner waits for one that is known to be, while others come that may
// be anybody; where only those come, it goes to one of them in time.
func TestEndWaitsForAnOwner(t *testing.T) {
	faulty := testbed.StartLine(testbed.RequestID(2), "no-such-class", "ok-2", 5000)
	for _, c := range []struct {
		name string
		says []testbed.Line // the one that gets the end
		hear []string       // and what it hears before that, where nobody else is there
	}{
		{"a task is started for it", []testbed.Line{testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-3", 5000)}, nil},
		{"it says where one runs", []testbed.Line{running(testbed.RequestID(4), "a"), faulty}, nil},
		{"it tests, as the platform does", []testbed.Line{{Verb: "ECHO", Tag: "t", Opts: map[string]string{}}}, nil},
		{"nobody better comes", []testbed.Line{faulty}, []string{"FINISH"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, "a")
			first := w.owner(t)
			testbed.Send(first, running(testbed.RequestID(1), "a"))
			testbed.Send(first, running(testbed.RequestID(5), "a"))
			asked(t, first)
			first.Close()
			w.until(t, "no owner", func() bool { return w.front.Connections() == 0 })
			w.minions[0].End(testbed.RequestID(1), 16)
			w.until(t, "the end here", func() bool { return w.c.RunningCount() == 1 })
			bad := w.owner(t)
			testbed.Send(bad, running(testbed.RequestID(5), "a")) // which it may have heard of
			testbed.Send(bad, faulty)
			if l := testbed.Wait(t, "the error", bad.Lines); l.Tag != testbed.RequestID(2) || l.Cause() != 47 {
				t.Fatalf("got %v", l)
			}
			if len(c.hear) > 0 {
				bad.Close()
				w.until(t, "nobody", func() bool { return w.front.Connections() == 0 })
			}
			good := w.owner(t)
			for _, l := range c.says {
				testbed.Send(good, l)
			}
			for _, verb := range c.hear {
				if l := testbed.Wait(t, "what comes before", good.Lines); l.Verb != verb || l.Tag == testbed.RequestID(1) {
					t.Fatalf("got %v", l)
				}
			}
			wantCause(t, "the end", good, testbed.RequestID(1), 16)
		})
	}
}

// A task may be over before its minion was to say yes: the minion says both in one, and so
// the owner is told both, of whatever class, and nothing is sent again.
func TestOverBeforeItsYes(t *testing.T) {
	w := newWorld(t, "a", "b")
	o := w.owner(t)
	for i, class := range []string{"guide-web", "archive-cut"} {
		task := "brief-" + class
		testbed.Send(o, testbed.StartLine(testbed.RequestID(i+1), class, task, 5000))
		l := testbed.Wait(t, "the answer", o.Lines)
		if l.Verb != "STARTED" || l.Tag != testbed.RequestID(i+1) || !strings.HasSuffix(*l.Blob, " held about "+task) {
			t.Fatalf("%s got %v", task, l)
		}
		if l := testbed.Wait(t, "the end", o.Lines); l.Verb != "FINISH" || l.Tag != testbed.RequestID(i+1) || l.Cause() != 16 {
			t.Errorf("%s got %v", task, l)
		}
		if n := w.minions[0].StartCount(task) + w.minions[1].StartCount(task); n != 1 {
			t.Errorf("%s was offered %d times", task, n)
		}
	}
	if n := w.c.RunningCount(); n != 0 {
		t.Errorf("%d stand", n)
	}
}

// A copy of a refusal, which some minions send late and on any connection, ends no task
// that was started since.
func TestLateCopyOfARefusal(t *testing.T) {
	w := newWorld(t, "a")
	o := w.owner(t)
	testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	if l := testbed.Wait(t, "the answer", o.Lines); l.Verb != "STARTED" {
		t.Fatalf("got %v", l)
	}
	for _, rc := range []int{34, 102, 16} {
		w.minions[0].End(testbed.RequestID(1), rc)
	}
	wantCause(t, "the end", o, testbed.RequestID(1), 16)
}

// Nothing goes out for a request whose owner left while it waited, however it left and
// whatever it waited for.
func TestNothingGoesOutForWhoLeft(t *testing.T) {
	ways := []struct {
		name  string
		leave func(o *testbed.Client)
	}{
		{"by word", func(o *testbed.Client) { testbed.Send(o, testbed.FinishLine("FINISH", testbed.RequestID(1), 16)) }},
		{"by close", func(o *testbed.Client) { o.Close() }},
		{"by reset", func(o *testbed.Client) { o.Conn.(*net.TCPConn).SetLinger(0); o.Close() }},
		{"by half a close", func(o *testbed.Client) { o.Conn.(*net.TCPConn).CloseWrite() }},
	}
	for _, c := range []struct {
		name string
		// hold makes set-ups wait from now on, until what it returns is called.
		hold func(t *testing.T, w *world) (free func())
		read bool // meanwhile they are
	}{
		{"for a node that takes offers", func(t *testing.T, w *world) func() {
			w.feed.Add(false, w.minions[0].ListEntry("draining"))
			w.feed.WaitPolled(t)
			return func() { w.feed.Add(false, w.minions[0].ListEntry("up")) }
		}, true},
		{"for a connection that comes up late", func(t *testing.T, w *world) func() {
			link := testbed.NewProxy(t, w.minions[0])
			link.Cut(t)
			w.feed.Add(false, w.minions[0].ListEntry("up")) // it moves there
			w.feed.WaitPolled(t)
			return func() { link.Heal(t) }
		}, true},
		{"to be read", func(t *testing.T, w *world) func() {
			held, on := make(chan bool), make(chan bool)
			w.l.Post(func() {
				held <- true
				<-on
			})
			<-held
			return func() { on <- true }
		}, false},
	} {
		for _, way := range ways {
			t.Run(c.name+", "+way.name, func(t *testing.T) {
				t.Parallel()
				w := newWorldSet(t, settingsWith(t, change{"Limits.DialTimeoutUs", 10_000_000}), config.Operators{}, 1024,
					slog.New(slog.DiscardHandler), func(*testbed.Worker) {}, "a")
				w.until(t, "a connection to the minion", func() bool { n, _ := w.minions[0].DialCounts(); return n > 0 })
				free := c.hold(t, w)
				o := w.owner(t)
				testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
				if c.read {
					w.until(t, "the set-up", func() bool { return w.c.OpenCount() == 1 })
				}
				if way.leave(o); c.read {
					w.until(t, "it left", func() bool { return w.c.OpenCount() == 0 })
				}
				free()
				next := w.owner(t)
				testbed.Send(next, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 5000))
				if l := testbed.Wait(t, "the offer", w.minions[0].Starts); l.Tag != testbed.RequestID(2) {
					t.Errorf("%s was offered", l.Tag)
				}
				if l := testbed.Wait(t, "the answer", next.Lines); l.Verb != "STARTED" {
					t.Errorf("got %v", l)
				}
				if n := len(w.minions[0].Starts); n > 0 {
					t.Errorf("%d offers more", n)
				}
			})
		}
	}
}

// slowReader connects an owner that has more answers to read than the system takes.
func slowReader(t *testing.T, w *world) net.Conn {
	// A room of its own for what it has not read: the system would go on widening it.
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	o, err := d.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { o.Close() })
	kept := 0 // turns in which something was left since the last was sent
	w.until(t, "more answers than the system takes", func() bool {
		if kept++; w.front.HasUndelivered() {
			return kept == 5
		}
		kept = 0
		for range 100 {
			testbed.Send(o, testbed.Line{Verb: "ECHO", Tag: strings.Repeat("t", 64), Opts: map[string]string{}})
		}
		return false
	})
	return o
}

// Who has not read its answer yet does not lose its connection to one that waits for a place.
func TestSlowReaderKeepsItsPlace(t *testing.T) {
	w := newWorldLimited(t, 64, "a") // 24 owners
	slow := slowReader(t, w)
	testbed.Send(slow, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	w.until(t, "a task", func() bool { return w.c.RunningCount() == 1 })
	since := int64(0)
	w.on(t, func() { since = w.l.Now() })
	for i := range 23 {
		testbed.Send(w.owner(t), testbed.StartLine(testbed.RequestID(10+i), "archive-cut", fmt.Sprint("silent-", i), 60_000))
	}
	w.until(t, "all are busy", func() bool { return w.c.OpenCount() == 23 })
	late := w.owner(t)
	testbed.Send(late, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 9000))
	w.until(t, "it waits, for longer than a quiet connection is kept", func() bool {
		return w.l.HasQueuedConnections() && w.l.Now() > since+1_200_000
	})
	slow.SetReadDeadline(time.Now().Add(testbed.Patience))
	r, read := bufio.NewScanner(slow), false
	for !read && r.Scan() {
		read = strings.Contains(r.Text(), "STARTED")
	}
	if !read {
		t.Errorf("its answer never came: %v", r.Err())
	}
	if l := testbed.Wait(t, "the late one's answer", late.Lines); l.Tag != testbed.RequestID(2) {
		t.Errorf("got %v", l)
	}
}

// Told to end again and again, and to read its configuration in the same instant, the
// program answers what is open once, by what may have become of it.
func TestToldToEndTwice(t *testing.T) {
	w := newWorldSet(t, settingsWith(t, change{"RequestClasses.0.DeadlineUs", 500_000}, change{"RequestClasses.1.DeadlineUs", 500_000}),
		config.Operators{}, 1024, slog.New(slog.DiscardHandler), func(*testbed.Worker) {}, "a")
	o := w.owner(t)
	for i, class := range []string{"guide-web", "archive-cut"} {
		testbed.Send(o, testbed.StartLine(testbed.RequestID(i+1), class, fmt.Sprint("silent-", i), 60_000))
		testbed.Wait(t, "the offer", w.minions[0].Starts)
	}
	w.feed.Add(false, w.minions[0].ListEntry("draining"))
	w.feed.WaitPolled(t)
	for i, class := range []string{"guide-web", "archive-cut"} { // these never leave
		testbed.Send(o, testbed.StartLine(testbed.RequestID(i+3), class, fmt.Sprint("ok-", i), 60_000))
	}
	w.until(t, "all are open", func() bool { return w.c.OpenCount() == 4 })
	next := testbed.NewDiscovery(t)
	next.CopyFrom(w.feed)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(configText(next)), 0o600); err != nil {
		t.Fatal(err)
	}
	w.Stop()
	w.Reload(path)
	w.Stop()
	got := map[string]int{}
	for range 4 {
		l := testbed.Wait(t, "an answer", o.Lines)
		if got[l.Tag] != 0 || l.Verb != "FINISH" {
			t.Errorf("got %v", l)
		}
		got[l.Tag] = l.Cause()
	}
	want := map[string]int{testbed.RequestID(1): 34, testbed.RequestID(2): 47, testbed.RequestID(3): 34, testbed.RequestID(4): 34}
	if !maps.Equal(got, want) {
		t.Errorf("answered %v, expected %v", got, want)
	}
	if err := testbed.Wait(t, "the end", w.over); err != nil {
		t.Error(err)
	}
	for l := range o.Lines { // closed
		t.Errorf("a second word: %v", l)
	}
}

// The program serves by what it was started with while its command channel refuses, is
// silent, or can't be reached, and asks again.
func TestServesWithoutDiscovery(t *testing.T) {
	for _, c := range []struct {
		name    string
		channel func(t *testing.T) (addr string, again <-chan net.Conn)
	}{
		{"it refuses", func(t *testing.T) (string, <-chan net.Conn) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { ln.Close() })
			testbed.Refuse(t, ln)
			return ln.Addr().String(), nil
		}},
		{"it is silent", func(t *testing.T) (string, <-chan net.Conn) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { ln.Close() })
			came := make(chan net.Conn, 100)
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					came <- c
				}
			}()
			return ln.Addr().String(), came
		}},
		{"connections to it never come up", func(t *testing.T) (string, <-chan net.Conn) {
			link := testbed.NewProxy(t, testbed.NewWorker(t, "nobody"))
			link.Cut(t)
			return link.Addr(), nil
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			addr, again := c.channel(t)
			m := testbed.NewWorker(t, "a")
			f := testbed.NewDiscovery(t)
			f.Add(true, m.ListEntry("up"))
			cfg, err := config.Parse([]byte(strings.Replace(configText(f), f.Srv.Listener.Addr().String(), addr, 1)))
			if err != nil {
				t.Fatal(err)
			}
			p, err := start(cfg, config.Operators{}, slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			done := make(chan error, 1)
			go func() { done <- p.Run() }()
			o, held := testbed.NewClient(t, p.addr), testbed.NewClient(t, p.addr)
			for i := range 200 { // of a start, all at once
				testbed.Send(held, running(testbed.RequestID(100+i), "a"))
			}
			asked(t, o)
			testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			if l := testbed.Wait(t, "the answer", o.Lines); l.Verb != "STARTED" {
				t.Errorf("got %v", l)
			}
			for range 2 {
				if again != nil {
					defer testbed.Wait(t, "it is asked", again).Close()
				}
			}
			p.l.Post(p.l.Stop)
			testbed.Wait(t, "the end", done)
		})
	}
}

// At the drain timeout the program does not end in the turn in which it answers what is open:
// who reads slowly has a moment for that.
func TestAnsweredAtTheDrainTimeout(t *testing.T) {
	w := newWorldSet(t, settingsWith(t, change{"RequestClasses.0.DeadlineUs", 500_000}, change{"RequestClasses.1.DeadlineUs", 500_000}),
		config.Operators{}, 1024, slog.New(slog.DiscardHandler), func(*testbed.Worker) {}, "a")
	o := slowReader(t, w)
	testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "archive-cut", "silent-1", 60_000))
	testbed.Wait(t, "the offer", w.minions[0].Starts)
	after := make(chan bool, 1)
	var look func()
	look = func() {
		if w.c.OpenCount() > 0 {
			w.l.After(1000, look)
			return
		}
		w.l.After(1000, func() { after <- true }) // a turn after that
	}
	w.on(t, look)
	w.Stop()
	select {
	case <-after:
	case <-w.over:
		t.Fatal("it ended as it answered")
	}
	testbed.Wait(t, "the end, with nothing read", w.over)
}

// At the end of the program a connection on which an attempt may be out is reset: what lies
// in it would else be delivered when nobody waits for it. Others are closed.
func TestWaysAtTheEnd(t *testing.T) {
	for name, out := range map[string]bool{"an attempt is out": true, "nothing is": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			w := newWorldSet(t, settingsWith(t, change{"RequestClasses.0.DeadlineUs", 500_000}, change{"RequestClasses.1.DeadlineUs", 500_000}),
				config.Operators{}, 1024, slog.New(slog.DiscardHandler), func(*testbed.Worker) {}, "a")
			w.minions[0].CloseGracefully()
			w.feed.Add(false, w.minions[0].ListEntryAt("up", ln.Addr().String()))
			node, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			node.SetReadDeadline(time.Now().Add(testbed.Patience))
			r := bufio.NewReader(node)
			if out {
				testbed.Send(w.owner(t), testbed.StartLine(testbed.RequestID(1), "archive-cut", "k", 60_000))
				if b, err := r.ReadString('\n'); err != nil || !strings.Contains(b, "START") {
					t.Fatalf("the offer is %q, %v", b, err)
				}
				// Its last word comes after the offer: what is given up is written.
				testbed.Send(node, testbed.Line{Verb: "NOTICE", Tag: testbed.RequestID(0), Opts: map[string]string{"note": "up", "value": "0"}})
			}
			w.Stop()
			testbed.Wait(t, "the end", w.over)
			if _, err := io.Copy(io.Discard, r); errors.Is(err, syscall.ECONNRESET) != out {
				t.Errorf("the connection's end is %v", err)
			}
		})
	}
}

// What is owed when the program is told to end, beyond the time in which set-ups come,
// holds its end back until it is given.
func TestOwedAtTheEnd(t *testing.T) {
	for _, c := range []struct {
		name  string
		alone bool // how it is given needs a new connection, which a successor gets
		// owe brings it about that something is owed, and returns how it is given.
		owe func(t *testing.T, w *world) func()
	}{
		{"half a set-up has come", false, func(t *testing.T, w *world) func() {
			o := w.owner(t)
			b, err := json.Marshal(testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			if err != nil {
				t.Fatal(err)
			}
			asked(t, o)
			o.Write(b[:len(b)/2])
			w.until(t, "half a set-up", w.front.HasUndelivered)
			return func() {
				o.Write(append(b[len(b)/2:], '\n'))
				if l := testbed.Wait(t, "the answer", o.Lines); l.Verb != "STARTED" {
					t.Errorf("got %v", l)
				}
			}
		}},
		{"an answer lies behind what its owner has not read", false, func(t *testing.T, w *world) func() {
			o := slowReader(t, w)
			testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			w.until(t, "a task", func() bool { return w.c.RunningCount() == 1 })
			return func() {
				o.SetReadDeadline(time.Now().Add(testbed.Patience))
				for r := bufio.NewScanner(o); r.Scan(); {
					if strings.Contains(r.Text(), "STARTED") {
						return
					}
				}
				t.Error("the answer never came")
			}
		}},
		{"a release was not heard", false, func(t *testing.T, w *world) func() {
			o := w.owner(t)
			testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			if l := testbed.Wait(t, "the answer", o.Lines); l.Verb != "STARTED" {
				t.Fatalf("got %v", l)
			}
			w.minions[0].Vanish()
			testbed.Send(o, testbed.FinishLine("FINISH", testbed.RequestID(1), 16))
			asked(t, o)
			return func() { w.minions[0].End(testbed.RequestID(1), 31) }
		}},
		{"an end has found no owner", true, func(t *testing.T, w *world) func() {
			o := w.owner(t)
			testbed.Send(o, running(testbed.RequestID(1), "a"))
			asked(t, o)
			o.Close()
			w.until(t, "no owner", func() bool { return w.front.Connections() == 0 })
			w.minions[0].End(testbed.RequestID(1), 16)
			w.until(t, "the end here", w.front.HasUndelivered)
			return func() {
				o := w.owner(t)
				testbed.Send(o, testbed.Line{Verb: "ECHO", Tag: "t", Opts: map[string]string{}})
				wantCause(t, "the end", o, testbed.RequestID(1), 16)
			}
		}},
	} {
		play := func(t *testing.T, successor bool) {
			t.Parallel()
			w := newWorld(t, "a")
			give := c.owe(t, w)
			began := int64(0)
			w.on(t, func() { w.inherited, w.successor, began = successor, successor, w.l.Now() })
			w.Stop()
			for limit, age := time.Now().Add(testbed.Patience), int64(0); age < stillComing+100_000; {
				select {
				case <-w.over:
					t.Fatal("it ended with that owed")
				case <-time.After(time.Millisecond):
				}
				if time.Now().After(limit) {
					t.Fatal("its clock stands still")
				}
				w.l.Post(func() { w.aged <- w.l.Now() - began })
				select {
				case age = <-w.aged:
				case <-w.over:
					t.Fatal("it ended with that owed")
				}
			}
			give()
			testbed.Wait(t, "the end of the program", w.over)
		}
		t.Run(c.name, func(t *testing.T) { play(t, false) })
		if !c.alone {
			t.Run(c.name+", beside a successor", func(t *testing.T) { play(t, true) })
		}
	}
}
