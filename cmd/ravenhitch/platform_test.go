package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"ravenhitch/internal/testbed"

	"ravenhitch/placement"
)

// A task belongs to no connection: its end goes to another owner's connection, or
// to the next one that comes.
func TestCompletionGoesToAnotherClient(t *testing.T) {
	server := newTestServer(t, "a")
	first := server.connect(t)
	for i, task := range []string{"ok-1", "ok-2"} {
		testbed.Send(first, testbed.StartLine(testbed.RequestID(i+1), "guide-web", task, 5000))
		if line := testbed.Wait(t, task, first.Lines); line.Verb != "STARTED" || *line.Blob != "a holds about "+task {
			t.Fatalf("%s got %v", task, line)
		}
	}
	second := server.connect(t)
	testbed.Send(second, testbed.Line{Verb: "ECHO", Tag: "t", Opts: map[string]string{}})
	if line := testbed.Wait(t, "the test", second.Lines); line.Verb != "ECHOED" || line.Cause() != 1 || line.Tag != "t" {
		t.Errorf("the test got %v", line)
	}
	first.Close()
	server.waitUntil(t, "one owner", func() bool { return server.clientFront.Connections() == 1 })
	server.workers[0].End(testbed.RequestID(1), 16)
	expectCause(t, "the first end", second, testbed.RequestID(1), 16)
	second.Close()
	server.waitUntil(t, "no owner", func() bool { return server.clientFront.Connections() == 0 })
	server.workers[0].End(testbed.RequestID(2), 41)
	server.waitUntil(t, "the end here", func() bool { return server.dispatcher.RunningCount() == 0 })
	// One that only connects may be anybody: the end waits for one that speaks.
	silent, third := server.connect(t), server.connect(t)
	testbed.Send(third, testbed.Line{Verb: "ECHO", Tag: "t", Opts: map[string]string{}})
	expectCause(t, "the second end", third, testbed.RequestID(2), 41)
	for line := range silent.Lines { // closed after a while
		t.Errorf("the silent one got %v", line)
	}
}

// waitUntil runs f on the loop until it holds.
func (w *testServer) waitUntil(t *testing.T, what string, f func() bool) {
	t.Helper()
	for limit := time.Now().Add(testbed.Patience); ; {
		ok := false
		w.onLoop(t, func() { ok = f() })
		if ok {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("%s: never came", what)
		}
	}
}

// At the limit of connections one that never said anything makes room first, before one
// that has begun to, then one with nothing open on it that was quiet for a while; one that
// is owed an answer never does.
func TestEvictionOrderAtConnectionLimit(t *testing.T) {
	server := newServerWithSockets(t, 64, "a") // 32 descriptors aside, three quarters of the rest for owners
	busy := server.connect(t)
	testbed.Send(busy, testbed.StartLine(testbed.RequestID(1), "guide-web", "silent-1", 3000))
	testbed.Wait(t, "the offer", server.workers[0].Starts)
	spoke := server.connect(t)
	testbed.Send(spoke, testbed.Line{Verb: "ECHO", Tag: "t", Opts: map[string]string{}})
	testbed.Wait(t, "the test", spoke.Lines)
	half, rest := server.connect(t), testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-3", 6000)
	b, err := json.Marshal(rest)
	if err != nil {
		t.Fatal(err)
	}
	half.Write(b[:len(b)/2])
	server.waitUntil(t, "half a set-up", server.clientFront.HasUndelivered)
	closed := make(chan bool, 21)
	for range 21 {
		idle := server.connect(t)
		go func() {
			for range idle.Lines {
			}
			closed <- true
		}()
	}
	server.waitUntil(t, "all are connected", func() bool { return server.clientFront.Connections() == 24 })
	late := server.connect(t)
	began := time.Now()
	testbed.Send(late, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 6000))
	if line := testbed.Wait(t, "the late owner's answer", late.Lines); line.Verb != "STARTED" {
		t.Errorf("got %v", line)
	}
	if d := time.Since(began); d > time.Second {
		t.Errorf("the late owner waited %s", d)
	}
	half.Write(append(b[len(b)/2:], '\n'))
	if line := testbed.Wait(t, "the answer of the one that writes slowly", half.Lines); line.Verb != "STARTED" {
		t.Errorf("got %v", line)
	}
	for range 21 { // all of them, in time
		testbed.Wait(t, "the end of a silent connection", closed)
	}
	if d := time.Since(began); d > 3*time.Second {
		t.Errorf("the silent ones were closed after %s", d)
	}
	if line := testbed.Wait(t, "the busy owner's answer", busy.Lines); line.Tag != testbed.RequestID(1) {
		t.Errorf("got %v", line)
	}
	testbed.Send(spoke, testbed.Line{Verb: "ECHO", Tag: "u", Opts: map[string]string{}})
	testbed.Wait(t, "the second test", spoke.Lines)
}

