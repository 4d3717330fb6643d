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
func TestWorkersRefusingConnections(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(t *testing.T, m *testbed.Worker, e *traceRecorder)
		want int
	}{
		{"gone without a word", func(_ *testing.T, m *testbed.Worker, _ *traceRecorder) { m.Vanish() }, 41},
		{"gone with a close and no reset", func(_ *testing.T, m *testbed.Worker, _ *traceRecorder) { m.CloseGracefully() }, 41},
		{"deaf, and there", func(t *testing.T, m *testbed.Worker, e *traceRecorder) {
			m.RefuseConnections()
			for limit := time.Now().Add(3 * testbed.Patience); e.closingFor() < 2*maxUnresponsive; time.Sleep(time.Millisecond) {
				if time.Now().After(limit) {
					t.Fatal("it was not called on for long")
				}
			}
			m.SendFinish(testbed.RequestID(1), 16)
		}, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := &traceRecorder{Handler: slog.DiscardHandler, cancelledAt: map[string]int64{}}
			w := newServerBy(t, config.Operators{}, 1024, slog.New(e), func(*testbed.Worker) {}, "a")
			o := w.connect(t)
			testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			if l := testbed.Wait(t, "the answer", o.Lines); l.Verb != "STARTED" {
				t.Fatalf("got %v", l)
			}
			c.play(t, w.workers[0], e)
			if l := testbed.Wait(t, "the end", o.Lines); l.Tag != testbed.RequestID(1) || l.Cause() != c.want {
				t.Errorf("got %v, expected %d", l, c.want)
			}
		})
	}
}

// maxUnresponsive is how long what refuses and is silent lives at the most.
const maxUnresponsive = 2 * time.Second

// adoptedLine is a set-up of a task that a minion holds already.
func adoptedLine(tag, minion string) testbed.Line {
	l := testbed.StartLine(tag, "guide-web", "ok-"+tag, 5000)
	l.Opts["extras"] += ";at:" + minion
	return l
}

