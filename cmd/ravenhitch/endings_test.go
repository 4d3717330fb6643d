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
	for _, test := range []struct {
		name string
		play func(t *testing.T, worker *testbed.Worker, trace *traceRecorder)
		want int
	}{
		{"gone without a word", func(_ *testing.T, worker *testbed.Worker, _ *traceRecorder) { worker.Vanish() }, 41},
		{"gone with a close and no reset", func(_ *testing.T, worker *testbed.Worker, _ *traceRecorder) { worker.CloseGracefully() }, 41},
		{"deaf, and there", func(t *testing.T, worker *testbed.Worker, trace *traceRecorder) {
			worker.RefuseConnections()
			for limit := time.Now().Add(3 * testbed.Patience); trace.closingFor() < 2*maxUnresponsive; time.Sleep(time.Millisecond) {
				if time.Now().After(limit) {
					t.Fatal("it was not called on for long")
				}
			}
			worker.SendFinish(testbed.RequestID(1), 16)
		}, 16},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			trace := &traceRecorder{Handler: slog.DiscardHandler, cancelledAt: map[string]int64{}}
			server := newServerBy(t, config.Operators{}, 1024, slog.New(trace), func(*testbed.Worker) {}, "a")
			client := server.connect(t)
			testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			if line := testbed.Wait(t, "the answer", client.Lines); line.Verb != "STARTED" {
				t.Fatalf("got %v", line)
			}
			test.play(t, server.workers[0], trace)
			if line := testbed.Wait(t, "the end", client.Lines); line.Tag != testbed.RequestID(1) || line.Cause() != test.want {
				t.Errorf("got %v, expected %d", line, test.want)
			}
		})
	}
}

// maxUnresponsive is how long what refuses and is silent lives at the most.
const maxUnresponsive = 2 * time.Second

// adoptedLine is a set-up of a task that a minion holds already.
func adoptedLine(tag, minion string) testbed.Line {
	line := testbed.StartLine(tag, "guide-web", "ok-"+tag, 5000)
	line.Opts["extras"] += ";at:" + minion
	return line
}

// pingServer lets an owner test the program, and so what it sent before is read.
func pingServer(t *testing.T, client *testbed.Client) {
	t.Helper()
	testbed.Send(client, testbed.Line{Verb: "ECHO", Tag: "t", Opts: map[string]string{}})
	line := testbed.Wait(t, "the test", client.Lines)
	if line.Verb == "FINISHED" { // heard of a release sent before
		line = testbed.Wait(t, "the test", client.Lines)
	}
	if line.Verb != "ECHOED" {
		t.Fatalf("got %v", line)
	}
}