// Connections that asked once and stay make room at once; those that had a task do
// after a while, and until then the program does not end with a caller in the queue.
func TestQueuedConnectionsAreServed(t *testing.T) {
	server := newServerWithSockets(t, 64, "a")
	for i := range 24 {
		client := server.connect(t)
		testbed.Send(client, testbed.Line{Verb: "ECHO", Tag: testbed.RequestID(i), Opts: map[string]string{}})
		testbed.Wait(t, "the test", client.Lines)
	}
	var had []*testbed.Client
	for i := range 24 {
		began := time.Now()
		client := server.connect(t)
		testbed.Send(client, testbed.StartLine(testbed.RequestID(i+1), "guide-web", fmt.Sprint("ok-", i), 5000))
		if line := testbed.Wait(t, "the answer", client.Lines); line.Verb != "STARTED" || time.Since(began) > 700*time.Millisecond {
			t.Errorf("got %v after %s", line, time.Since(began))
		}
		had = append(had, client)
	}
	server.Stop()
	late := server.connect(t)
	testbed.Send(late, testbed.StartLine(testbed.RequestID(99), "guide-web", "ok-99", 5000))
	if line := testbed.Wait(t, "the answer of the one in the queue", late.Lines); line.Verb != "STARTED" {
		t.Errorf("got %v", line)
	}
	for line := range had[0].Lines { // closed
		t.Errorf("the one quiet longest got %v", line)
	}
}

// A malformed line ends its own connection only, with an answer for what was taken
// before it, at once.
func TestMalformedLines(t *testing.T) {
	server := newTestServer(t, "a")
	bad, idle, good, half := server.connect(t), server.connect(t), server.connect(t), server.connect(t)
	testbed.Send(bad, testbed.StartLine(testbed.RequestID(1), "guide-web", "silent-1", 60_000))
	testbed.Wait(t, "the offer", server.workers[0].Starts)
	bad.Write([]byte("{\"verb\":\"START\"\n"))
	idle.Write([]byte(strings.Repeat("x", 17<<10)))
	half.Write([]byte("{\"verb\":"))
	for line := range idle.Lines {
		t.Errorf("the idle owner got %v", line)
	}
	testbed.Send(good, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 5000))
	if line := testbed.Wait(t, "another owner's answer", good.Lines); line.Verb != "STARTED" {
		t.Errorf("another owner got %v", line)
	}
	if line := testbed.Wait(t, "the answer", bad.Lines); line.Tag != testbed.RequestID(1) || line.Verb != "FINISH" {
		t.Errorf("got %v", line)
	}
	for line := range bad.Lines {
		t.Errorf("got %v after the answer", line)
	}
	for line := range half.Lines {
		t.Errorf("half a message got %v", line)
	}
	// One in pieces is whole.
	client := server.connect(t)
	b, err := json.Marshal(testbed.StartLine(testbed.RequestID(4), "guide-web", "ok-4", 5000))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range append(b, '\n') {
		client.Write([]byte{c})
	}
	if line := testbed.Wait(t, "the answer", client.Lines); line.Tag != testbed.RequestID(4) || line.Verb != "STARTED" {
		t.Errorf("got %v", line)
	}
}