// pingServer lets an owner test the program, and so what it sent before is read.
func pingServer(t *testing.T, o *testbed.Client) {
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
func TestCompletionGoesToItsClient(t *testing.T) {
	w := newTestServer(t, "a")
	first, served, second := w.connect(t), w.connect(t), w.connect(t)
	for i := 1; i <= 2; i++ {
		testbed.Send(first, adoptedLine(testbed.RequestID(i), "a"))
	}
	pingServer(t, first)
	testbed.Send(served, testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-3", 5000))
	if l := testbed.Wait(t, "the answer", served.Lines); l.Verb != "STARTED" {
		t.Fatalf("got %v", l)
	}
	for i := 1; i <= 2; i++ {
		testbed.Send(second, adoptedLine(testbed.RequestID(i), "a"))
	}
	testbed.Send(second, adoptedLine(testbed.RequestID(4), "a")) // one that nobody else knows of
	pingServer(t, second)
	w.workers[0].End(testbed.RequestID(1), 16)
	expectCause(t, "the end", first, testbed.RequestID(1), 16)
	first.Close()
	w.waitUntil(t, "its connection is gone", func() bool { return w.clientFront.Connections() == 2 })
	w.workers[0].End(testbed.RequestID(2), 16)
	expectCause(t, "the second end", served, testbed.RequestID(2), 16)
	for range 9 { // some that only speak
		pingServer(t, w.connect(t))
	}
	served.Close()
	w.waitUntil(t, "its connection is gone", func() bool { return w.clientFront.Connections() == 10 })
	w.workers[0].End(testbed.RequestID(3), 16)
	expectCause(t, "the third end", second, testbed.RequestID(3), 16)
}

// An end that found no owner waits for one that is known to be, while others come that may
// be anybody; where only those come, it goes to one of them in time.
func TestCompletionWaitsForAClient(t *testing.T) {
	faulty := testbed.StartLine(testbed.RequestID(2), "no-such-class", "ok-2", 5000)
	for _, c := range []struct {
		name string
		says []testbed.Line // the one that gets the end
		hear []string       // and what it hears before that, where nobody else is there
	}{
		{"a task is started for it", []testbed.Line{testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-3", 5000)}, nil},
		{"it says where one runs", []testbed.Line{adoptedLine(testbed.RequestID(4), "a"), faulty}, nil},
		{"it tests, as the platform does", []testbed.Line{{Verb: "ECHO", Tag: "t", Opts: map[string]string{}}}, nil},
		{"nobody better comes", []testbed.Line{faulty}, []string{"FINISH"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestServer(t, "a")
			first := w.connect(t)
			testbed.Send(first, adoptedLine(testbed.RequestID(1), "a"))
			testbed.Send(first, adoptedLine(testbed.RequestID(5), "a"))
			pingServer(t, first)
			first.Close()
			w.waitUntil(t, "no owner", func() bool { return w.clientFront.Connections() == 0 })
			w.workers[0].End(testbed.RequestID(1), 16)
			w.waitUntil(t, "the end here", func() bool { return w.dispatcher.RunningCount() == 1 })
			bad := w.connect(t)
			testbed.Send(bad, adoptedLine(testbed.RequestID(5), "a")) // which it may have heard of
			testbed.Send(bad, faulty)
			if l := testbed.Wait(t, "the error", bad.Lines); l.Tag != testbed.RequestID(2) || l.Cause() != 47 {
				t.Fatalf("got %v", l)
			}
			if len(c.hear) > 0 {
				bad.Close()
				w.waitUntil(t, "nobody", func() bool { return w.clientFront.Connections() == 0 })
			}
			good := w.connect(t)
			for _, l := range c.says {
				testbed.Send(good, l)
			}
			for _, verb := range c.hear {
				if l := testbed.Wait(t, "what comes before", good.Lines); l.Verb != verb || l.Tag == testbed.RequestID(1) {
					t.Fatalf("got %v", l)
				}
			}
			expectCause(t, "the end", good, testbed.RequestID(1), 16)
		})
	}
}

// A task may be over before its minion was to say yes: the minion says both in one, and so
// the owner is told both, of whatever class, and nothing is sent again.
func TestCompletionWithStart(t *testing.T) {
	w := newTestServer(t, "a", "b")
	o := w.connect(t)
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
		if n := w.workers[0].StartCount(task) + w.workers[1].StartCount(task); n != 1 {
			t.Errorf("%s was offered %d times", task, n)
		}
	}
	if n := w.dispatcher.RunningCount(); n != 0 {
		t.Errorf("%d stand", n)
	}
}

// A copy of a refusal, which some minions send late and on any connection, ends no task
// that was started since.
func TestLateDuplicateRejection(t *testing.T) {
	w := newTestServer(t, "a")
	o := w.connect(t)
	testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	if l := testbed.Wait(t, "the answer", o.Lines); l.Verb != "STARTED" {
		t.Fatalf("got %v", l)
	}
	for _, rc := range []int{34, 102, 16} {
		w.workers[0].End(testbed.RequestID(1), rc)
	}
	expectCause(t, "the end", o, testbed.RequestID(1), 16)
}

// Nothing goes out for a request whose owner left while it waited, however it left and
// whatever it waited for.
func TestNoOfferForCancelledRequest(t *testing.T) {
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
		// begin makes set-ups wait from now on, until what it returns is called.
		hold func(t *testing.T, w *testServer) (free func())
		read bool // meanwhile they are
	}{
		{"for a node that takes offers", func(t *testing.T, w *testServer) func() {
			w.discovery.Add(false, w.workers[0].ListEntry("draining"))
			w.discovery.WaitPolled(t)
			return func() { w.discovery.Add(false, w.workers[0].ListEntry("up")) }
		}, true},
		{"for a connection that comes up late", func(t *testing.T, w *testServer) func() {
			link := testbed.NewProxy(t, w.workers[0])
			link.Cut(t)
			w.discovery.Add(false, w.workers[0].ListEntry("up")) // it moves there
			w.discovery.WaitPolled(t)
			return func() { link.Heal(t) }
		}, true},
		{"to be read", func(t *testing.T, w *testServer) func() {
			held, on := make(chan bool), make(chan bool)
			w.loop.Post(func() {
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
				w := newServerSet(t, changedSettings(t, settingChange{"Limits.DialTimeoutUs", 10_000_000}), config.Operators{}, 1024,
					slog.New(slog.DiscardHandler), func(*testbed.Worker) {}, "a")
				w.waitUntil(t, "a connection to the minion", func() bool { n, _ := w.workers[0].DialCounts(); return n > 0 })
				free := c.hold(t, w)
				o := w.connect(t)
				testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
				if c.read {
					w.waitUntil(t, "the set-up", func() bool { return w.dispatcher.OpenCount() == 1 })
				}
				if way.leave(o); c.read {
					w.waitUntil(t, "it left", func() bool { return w.dispatcher.OpenCount() == 0 })
				}
				free()
				next := w.connect(t)
				testbed.Send(next, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 5000))
				if l := testbed.Wait(t, "the offer", w.workers[0].Starts); l.Tag != testbed.RequestID(2) {
					t.Errorf("%s was offered", l.Tag)
				}
				if l := testbed.Wait(t, "the answer", next.Lines); l.Verb != "STARTED" {
					t.Errorf("got %v", l)
				}
				if n := len(w.workers[0].Starts); n > 0 {
					t.Errorf("%d offers more", n)
				}
			})
		}
	}
}

// newSlowReader connects an owner that has more answers to read than the system takes.
func newSlowReader(t *testing.T, w *testServer) net.Conn {
	// A room of its own for what it has not read: the system would go on widening it.
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	o, err := d.Dial("tcp", w.clientAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { o.Close() })
	kept := 0 // turns in which something was left since the last was sent
	w.waitUntil(t, "more answers than the system takes", func() bool {
		if kept++; w.clientFront.HasUndelivered() {
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
func TestSlowReaderIsNotEvicted(t *testing.T) {
	w := newServerWithSockets(t, 64, "a") // 24 owners
	slow := newSlowReader(t, w)
	testbed.Send(slow, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	w.waitUntil(t, "a task", func() bool { return w.dispatcher.RunningCount() == 1 })
	since := int64(0)
	w.onLoop(t, func() { since = w.loop.Now() })
	for i := range 23 {
		testbed.Send(w.connect(t), testbed.StartLine(testbed.RequestID(10+i), "archive-cut", fmt.Sprint("silent-", i), 60_000))
	}
	w.waitUntil(t, "all are busy", func() bool { return w.dispatcher.OpenCount() == 23 })
	late := w.connect(t)
	testbed.Send(late, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 9000))
	w.waitUntil(t, "it waits, for longer than a quiet connection is kept", func() bool {
		return w.loop.HasQueuedConnections() && w.loop.Now() > since+1_200_000
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
func TestRepeatedStop(t *testing.T) {
	w := newServerSet(t, changedSettings(t, settingChange{"RequestClasses.0.DeadlineUs", 500_000}, settingChange{"RequestClasses.1.DeadlineUs", 500_000}),
		config.Operators{}, 1024, slog.New(slog.DiscardHandler), func(*testbed.Worker) {}, "a")
	o := w.connect(t)
	for i, class := range []string{"guide-web", "archive-cut"} {
		testbed.Send(o, testbed.StartLine(testbed.RequestID(i+1), class, fmt.Sprint("silent-", i), 60_000))
		testbed.Wait(t, "the offer", w.workers[0].Starts)
	}
	w.discovery.Add(false, w.workers[0].ListEntry("draining"))
	w.discovery.WaitPolled(t)
	for i, class := range []string{"guide-web", "archive-cut"} { // these never leave
		testbed.Send(o, testbed.StartLine(testbed.RequestID(i+3), class, fmt.Sprint("ok-", i), 60_000))
	}
	w.waitUntil(t, "all are open", func() bool { return w.dispatcher.OpenCount() == 4 })
	next := testbed.NewDiscovery(t)
	next.CopyFrom(w.discovery)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(configJSON(next)), 0o600); err != nil {
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
	if err := testbed.Wait(t, "the end", w.runResult); err != nil {
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
			cfg, err := config.Parse([]byte(strings.Replace(configJSON(f), f.Srv.Listener.Addr().String(), addr, 1)))
			if err != nil {
				t.Fatal(err)
			}
			p, err := start(cfg, config.Operators{}, slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			done := make(chan error, 1)
			go func() { done <- p.Run() }()
			o, held := testbed.NewClient(t, p.clientAddr), testbed.NewClient(t, p.clientAddr)
			for i := range 200 { // of a start, all at once
				testbed.Send(held, adoptedLine(testbed.RequestID(100+i), "a"))
			}
			pingServer(t, o)
			testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			if l := testbed.Wait(t, "the answer", o.Lines); l.Verb != "STARTED" {
				t.Errorf("got %v", l)
			}
			for range 2 {
				if again != nil {
					defer testbed.Wait(t, "it is asked", again).Close()
				}
			}
			p.loop.Post(p.loop.Stop)
			testbed.Wait(t, "the end", done)
		})
	}
}

// At the drain timeout the program does not end in the turn in which it answers what is open:
// who reads slowly has a moment for that.
func TestResponsesFlushedAtDrainTimeout(t *testing.T) {
	w := newServerSet(t, changedSettings(t, settingChange{"RequestClasses.0.DeadlineUs", 500_000}, settingChange{"RequestClasses.1.DeadlineUs", 500_000}),
		config.Operators{}, 1024, slog.New(slog.DiscardHandler), func(*testbed.Worker) {}, "a")
	o := newSlowReader(t, w)
	testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "archive-cut", "silent-1", 60_000))
	testbed.Wait(t, "the offer", w.workers[0].Starts)
	after := make(chan bool, 1)
	var look func()
	look = func() {
		if w.dispatcher.OpenCount() > 0 {
			w.loop.After(1000, look)
			return
		}
		w.loop.After(1000, func() { after <- true }) // a turn after that
	}
	w.onLoop(t, look)
	w.Stop()
	select {
	case <-after:
	case <-w.runResult:
		t.Fatal("it ended as it answered")
	}
	testbed.Wait(t, "the end, with nothing read", w.runResult)
}

// At the end of the program a connection on which an attempt may be out is reset: what lies
// in it would else be delivered when nobody waits for it. Others are closed.
func TestWorkerConnectionsAtShutdown(t *testing.T) {
	for name, out := range map[string]bool{"an attempt is out": true, "nothing is": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			w := newServerSet(t, changedSettings(t, settingChange{"RequestClasses.0.DeadlineUs", 500_000}, settingChange{"RequestClasses.1.DeadlineUs", 500_000}),
				config.Operators{}, 1024, slog.New(slog.DiscardHandler), func(*testbed.Worker) {}, "a")
			w.workers[0].CloseGracefully()
			w.discovery.Add(false, w.workers[0].ListEntryAt("up", ln.Addr().String()))
			node, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			node.SetReadDeadline(time.Now().Add(testbed.Patience))
			r := bufio.NewReader(node)
			if out {
				testbed.Send(w.connect(t), testbed.StartLine(testbed.RequestID(1), "archive-cut", "k", 60_000))
				if b, err := r.ReadString('\n'); err != nil || !strings.Contains(b, "START") {
					t.Fatalf("the offer is %q, %v", b, err)
				}
				// Its last word comes after the offer: what is given up is written.
				testbed.Send(node, testbed.Line{Verb: "NOTICE", Tag: testbed.RequestID(0), Opts: map[string]string{"note": "up", "value": "0"}})
			}
			w.Stop()
			testbed.Wait(t, "the end", w.runResult)
			if _, err := io.Copy(io.Discard, r); errors.Is(err, syscall.ECONNRESET) != out {
				t.Errorf("the connection's end is %v", err)
			}
		})
	}
}

// What is owed when the program is told to end, beyond the time in which set-ups come,
// holds its end back until it is given.
func TestShutdownWaitsForUnfinishedWork(t *testing.T) {
	for _, c := range []struct {
		name  string
		alone bool // how it is given needs a new connection, which a successor gets
		// owe brings it about that something is owed, and returns how it is given.
		owe func(t *testing.T, w *testServer) func()
	}{
		{"half a set-up has come", false, func(t *testing.T, w *testServer) func() {
			o := w.connect(t)
			b, err := json.Marshal(testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			if err != nil {
				t.Fatal(err)
			}
			pingServer(t, o)
			o.Write(b[:len(b)/2])
			w.waitUntil(t, "half a set-up", w.clientFront.HasUndelivered)
			return func() {
				o.Write(append(b[len(b)/2:], '\n'))
				if l := testbed.Wait(t, "the answer", o.Lines); l.Verb != "STARTED" {
					t.Errorf("got %v", l)
				}
			}
		}},
		{"an answer lies behind what its owner has not read", false, func(t *testing.T, w *testServer) func() {
			o := newSlowReader(t, w)
			testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			w.waitUntil(t, "a task", func() bool { return w.dispatcher.RunningCount() == 1 })
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
		{"a release was not heard", false, func(t *testing.T, w *testServer) func() {
			o := w.connect(t)
			testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			if l := testbed.Wait(t, "the answer", o.Lines); l.Verb != "STARTED" {
				t.Fatalf("got %v", l)
			}
			w.workers[0].Vanish()
			testbed.Send(o, testbed.FinishLine("FINISH", testbed.RequestID(1), 16))
			pingServer(t, o)
			return func() { w.workers[0].End(testbed.RequestID(1), 31) }
		}},
		{"an end has found no owner", true, func(t *testing.T, w *testServer) func() {
			o := w.connect(t)
			testbed.Send(o, adoptedLine(testbed.RequestID(1), "a"))
			pingServer(t, o)
			o.Close()
			w.waitUntil(t, "no owner", func() bool { return w.clientFront.Connections() == 0 })
			w.workers[0].End(testbed.RequestID(1), 16)
			w.waitUntil(t, "the end here", w.clientFront.HasUndelivered)
			return func() {
				o := w.connect(t)
				testbed.Send(o, testbed.Line{Verb: "ECHO", Tag: "t", Opts: map[string]string{}})
				expectCause(t, "the end", o, testbed.RequestID(1), 16)
			}
		}},
	} {
		play := func(t *testing.T, successor bool) {
			t.Parallel()
			w := newTestServer(t, "a")
			give := c.owe(t, w)
			began := int64(0)
			w.onLoop(t, func() { w.inheritedListener, w.hasSuccessor, began = successor, successor, w.loop.Now() })
			w.Stop()
			for limit, age := time.Now().Add(testbed.Patience), int64(0); age < lateRequestsUs+100_000; {
				select {
				case <-w.runResult:
					t.Fatal("it ended with that owed")
				case <-time.After(time.Millisecond):
				}
				if time.Now().After(limit) {
					t.Fatal("its clock stands still")
				}
				w.loop.Post(func() { w.aged <- w.loop.Now() - began })
				select {
				case age = <-w.aged:
				case <-w.runResult:
					t.Fatal("it ended with that owed")
				}
			}
			give()
			testbed.Wait(t, "the end of the program", w.runResult)
		}
		t.Run(c.name, func(t *testing.T) { play(t, false) })
		if !c.alone {
			t.Run(c.name+", beside a successor", func(t *testing.T) { play(t, true) })
		}
	}
}