// Whoever repeats the set-up of a task that runs gets nothing of it: the end goes to who
// handed it in, and where that one is gone to one that a task was started for.
func TestCompletionGoesToItsClient(t *testing.T) {
	server := newTestServer(t, "a")
	first, served, second := server.connect(t), server.connect(t), server.connect(t)
	for i := 1; i <= 2; i++ {
		testbed.Send(first, adoptedLine(testbed.RequestID(i), "a"))
	}
	pingServer(t, first)
	testbed.Send(served, testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-3", 5000))
	if line := testbed.Wait(t, "the answer", served.Lines); line.Verb != "STARTED" {
		t.Fatalf("got %v", line)
	}
	for i := 1; i <= 2; i++ {
		testbed.Send(second, adoptedLine(testbed.RequestID(i), "a"))
	}
	testbed.Send(second, adoptedLine(testbed.RequestID(4), "a")) // one that nobody else knows of
	pingServer(t, second)
	server.workers[0].End(testbed.RequestID(1), 16)
	expectCause(t, "the end", first, testbed.RequestID(1), 16)
	first.Close()
	server.waitUntil(t, "its connection is gone", func() bool { return server.clientFront.Connections() == 2 })
	server.workers[0].End(testbed.RequestID(2), 16)
	expectCause(t, "the second end", served, testbed.RequestID(2), 16)
	for range 9 { // some that only speak
		pingServer(t, server.connect(t))
	}
	served.Close()
	server.waitUntil(t, "its connection is gone", func() bool { return server.clientFront.Connections() == 10 })
	server.workers[0].End(testbed.RequestID(3), 16)
	expectCause(t, "the third end", second, testbed.RequestID(3), 16)
}

// An end that found no owner waits for one that is known to be, while others come that may
// be anybody; where only those come, it goes to one of them in time.
func TestCompletionWaitsForAClient(t *testing.T) {
	faulty := testbed.StartLine(testbed.RequestID(2), "no-such-class", "ok-2", 5000)
	for _, test := range []struct {
		name string
		says []testbed.Line // the one that gets the end
		hear []string       // and what it hears before that, where nobody else is there
	}{
		{"a task is started for it", []testbed.Line{testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-3", 5000)}, nil},
		{"it says where one runs", []testbed.Line{adoptedLine(testbed.RequestID(4), "a"), faulty}, nil},
		{"it tests, as the platform does", []testbed.Line{{Verb: "ECHO", Tag: "t", Opts: map[string]string{}}}, nil},
		{"nobody better comes", []testbed.Line{faulty}, []string{"FINISH"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := newTestServer(t, "a")
			first := server.connect(t)
			testbed.Send(first, adoptedLine(testbed.RequestID(1), "a"))
			testbed.Send(first, adoptedLine(testbed.RequestID(5), "a"))
			pingServer(t, first)
			first.Close()
			server.waitUntil(t, "no owner", func() bool { return server.clientFront.Connections() == 0 })
			server.workers[0].End(testbed.RequestID(1), 16)
			server.waitUntil(t, "the end here", func() bool { return server.dispatcher.RunningCount() == 1 })
			bad := server.connect(t)
			testbed.Send(bad, adoptedLine(testbed.RequestID(5), "a")) // which it may have heard of
			testbed.Send(bad, faulty)
			if line := testbed.Wait(t, "the error", bad.Lines); line.Tag != testbed.RequestID(2) || line.Cause() != 47 {
				t.Fatalf("got %v", line)
			}
			if len(test.hear) > 0 {
				bad.Close()
				server.waitUntil(t, "nobody", func() bool { return server.clientFront.Connections() == 0 })
			}
			good := server.connect(t)
			for _, line := range test.says {
				testbed.Send(good, line)
			}
			for _, verb := range test.hear {
				if line := testbed.Wait(t, "what comes before", good.Lines); line.Verb != verb || line.Tag == testbed.RequestID(1) {
					t.Fatalf("got %v", line)
				}
			}
			expectCause(t, "the end", good, testbed.RequestID(1), 16)
		})
	}
}

// A task may be over before its minion was to say yes: the minion says both in one, and so
// the owner is told both, of whatever class, and nothing is sent again.
func TestCompletionWithStart(t *testing.T) {
	server := newTestServer(t, "a", "b")
	client := server.connect(t)
	for i, class := range []string{"guide-web", "archive-cut"} {
		task := "brief-" + class
		testbed.Send(client, testbed.StartLine(testbed.RequestID(i+1), class, task, 5000))
		line := testbed.Wait(t, "the answer", client.Lines)
		if line.Verb != "STARTED" || line.Tag != testbed.RequestID(i+1) || !strings.HasSuffix(*line.Blob, " held about "+task) {
			t.Fatalf("%s got %v", task, line)
		}
		if line := testbed.Wait(t, "the end", client.Lines); line.Verb != "FINISH" || line.Tag != testbed.RequestID(i+1) || line.Cause() != 16 {
			t.Errorf("%s got %v", task, line)
		}
		if n := server.workers[0].StartCount(task) + server.workers[1].StartCount(task); n != 1 {
			t.Errorf("%s was offered %d times", task, n)
		}
	}
	if n := server.dispatcher.RunningCount(); n != 0 {
		t.Errorf("%d stand", n)
	}
}

// A copy of a refusal, which some minions send late and on any connection, ends no task
// that was started since.
func TestLateDuplicateRejection(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	if line := testbed.Wait(t, "the answer", client.Lines); line.Verb != "STARTED" {
		t.Fatalf("got %v", line)
	}
	for _, rc := range []int{34, 102, 16} {
		server.workers[0].End(testbed.RequestID(1), rc)
	}
	expectCause(t, "the end", client, testbed.RequestID(1), 16)
}

// Nothing goes out for a request whose owner left while it waited, however it left and
// whatever it waited for.
func TestNoOfferForCancelledRequest(t *testing.T) {
	ways := []struct {
		name  string
		leave func(client *testbed.Client)
	}{
		{"by word", func(client *testbed.Client) { testbed.Send(client, testbed.FinishLine("FINISH", testbed.RequestID(1), 16)) }},
		{"by close", func(client *testbed.Client) { client.Close() }},
		{"by reset", func(client *testbed.Client) { client.Conn.(*net.TCPConn).SetLinger(0); client.Close() }},
		{"by half a close", func(client *testbed.Client) { client.Conn.(*net.TCPConn).CloseWrite() }},
	}
	for _, test := range []struct {
		name string
		// begin makes set-ups wait from now on, until what it returns is called.
		hold func(t *testing.T, server *testServer) (free func())
		read bool // meanwhile they are
	}{
		{"for a node that takes offers", func(t *testing.T, server *testServer) func() {
			server.discovery.Add(false, server.workers[0].ListEntry("draining"))
			server.discovery.WaitPolled(t)
			return func() { server.discovery.Add(false, server.workers[0].ListEntry("up")) }
		}, true},
		{"for a connection that comes up late", func(t *testing.T, server *testServer) func() {
			link := testbed.NewProxy(t, server.workers[0])
			link.Cut(t)
			server.discovery.Add(false, server.workers[0].ListEntry("up")) // it moves there
			server.discovery.WaitPolled(t)
			return func() { link.Heal(t) }
		}, true},
		{"to be read", func(t *testing.T, server *testServer) func() {
			held, on := make(chan bool), make(chan bool)
			server.loop.Post(func() {
				held <- true
				<-on
			})
			<-held
			return func() { on <- true }
		}, false},
	} {
		for _, way := range ways {
			t.Run(test.name+", "+way.name, func(t *testing.T) {
				t.Parallel()
				server := newServerSet(t, changedSettings(t, settingChange{"Limits.DialTimeoutUs", 10_000_000}), config.Operators{}, 1024,
					slog.New(slog.DiscardHandler), func(*testbed.Worker) {}, "a")
				server.waitUntil(t, "a connection to the minion", func() bool { n, _ := server.workers[0].DialCounts(); return n > 0 })
				free := test.hold(t, server)
				client := server.connect(t)
				testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
				if test.read {
					server.waitUntil(t, "the set-up", func() bool { return server.dispatcher.OpenCount() == 1 })
				}
				if way.leave(client); test.read {
					server.waitUntil(t, "it left", func() bool { return server.dispatcher.OpenCount() == 0 })
				}
				free()
				next := server.connect(t)
				testbed.Send(next, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 5000))
				if line := testbed.Wait(t, "the offer", server.workers[0].Starts); line.Tag != testbed.RequestID(2) {
					t.Errorf("%s was offered", line.Tag)
				}
				if line := testbed.Wait(t, "the answer", next.Lines); line.Verb != "STARTED" {
					t.Errorf("got %v", line)
				}
				if n := len(server.workers[0].Starts); n > 0 {
					t.Errorf("%d offers more", n)
				}
			})
		}
	}
}

// newSlowReader connects an owner that has more answers to read than the system takes.
func newSlowReader(t *testing.T, server *testServer) net.Conn {
	// A room of its own for what it has not read: the system would go on widening it.
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	conn, err := d.Dial("tcp", server.clientAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	kept := 0 // turns in which something was left since the last was sent
	server.waitUntil(t, "more answers than the system takes", func() bool {
		if kept++; server.clientFront.HasUndelivered() {
			return kept == 5
		}
		kept = 0
		for range 100 {
			testbed.Send(conn, testbed.Line{Verb: "ECHO", Tag: strings.Repeat("t", 64), Opts: map[string]string{}})
		}
		return false
	})
	return conn
}

// Who has not read its answer yet does not lose its connection to one that waits for a place.
func TestSlowReaderIsNotEvicted(t *testing.T) {
	server := newServerWithSockets(t, 64, "a") // 24 owners
	slow := newSlowReader(t, server)
	testbed.Send(slow, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	server.waitUntil(t, "a task", func() bool { return server.dispatcher.RunningCount() == 1 })
	since := int64(0)
	server.onLoop(t, func() { since = server.loop.Now() })
	for i := range 23 {
		testbed.Send(server.connect(t), testbed.StartLine(testbed.RequestID(10+i), "archive-cut", fmt.Sprint("silent-", i), 60_000))
	}
	server.waitUntil(t, "all are busy", func() bool { return server.dispatcher.OpenCount() == 23 })
	late := server.connect(t)
	testbed.Send(late, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 9000))
	server.waitUntil(t, "it waits, for longer than a quiet connection is kept", func() bool {
		return server.loop.HasQueuedConnections() && server.loop.Now() > since+1_200_000
	})
	slow.SetReadDeadline(time.Now().Add(testbed.Patience))
	r, read := bufio.NewScanner(slow), false
	for !read && r.Scan() {
		read = strings.Contains(r.Text(), "STARTED")
	}
	if !read {
		t.Errorf("its answer never came: %v", r.Err())
	}
	if line := testbed.Wait(t, "the late one's answer", late.Lines); line.Tag != testbed.RequestID(2) {
		t.Errorf("got %v", line)
	}
}

// Told to end again and again, and to read its configuration in the same instant, the
// program answers what is open once, by what may have become of it.
func TestRepeatedStop(t *testing.T) {
	server := newServerSet(t, changedSettings(t, settingChange{"RequestClasses.0.DeadlineUs", 500_000}, settingChange{"RequestClasses.1.DeadlineUs", 500_000}),
		config.Operators{}, 1024, slog.New(slog.DiscardHandler), func(*testbed.Worker) {}, "a")
	client := server.connect(t)
	for i, class := range []string{"guide-web", "archive-cut"} {
		testbed.Send(client, testbed.StartLine(testbed.RequestID(i+1), class, fmt.Sprint("silent-", i), 60_000))
		testbed.Wait(t, "the offer", server.workers[0].Starts)
	}
	server.discovery.Add(false, server.workers[0].ListEntry("draining"))
	server.discovery.WaitPolled(t)
	for i, class := range []string{"guide-web", "archive-cut"} { // these never leave
		testbed.Send(client, testbed.StartLine(testbed.RequestID(i+3), class, fmt.Sprint("ok-", i), 60_000))
	}
	server.waitUntil(t, "all are open", func() bool { return server.dispatcher.OpenCount() == 4 })
	next := testbed.NewDiscovery(t)
	next.CopyFrom(server.discovery)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(configJSON(next)), 0o600); err != nil {
		t.Fatal(err)
	}
	server.Stop()
	server.Reload(path)
	server.Stop()
	got := map[string]int{}
	for range 4 {
		line := testbed.Wait(t, "an answer", client.Lines)
		if got[line.Tag] != 0 || line.Verb != "FINISH" {
			t.Errorf("got %v", line)
		}
		got[line.Tag] = line.Cause()
	}
	want := map[string]int{testbed.RequestID(1): 34, testbed.RequestID(2): 47, testbed.RequestID(3): 34, testbed.RequestID(4): 34}
	if !maps.Equal(got, want) {
		t.Errorf("answered %v, expected %v", got, want)
	}
	if err := testbed.Wait(t, "the end", server.runResult); err != nil {
		t.Error(err)
	}
	for line := range client.Lines { // closed
		t.Errorf("a second word: %v", line)
	}
}

// The program serves by what it was started with while its command channel refuses, is
// silent, or can't be reached, and asks again.
func TestServesWithoutDiscovery(t *testing.T) {
	for _, test := range []struct {
		name    string
		channel func(t *testing.T) (addr string, again <-chan net.Conn)
	}{
		{"it refuses", func(t *testing.T) (string, <-chan net.Conn) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { listener.Close() })
			testbed.Refuse(t, listener)
			return listener.Addr().String(), nil
		}},
		{"it is silent", func(t *testing.T) (string, <-chan net.Conn) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { listener.Close() })
			came := make(chan net.Conn, 100)
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					came <- conn
				}
			}()
			return listener.Addr().String(), came
		}},
		{"connections to it never come up", func(t *testing.T) (string, <-chan net.Conn) {
			link := testbed.NewProxy(t, testbed.NewWorker(t, "nobody"))
			link.Cut(t)
			return link.Addr(), nil
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			addr, again := test.channel(t)
			worker := testbed.NewWorker(t, "a")
			discovery := testbed.NewDiscovery(t)
			discovery.Add(true, worker.ListEntry("up"))
			cfg, err := config.Parse([]byte(strings.Replace(configJSON(discovery), discovery.Srv.Listener.Addr().String(), addr, 1)))
			if err != nil {
				t.Fatal(err)
			}
			process, err := start(cfg, config.Operators{}, slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			done := make(chan error, 1)
			go func() { done <- process.Run() }()
			client, held := testbed.NewClient(t, process.clientAddr), testbed.NewClient(t, process.clientAddr)
			for i := range 200 { // of a start, all at once
				testbed.Send(held, adoptedLine(testbed.RequestID(100+i), "a"))
			}
			pingServer(t, client)
			testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			if line := testbed.Wait(t, "the answer", client.Lines); line.Verb != "STARTED" {
				t.Errorf("got %v", line)
			}
			for range 2 {
				if again != nil {
					defer testbed.Wait(t, "it is asked", again).Close()
				}
			}
			process.loop.Post(process.loop.Stop)
			testbed.Wait(t, "the end", done)
		})
	}
}