// What can't be used is answered with an error at the front and reaches no minion:
// there it would only count against the minion.
func TestInvalidSubmissions(t *testing.T) {
	server := newTestServer(t, "a")
	client, other := server.connect(t), server.connect(t)
	spoil := []func(line *testbed.Line){
		func(line *testbed.Line) { line.Opts["class"] = "guide-web_x" }, func(line *testbed.Line) { line.Opts["left"] = "-5" },
		func(line *testbed.Line) { line.Opts["left"] = "soon" }, func(line *testbed.Line) { line.Opts["extras"] = "cores:nan;memory:1" },
		func(line *testbed.Line) { line.Opts["extras"] = "" }, func(line *testbed.Line) { line.Blob = nil }, func(line *testbed.Line) { line.Tag = "" },
		func(line *testbed.Line) { line.Verb = "BEGIN" }, func(line *testbed.Line) { line.Opts["extras"] += ";at:nowhere"; line.Opts["class"] = "x" },
	}
	for i, f := range spoil {
		line := testbed.StartLine(testbed.RequestID(10+i), "guide-web", "ok-bad", 5000)
		f(&line)
		testbed.Send(client, line)
		if got := testbed.Wait(t, "an error", client.Lines); got.Verb != "FINISH" || got.Cause() != 47 || got.Tag != line.Tag {
			t.Errorf("%d: got %v", i, got)
		}
	}
	if n := server.workers[0].StartCount("ok-bad"); n != 0 {
		t.Errorf("%d reached a minion", n)
	}
	// A tag that is open elsewhere, with another description: the first is not touched,
	// nor can it be given up from elsewhere.
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "silent-1", 300))
	testbed.Wait(t, "the offer", server.workers[0].Starts)
	testbed.Send(other, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-other", 5000))
	expectCause(t, "the error", other, testbed.RequestID(1), 47)
	testbed.Send(other, testbed.FinishLine("FINISH", testbed.RequestID(1), 16))
	testbed.Wait(t, "the word on the release", other.Lines)
	expectCause(t, "the first one's own answer", client, testbed.RequestID(1), 34)
	// Two under one number on one connection: one answer, and it is no yes.
	two := testbed.StartLine(testbed.RequestID(2), "guide-web", "silent-2", 5000)
	testbed.Send(client, two)
	testbed.Wait(t, "the offer", server.workers[0].Starts)
	testbed.Send(client, two)
	if line := testbed.Wait(t, "one answer for both", client.Lines); line.Verb != "FINISH" || line.Tag != testbed.RequestID(2) {
		t.Errorf("got %v", line)
	}
	// A task said to stand where no minion is known ends in time.
	began := time.Now()
	line := testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-3", 5000)
	line.Opts["extras"] += ";at:nowhere"
	testbed.Send(client, line)
	if line := testbed.Wait(t, "its end", client.Lines); line.Verb != "FINISH" || line.Tag != testbed.RequestID(3) || time.Since(began) > 3*time.Second {
		t.Errorf("got %v after %s", line, time.Since(began))
	}
	// More than a new connection may have open is refused at once; enough of what
	// can't be used ends it.
	crowd := server.connect(t)
	for i := range 40 {
		testbed.Send(crowd, testbed.StartLine(testbed.RequestID(100+i), "guide-web", fmt.Sprint("silent-c", i), 60_000))
	}
	for range 8 {
		if line := testbed.Wait(t, "a refusal", crowd.Lines); line.Cause() != 34 || line.Opts["wait"] == "" {
			t.Errorf("got %v", line)
		}
	}
	for range 70 {
		testbed.Send(crowd, testbed.Line{Verb: "START", Tag: "x", Opts: map[string]string{}})
	}
	n := 0
	for line := range crowd.Lines {
		if n++; line.Verb != "FINISH" {
			t.Errorf("got %v", line)
		}
	}
	if n < 32 {
		t.Errorf("%d answers before the end", n)
	}
}

// A refused connection proves that nothing ran, so even a task that must not
// start twice goes elsewhere.
func TestRefusedConnection(t *testing.T) {
	server := newTestServer(t)
	dead, alive := testbed.NewWorker(t, "dead"), testbed.NewWorker(t, "alive")
	dead.RefuseConnections()
	server.discovery.Add(true, dead.ListEntry("up"), alive.ListEntry("up"))
	server.discovery.WaitPolled(t)
	client := server.connect(t)
	for i := range 8 {
		task := fmt.Sprint("ok-", i)
		testbed.Send(client, testbed.StartLine(testbed.RequestID(i), "archive-cut", task, 5000))
		if line := testbed.Wait(t, "the answer", client.Lines); line.Verb != "STARTED" || *line.Blob != "alive holds about "+task {
			t.Errorf("got %v", line)
		}
		if alive.StartCount(task) != 1 {
			t.Errorf("%s was started %d times", task, alive.StartCount(task))
		}
	}
	if n := server.counts(t).ConnectFailed; n == 0 {
		t.Error("the dead one was never tried")
	}
}

// Where an offer was given up and nothing came in since, the next goes out on a
// new connection: to a minion that was cut off, that one fails with proof that
// nothing ran.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the answer", client.Lines)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(2), "guide-web", "silent-1", 5000))
	for _, what := range []string{"ok-1", "the first attempt", "the second attempt"} {
		testbed.Wait(t, what, server.workers[0].Starts)
	}
	if dials, _ := server.workers[0].DialCounts(); dials < 2 {
		t.Errorf("%d connections", dials)
	}
}