// At the drain timeout the program does not end in the turn in which it answers what is open:
// who reads slowly has a moment for that.
func TestResponsesFlushedAtDrainTimeout(t *testing.T) {
	server := newServerSet(t, changedSettings(t, settingChange{"RequestClasses.0.DeadlineUs", 500_000}, settingChange{"RequestClasses.1.DeadlineUs", 500_000}),
		config.Operators{}, 1024, slog.New(slog.DiscardHandler), func(*testbed.Worker) {}, "a")
	conn := newSlowReader(t, server)
	testbed.Send(conn, testbed.StartLine(testbed.RequestID(1), "archive-cut", "silent-1", 60_000))
	testbed.Wait(t, "the offer", server.workers[0].Starts)
	after := make(chan bool, 1)
	var look func()
	look = func() {
		if server.dispatcher.OpenCount() > 0 {
			server.loop.After(1000, look)
			return
		}
		server.loop.After(1000, func() { after <- true }) // a turn after that
	}
	server.onLoop(t, look)
	server.Stop()
	select {
	case <-after:
	case <-server.runResult:
		t.Fatal("it ended as it answered")
	}
	testbed.Wait(t, "the end, with nothing read", server.runResult)
}

// At the end of the program a connection on which an attempt may be out is reset: what lies
// in it would else be delivered when nobody waits for it. Others are closed.
func TestWorkerConnectionsAtShutdown(t *testing.T) {
	for name, out := range map[string]bool{"an attempt is out": true, "nothing is": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			server := newServerSet(t, changedSettings(t, settingChange{"RequestClasses.0.DeadlineUs", 500_000}, settingChange{"RequestClasses.1.DeadlineUs", 500_000}),
				config.Operators{}, 1024, slog.New(slog.DiscardHandler), func(*testbed.Worker) {}, "a")
			server.workers[0].CloseGracefully()
			server.discovery.Add(false, server.workers[0].ListEntryAt("up", listener.Addr().String()))
			node, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			node.SetReadDeadline(time.Now().Add(testbed.Patience))
			r := bufio.NewReader(node)
			if out {
				testbed.Send(server.connect(t), testbed.StartLine(testbed.RequestID(1), "archive-cut", "k", 60_000))
				if b, err := r.ReadString('\n'); err != nil || !strings.Contains(b, "START") {
					t.Fatalf("the offer is %q, %v", b, err)
				}
				// Its last word comes after the offer: what is given up is written.
				testbed.Send(node, testbed.Line{Verb: "NOTICE", Tag: testbed.RequestID(0), Opts: map[string]string{"note": "up", "value": "0"}})
			}
			server.Stop()
			testbed.Wait(t, "the end", server.runResult)
			if _, err := io.Copy(io.Discard, r); errors.Is(err, syscall.ECONNRESET) != out {
				t.Errorf("the connection's end is %v", err)
			}
		})
	}
}