// Where tasks stand and nothing comes in, the connection may be dead without a sign:
// another one is opened, on which the minion tells the ends.
func TestIdleConnectionIsVerified(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the answer", client.Lines)
	worker := server.workers[0]
	worker.Forget()
	worker.End(testbed.RequestID(1), 16)
	expectCause(t, "the end", client, testbed.RequestID(1), 16)
}

// A connection that breaks after the offer proves nothing: such a task is not
// sent again.
func TestResetAfterOffer(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "archive-cut", "reset-1", 5000))
	if line := testbed.Wait(t, "the answer", client.Lines); line.Cause() == 34 || line.Verb != "FINISH" {
		t.Errorf("got %v", line)
	}
	if n := server.workers[0].StartCount("reset-1"); n != 1 {
		t.Errorf("offered %d times", n)
	}
}

// An answer that stops short, lacks its description or comes with more than is its
// own: nothing spoilt is passed on, the connection is done for, others on it are
// settled too, and the class decides on another attempt.
func TestMalformedWorkerResponses(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the answer", client.Lines)
	for i, kind := range []string{"half", "bare"} {
		at := 10 * (i + 1)
		testbed.Send(client, testbed.StartLine(testbed.RequestID(at), "guide-web", kind+"-web", 5000))
		if line := testbed.Wait(t, kind, client.Lines); line.Verb != "STARTED" || line.Tag != testbed.RequestID(at) || *line.Blob != "about "+kind+"-web" {
			t.Errorf("%s: got %v", kind, line)
		}
		// Others on the connection, and one that must not start twice, are not left to
		// their deadline.
		began := time.Now()
		testbed.Send(client, testbed.StartLine(testbed.RequestID(at+1), "archive-cut", "silent-"+kind, 10_000))
		testbed.Send(client, testbed.StartLine(testbed.RequestID(at+2), "archive-cut", kind+"-cut", 10_000))
		for range 2 {
			if line := testbed.Wait(t, "a failure", client.Lines); line.Verb != "FINISH" || line.Cause() == 34 {
				t.Errorf("%s: got %v", kind, line)
			}
		}
		if d := time.Since(began); d > 3*time.Second {
			t.Errorf("%s: settled after %s", kind, d)
		}
		if n := server.workers[0].StartCount(kind+"-cut") + server.workers[0].StartCount("silent-"+kind); n != 2 {
			t.Errorf("%s: started %d times", kind, n)
		}
	}
	testbed.Send(client, testbed.StartLine(testbed.RequestID(2), "guide-web", "twice-1", 5000))
	testbed.Send(client, testbed.Line{Verb: "ECHO", Tag: "t", Opts: map[string]string{}})
	verbs := testbed.Wait(t, "one word", client.Lines).Verb + testbed.Wait(t, "another", client.Lines).Verb
	testbed.Send(client, testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-3", 5000))
	if line := testbed.Wait(t, "the next task's answer", client.Lines); line.Tag != testbed.RequestID(3) || len(verbs) != len("STARTEDECHOED") {
		t.Errorf("got %v after %s", line, verbs)
	}
}

// A minion whose process dies resets its connections and refuses new ones: what
// stood there is told to be over.
func TestDeadWorker(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the answer", client.Lines)
	worker := server.workers[0]
	worker.Die()
	expectCause(t, "the end", client, testbed.RequestID(1), 41)
}

// A new minion at the address of a departed one is not taken for it.
func TestReusedWorkerAddress(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the answer", client.Lines)
	worker := server.workers[0]
	successor := strings.Replace(worker.ListEntry("up"), `"a"`, `"b"`, 1)
	server.discovery.Add(false, worker.ListEntry("removed"), successor)
	server.discovery.WaitPolled(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 5000))
	if line := testbed.Wait(t, "the answer", client.Lines); line.Tag != testbed.RequestID(2) || line.Verb != "STARTED" {
		t.Errorf("got %v", line)
	}
	// What stood at the departed one ends without a word from it.
	expectCause(t, "the end", client, testbed.RequestID(1), 41)
	var standing int
	if server.onLoop(t, func() { standing = server.dispatcher.RunningCount() }); standing != 1 {
		t.Errorf("%d tasks stand", standing)
	}
}

// A task found running needs no answer, and its end is passed on; its owner's
// release reaches the minion.
func TestAdoptedTasks(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	for i := range 2 {
		line := testbed.StartLine(testbed.RequestID(i+1), "guide-web", "ok-1", 5000)
		line.Opts["extras"] += ";at:a"
		testbed.Send(client, line)
	}
	server.waitUntil(t, "both stand", func() bool { return server.dispatcher.RunningCount() == 2 })
	server.workers[0].End(testbed.RequestID(1), 16)
	expectCause(t, "the end", client, testbed.RequestID(1), 16)
	testbed.Send(client, testbed.FinishLine("FINISH", testbed.RequestID(2), 16))
	if line := testbed.Wait(t, "the release", server.workers[0].Ends); line.Tag != testbed.RequestID(2) {
		t.Errorf("the minion got %v", line)
	}
	if len(server.workers[0].Starts) != 0 {
		t.Error("a task that runs was offered")
	}
}

// A new configuration moves the program to another command channel, which it asks
// for what follows the last event; one that can't be used changes nothing. What is
// open and what stands is not touched.
func TestReload(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the answer", client.Lines)
	server.discovery.WaitPolled(t)
	next := testbed.NewDiscovery(t)
	next.CopyFrom(server.discovery)
	b := testbed.NewWorker(t, "b")
	next.Add(false, server.workers[0].ListEntry("draining"), b.ListEntry("up"))
	path := filepath.Join(t.TempDir(), "config.json")
	for _, text := range []string{"{", configJSON(next)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		server.Reload(path)
	}
	if n := testbed.Wait(t, "the new channel is asked", next.Asked); n != 1 {
		t.Errorf("asked for what follows %d", n)
	}
	next.WaitPolled(t)
	server.discovery.Srv.CloseClientConnections()
	testbed.Send(client, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 5000))
	if line := testbed.Wait(t, "the answer", client.Lines); line.Verb != "STARTED" || *line.Blob != "b holds about ok-2" {
		t.Errorf("got %v", line)
	}
	server.workers[0].End(testbed.RequestID(1), 16)
	expectCause(t, "the end", client, testbed.RequestID(1), 16)
	next.Add(false, b.ListEntry("draining"))
	next.WaitPolled(t)
}

// What is open at SIGTERM is answered before the kill comes, which hangs on the
// longest deadline.
func TestDrainTimeout(t *testing.T) {
	for longest, want := range map[int64]int64{1_000_000: 1_400_000, 10_000_000: 3_400_000, 100_000: lateRequestsUs} {
		s := placement.Settings{Classes: []placement.Class{{DeadlineUs: 50_000}, {DeadlineUs: longest}}}
		if got := drainTimeout(s, maxDeadlineUs); got != want {
			t.Errorf("longest deadline %d: drain timeout after %d, expected %d", longest, got, want)
		}
	}
}

// The program itself: a configuration that cannot be used ends it with one standin.Line,
// SIGTERM with exit code 0 after what is open is answered.
func TestProgram(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "ravenhitch")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	command := func(text string) *exec.Cmd {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(bin)
		cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path)
		return cmd
	}
	for _, text := range []string{"", "{", "{}"} {
		cmd := command(text)
		out, err := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != 1 || strings.Count(string(out), "\n") != 1 || !strings.HasPrefix(string(out), "ravenhitch: ") {
			t.Errorf("%q: %v, %q", text, err, out)
		}
	}
	discovery, worker := testbed.NewDiscovery(t), testbed.NewWorker(t, "a")
	discovery.Add(true, worker.ListEntry("up"))
	cmd := command(configJSON(discovery))
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	lines := make(chan string, 100)
	go func() {
		for r := bufio.NewScanner(log); r.Scan(); {
			lines <- r.Text()
		}
	}()
	_, addr, _ := strings.Cut(testbed.Wait(t, "the first line", lines), "listen=")
	w := &testServer{server: &server{clientAddr: strings.Fields(addr)[0]}}
	client := w.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "silent-1", 1500))
	testbed.Wait(t, "the offer", worker.Starts)
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP) // a file that can't be used: one line, and it goes on
	for l := ""; !strings.Contains(l, "configuration not reloaded"); {
		l = testbed.Wait(t, "the line about the file", lines)
	}
	began := time.Now()
	cmd.Process.Signal(syscall.SIGTERM)
	if line := testbed.Wait(t, "the answer", client.Lines); line.Verb != "FINISH" || line.Tag != testbed.RequestID(1) || !hasValidRetryAfter(line) {
		t.Errorf("got %v", line)
	}
	if err := cmd.Wait(); err != nil || time.Since(began) > 3700*time.Millisecond {
		t.Errorf("ended with %v after %s", err, time.Since(began))
	}
}

// hasValidRetryAfter reports whether a refusal says when to come again, within the settings'
// longest.
func hasValidRetryAfter(line testbed.Line) bool {
	ms, err := strconv.Atoi(line.Opts["wait"])
	return err == nil && ms >= 0 && ms <= 3000
}