// What is owed when the program is told to end, beyond the time in which set-ups come,
// holds its end back until it is given.
func TestShutdownWaitsForUnfinishedWork(t *testing.T) {
	for _, test := range []struct {
		name  string
		alone bool // how it is given needs a new connection, which a successor gets
		// owe brings it about that something is owed, and returns how it is given.
		owe func(t *testing.T, server *testServer) func()
	}{
		{"half a set-up has come", false, func(t *testing.T, server *testServer) func() {
			client := server.connect(t)
			b, err := json.Marshal(testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			if err != nil {
				t.Fatal(err)
			}
			pingServer(t, client)
			client.Write(b[:len(b)/2])
			server.waitUntil(t, "half a set-up", server.clientFront.HasUndelivered)
			return func() {
				client.Write(append(b[len(b)/2:], '\n'))
				if line := testbed.Wait(t, "the answer", client.Lines); line.Verb != "STARTED" {
					t.Errorf("got %v", line)
				}
			}
		}},
		{"an answer lies behind what its owner has not read", false, func(t *testing.T, server *testServer) func() {
			conn := newSlowReader(t, server)
			testbed.Send(conn, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			server.waitUntil(t, "a task", func() bool { return server.dispatcher.RunningCount() == 1 })
			return func() {
				conn.SetReadDeadline(time.Now().Add(testbed.Patience))
				for r := bufio.NewScanner(conn); r.Scan(); {
					if strings.Contains(r.Text(), "STARTED") {
						return
					}
				}
				t.Error("the answer never came")
			}
		}},
		{"a release was not heard", false, func(t *testing.T, server *testServer) func() {
			client := server.connect(t)
			testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			if line := testbed.Wait(t, "the answer", client.Lines); line.Verb != "STARTED" {
				t.Fatalf("got %v", line)
			}
			server.workers[0].Vanish()
			testbed.Send(client, testbed.FinishLine("FINISH", testbed.RequestID(1), 16))
			pingServer(t, client)
			return func() { server.workers[0].End(testbed.RequestID(1), 31) }
		}},
		{"an end has found no owner", true, func(t *testing.T, server *testServer) func() {
			client := server.connect(t)
			testbed.Send(client, adoptedLine(testbed.RequestID(1), "a"))
			pingServer(t, client)
			client.Close()
			server.waitUntil(t, "no owner", func() bool { return server.clientFront.Connections() == 0 })
			server.workers[0].End(testbed.RequestID(1), 16)
			server.waitUntil(t, "the end here", server.clientFront.HasUndelivered)
			return func() {
				client := server.connect(t)
				testbed.Send(client, testbed.Line{Verb: "ECHO", Tag: "t", Opts: map[string]string{}})
				expectCause(t, "the end", client, testbed.RequestID(1), 16)
			}
		}},
	} {
		play := func(t *testing.T, successor bool) {
			t.Parallel()
			server := newTestServer(t, "a")
			give := test.owe(t, server)
			began := int64(0)
			server.onLoop(t, func() { server.inheritedListener, server.hasSuccessor, began = successor, successor, server.loop.Now() })
			server.Stop()
			for limit, age := time.Now().Add(testbed.Patience), int64(0); age < lateRequestsUs+100_000; {
				select {
				case <-server.runResult:
					t.Fatal("it ended with that owed")
				case <-time.After(time.Millisecond):
				}
				if time.Now().After(limit) {
					t.Fatal("its clock stands still")
				}
				server.loop.Post(func() { server.aged <- server.loop.Now() - began })
				select {
				case age = <-server.aged:
				case <-server.runResult:
					t.Fatal("it ended with that owed")
				}
			}
			give()
			testbed.Wait(t, "the end of the program", server.runResult)
		}
		t.Run(test.name, func(t *testing.T) { play(t, false) })
		if !test.alone {
			t.Run(test.name+", beside a successor", func(t *testing.T) { play(t, true) })
		}
	}
}
