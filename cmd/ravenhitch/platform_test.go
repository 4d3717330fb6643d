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
	w := newTestServer(t, "a")
	first := w.connect(t)
	for i, task := range []string{"ok-1", "ok-2"} {
		testbed.Send(first, testbed.StartLine(testbed.RequestID(i+1), "guide-web", task, 5000))
		if l := testbed.Wait(t, task, first.Lines); l.Verb != "STARTED" || *l.Blob != "a holds about "+task {
			t.Fatalf("%s got %v", task, l)
		}
	}
	second := w.connect(t)
	testbed.Send(second, testbed.Line{Verb: "ECHO", Tag: "t", Opts: map[string]string{}})
	if l := testbed.Wait(t, "the test", second.Lines); l.Verb != "ECHOED" || l.Cause() != 1 || l.Tag != "t" {
		t.Errorf("the test got %v", l)
	}
	first.Close()
	w.waitUntil(t, "one owner", func() bool { return w.clientFront.Connections() == 1 })
	w.workers[0].End(testbed.RequestID(1), 16)
	expectCause(t, "the first end", second, testbed.RequestID(1), 16)
	second.Close()
	w.waitUntil(t, "no owner", func() bool { return w.clientFront.Connections() == 0 })
	w.workers[0].End(testbed.RequestID(2), 41)
	w.waitUntil(t, "the end here", func() bool { return w.dispatcher.RunningCount() == 0 })
	// One that only connects may be anybody: the end waits for one that speaks.
	silent, third := w.connect(t), w.connect(t)
	testbed.Send(third, testbed.Line{Verb: "ECHO", Tag: "t", Opts: map[string]string{}})
	expectCause(t, "the second end", third, testbed.RequestID(2), 41)
	for l := range silent.Lines { // closed after a while
		t.Errorf("the silent one got %v", l)
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
	w := newServerWithSockets(t, 64, "a") // 32 descriptors aside, three quarters of the rest for owners
	busy := w.connect(t)
	testbed.Send(busy, testbed.StartLine(testbed.RequestID(1), "guide-web", "silent-1", 3000))
	testbed.Wait(t, "the offer", w.workers[0].Starts)
	spoke := w.connect(t)
	testbed.Send(spoke, testbed.Line{Verb: "ECHO", Tag: "t", Opts: map[string]string{}})
	testbed.Wait(t, "the test", spoke.Lines)
	half, rest := w.connect(t), testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-3", 6000)
	b, err := json.Marshal(rest)
	if err != nil {
		t.Fatal(err)
	}
	half.Write(b[:len(b)/2])
	w.waitUntil(t, "half a set-up", w.clientFront.HasUndelivered)
	closed := make(chan bool, 21)
	for range 21 {
		idle := w.connect(t)
		go func() {
			for range idle.Lines {
			}
			closed <- true
		}()
	}
	w.waitUntil(t, "all are connected", func() bool { return w.clientFront.Connections() == 24 })
	late := w.connect(t)
	began := time.Now()
	testbed.Send(late, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 6000))
	if l := testbed.Wait(t, "the late owner's answer", late.Lines); l.Verb != "STARTED" {
		t.Errorf("got %v", l)
	}
	if d := time.Since(began); d > time.Second {
		t.Errorf("the late owner waited %s", d)
	}
	half.Write(append(b[len(b)/2:], '\n'))
	if l := testbed.Wait(t, "the answer of the one that writes slowly", half.Lines); l.Verb != "STARTED" {
		t.Errorf("got %v", l)
	}
	for range 21 { // all of them, in time
		testbed.Wait(t, "the end of a silent connection", closed)
	}
	if d := time.Since(began); d > 3*time.Second {
		t.Errorf("the silent ones were closed after %s", d)
	}
	if l := testbed.Wait(t, "the busy owner's answer", busy.Lines); l.Tag != testbed.RequestID(1) {
		t.Errorf("got %v", l)
	}
	testbed.Send(spoke, testbed.Line{Verb: "ECHO", Tag: "u", Opts: map[string]string{}})
	testbed.Wait(t, "the second test", spoke.Lines)
}

// Connections that asked once and stay make room at once; those that had a task do
// after a while, and until then the program does not end with a caller in the queue.
func TestQueuedConnectionsAreServed(t *testing.T) {
	w := newServerWithSockets(t, 64, "a")
	for i := range 24 {
		o := w.connect(t)
		testbed.Send(o, testbed.Line{Verb: "ECHO", Tag: testbed.RequestID(i), Opts: map[string]string{}})
		testbed.Wait(t, "the test", o.Lines)
	}
	var had []*testbed.Client
	for i := range 24 {
		began := time.Now()
		o := w.connect(t)
		testbed.Send(o, testbed.StartLine(testbed.RequestID(i+1), "guide-web", fmt.Sprint("ok-", i), 5000))
		if l := testbed.Wait(t, "the answer", o.Lines); l.Verb != "STARTED" || time.Since(began) > 700*time.Millisecond {
			t.Errorf("got %v after %s", l, time.Since(began))
		}
		had = append(had, o)
	}
	w.Stop()
	late := w.connect(t)
	testbed.Send(late, testbed.StartLine(testbed.RequestID(99), "guide-web", "ok-99", 5000))
	if l := testbed.Wait(t, "the answer of the one in the queue", late.Lines); l.Verb != "STARTED" {
		t.Errorf("got %v", l)
	}
	for l := range had[0].Lines { // closed
		t.Errorf("the one quiet longest got %v", l)
	}
}

// A malformed line ends its own connection only, with an answer for what was taken
// before it, at once.
func TestMalformedLines(t *testing.T) {
	w := newTestServer(t, "a")
	bad, idle, good, half := w.connect(t), w.connect(t), w.connect(t), w.connect(t)
	testbed.Send(bad, testbed.StartLine(testbed.RequestID(1), "guide-web", "silent-1", 60_000))
	testbed.Wait(t, "the offer", w.workers[0].Starts)
	bad.Write([]byte("{\"verb\":\"START\"\n"))
	idle.Write([]byte(strings.Repeat("x", 17<<10)))
	half.Write([]byte("{\"verb\":"))
	for l := range idle.Lines {
		t.Errorf("the idle owner got %v", l)
	}
	testbed.Send(good, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 5000))
	if l := testbed.Wait(t, "another owner's answer", good.Lines); l.Verb != "STARTED" {
		t.Errorf("another owner got %v", l)
	}
	if l := testbed.Wait(t, "the answer", bad.Lines); l.Tag != testbed.RequestID(1) || l.Verb != "FINISH" {
		t.Errorf("got %v", l)
	}
	for l := range bad.Lines {
		t.Errorf("got %v after the answer", l)
	}
	for l := range half.Lines {
		t.Errorf("half a message got %v", l)
	}
	// One in pieces is whole.
	o := w.connect(t)
	b, err := json.Marshal(testbed.StartLine(testbed.RequestID(4), "guide-web", "ok-4", 5000))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range append(b, '\n') {
		o.Write([]byte{c})
	}
	if l := testbed.Wait(t, "the answer", o.Lines); l.Tag != testbed.RequestID(4) || l.Verb != "STARTED" {
		t.Errorf("got %v", l)
	}
}

// What can't be used is answered with an error at the front and reaches no minion:
// there it would only count against the minion.
func TestInvalidSubmissions(t *testing.T) {
	w := newTestServer(t, "a")
	o, other := w.connect(t), w.connect(t)
	spoil := []func(l *testbed.Line){
		func(l *testbed.Line) { l.Opts["class"] = "guide-web_x" }, func(l *testbed.Line) { l.Opts["left"] = "-5" },
		func(l *testbed.Line) { l.Opts["left"] = "soon" }, func(l *testbed.Line) { l.Opts["extras"] = "cores:nan;memory:1" },
		func(l *testbed.Line) { l.Opts["extras"] = "" }, func(l *testbed.Line) { l.Blob = nil }, func(l *testbed.Line) { l.Tag = "" },
		func(l *testbed.Line) { l.Verb = "BEGIN" }, func(l *testbed.Line) { l.Opts["extras"] += ";at:nowhere"; l.Opts["class"] = "x" },
	}
	for i, f := range spoil {
		l := testbed.StartLine(testbed.RequestID(10+i), "guide-web", "ok-bad", 5000)
		f(&l)
		testbed.Send(o, l)
		if got := testbed.Wait(t, "an error", o.Lines); got.Verb != "FINISH" || got.Cause() != 47 || got.Tag != l.Tag {
			t.Errorf("%d: got %v", i, got)
		}
	}
	if n := w.workers[0].StartCount("ok-bad"); n != 0 {
		t.Errorf("%d reached a minion", n)
	}
	// A tag that is open elsewhere, with another description: the first is not touched,
	// nor can it be given up from elsewhere.
	testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "silent-1", 300))
	testbed.Wait(t, "the offer", w.workers[0].Starts)
	testbed.Send(other, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-other", 5000))
	expectCause(t, "the error", other, testbed.RequestID(1), 47)
	testbed.Send(other, testbed.FinishLine("FINISH", testbed.RequestID(1), 16))
	testbed.Wait(t, "the word on the release", other.Lines)
	expectCause(t, "the first one's own answer", o, testbed.RequestID(1), 34)
	// Two under one number on one connection: one answer, and it is no yes.
	two := testbed.StartLine(testbed.RequestID(2), "guide-web", "silent-2", 5000)
	testbed.Send(o, two)
	testbed.Wait(t, "the offer", w.workers[0].Starts)
	testbed.Send(o, two)
	if l := testbed.Wait(t, "one answer for both", o.Lines); l.Verb != "FINISH" || l.Tag != testbed.RequestID(2) {
		t.Errorf("got %v", l)
	}
	// A task said to stand where no minion is known ends in time.
	began := time.Now()
	l := testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-3", 5000)
	l.Opts["extras"] += ";at:nowhere"
	testbed.Send(o, l)
	if l := testbed.Wait(t, "its end", o.Lines); l.Verb != "FINISH" || l.Tag != testbed.RequestID(3) || time.Since(began) > 3*time.Second {
		t.Errorf("got %v after %s", l, time.Since(began))
	}
	// More than a new connection may have open is refused at once; enough of what
	// can't be used ends it.
	crowd := w.connect(t)
	for i := range 40 {
		testbed.Send(crowd, testbed.StartLine(testbed.RequestID(100+i), "guide-web", fmt.Sprint("silent-c", i), 60_000))
	}
	for range 8 {
		if l := testbed.Wait(t, "a refusal", crowd.Lines); l.Cause() != 34 || l.Opts["wait"] == "" {
			t.Errorf("got %v", l)
		}
	}
	for range 70 {
		testbed.Send(crowd, testbed.Line{Verb: "START", Tag: "x", Opts: map[string]string{}})
	}
	n := 0
	for l := range crowd.Lines {
		if n++; l.Verb != "FINISH" {
			t.Errorf("got %v", l)
		}
	}
	if n < 32 {
		t.Errorf("%d answers before the end", n)
	}
}

// A refused connection proves that nothing ran, so even a task that must not
// start twice goes elsewhere.
func TestRefusedConnection(t *testing.T) {
	w := newTestServer(t)
	dead, alive := testbed.NewWorker(t, "dead"), testbed.NewWorker(t, "alive")
	dead.RefuseConnections()
	w.discovery.Add(true, dead.ListEntry("up"), alive.ListEntry("up"))
	w.discovery.WaitPolled(t)
	o := w.connect(t)
	for i := range 8 {
		task := fmt.Sprint("ok-", i)
		testbed.Send(o, testbed.StartLine(testbed.RequestID(i), "archive-cut", task, 5000))
		if l := testbed.Wait(t, "the answer", o.Lines); l.Verb != "STARTED" || *l.Blob != "alive holds about "+task {
			t.Errorf("got %v", l)
		}
		if alive.StartCount(task) != 1 {
			t.Errorf("%s was started %d times", task, alive.StartCount(task))
		}
	}
	if n := w.counts(t).ConnectFailed; n == 0 {
		t.Error("the dead one was never tried")
	}
}

// Where an offer was given up and nothing came in since, the next goes out on a
// new connection: to a minion that was cut off, that one fails with proof that
// nothing ran.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	w := newTestServer(t, "a")
	o := w.connect(t)
	testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the answer", o.Lines)
	testbed.Send(o, testbed.StartLine(testbed.RequestID(2), "guide-web", "silent-1", 5000))
	for _, what := range []string{"ok-1", "the first attempt", "the second attempt"} {
		testbed.Wait(t, what, w.workers[0].Starts)
	}
	if dials, _ := w.workers[0].DialCounts(); dials < 2 {
		t.Errorf("%d connections", dials)
	}
}

// Where tasks stand and nothing comes in, the connection may be dead without a sign:
// another one is opened, on which the minion tells the ends.
func TestIdleConnectionIsVerified(t *testing.T) {
	w := newTestServer(t, "a")
	o := w.connect(t)
	testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the answer", o.Lines)
	m := w.workers[0]
	m.Forget()
	m.End(testbed.RequestID(1), 16)
	expectCause(t, "the end", o, testbed.RequestID(1), 16)
}

// A connection that breaks after the offer proves nothing: such a task is not
// sent again.
func TestResetAfterOffer(t *testing.T) {
	w := newTestServer(t, "a")
	o := w.connect(t)
	testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "archive-cut", "reset-1", 5000))
	if l := testbed.Wait(t, "the answer", o.Lines); l.Cause() == 34 || l.Verb != "FINISH" {
		t.Errorf("got %v", l)
	}
	if n := w.workers[0].StartCount("reset-1"); n != 1 {
		t.Errorf("offered %d times", n)
	}
}

// An answer that stops short, lacks its description or comes with more than is its
// own: nothing spoilt is passed on, the connection is done for, others on it are
// settled too, and the class decides on another attempt.
func TestMalformedWorkerResponses(t *testing.T) {
	w := newTestServer(t, "a")
	o := w.connect(t)
	testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the answer", o.Lines)
	for i, kind := range []string{"half", "bare"} {
		at := 10 * (i + 1)
		testbed.Send(o, testbed.StartLine(testbed.RequestID(at), "guide-web", kind+"-web", 5000))
		if l := testbed.Wait(t, kind, o.Lines); l.Verb != "STARTED" || l.Tag != testbed.RequestID(at) || *l.Blob != "about "+kind+"-web" {
			t.Errorf("%s: got %v", kind, l)
		}
		// Others on the connection, and one that must not start twice, are not left to
		// their deadline.
		began := time.Now()
		testbed.Send(o, testbed.StartLine(testbed.RequestID(at+1), "archive-cut", "silent-"+kind, 10_000))
		testbed.Send(o, testbed.StartLine(testbed.RequestID(at+2), "archive-cut", kind+"-cut", 10_000))
		for range 2 {
			if l := testbed.Wait(t, "a failure", o.Lines); l.Verb != "FINISH" || l.Cause() == 34 {
				t.Errorf("%s: got %v", kind, l)
			}
		}
		if d := time.Since(began); d > 3*time.Second {
			t.Errorf("%s: settled after %s", kind, d)
		}
		if n := w.workers[0].StartCount(kind+"-cut") + w.workers[0].StartCount("silent-"+kind); n != 2 {
			t.Errorf("%s: started %d times", kind, n)
		}
	}
	testbed.Send(o, testbed.StartLine(testbed.RequestID(2), "guide-web", "twice-1", 5000))
	testbed.Send(o, testbed.Line{Verb: "ECHO", Tag: "t", Opts: map[string]string{}})
	verbs := testbed.Wait(t, "one word", o.Lines).Verb + testbed.Wait(t, "another", o.Lines).Verb
	testbed.Send(o, testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-3", 5000))
	if l := testbed.Wait(t, "the next task's answer", o.Lines); l.Tag != testbed.RequestID(3) || len(verbs) != len("STARTEDECHOED") {
		t.Errorf("got %v after %s", l, verbs)
	}
}

// A minion whose process dies resets its connections and refuses new ones: what
// stood there is told to be over.
func TestDeadWorker(t *testing.T) {
	w := newTestServer(t, "a")
	o := w.connect(t)
	testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the answer", o.Lines)
	m := w.workers[0]
	m.Die()
	expectCause(t, "the end", o, testbed.RequestID(1), 41)
}

// A new minion at the address of a departed one is not taken for it.
func TestReusedWorkerAddress(t *testing.T) {
	w := newTestServer(t, "a")
	o := w.connect(t)
	testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the answer", o.Lines)
	m := w.workers[0]
	successor := strings.Replace(m.ListEntry("up"), `"a"`, `"b"`, 1)
	w.discovery.Add(false, m.ListEntry("removed"), successor)
	w.discovery.WaitPolled(t)
	testbed.Send(o, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 5000))
	if l := testbed.Wait(t, "the answer", o.Lines); l.Tag != testbed.RequestID(2) || l.Verb != "STARTED" {
		t.Errorf("got %v", l)
	}
	// What stood at the departed one ends without a word from it.
	expectCause(t, "the end", o, testbed.RequestID(1), 41)
	var standing int
	if w.onLoop(t, func() { standing = w.dispatcher.RunningCount() }); standing != 1 {
		t.Errorf("%d tasks stand", standing)
	}
}

// A task found running needs no answer, and its end is passed on; its owner's
// release reaches the minion.
func TestAdoptedTasks(t *testing.T) {
	w := newTestServer(t, "a")
	o := w.connect(t)
	for i := range 2 {
		l := testbed.StartLine(testbed.RequestID(i+1), "guide-web", "ok-1", 5000)
		l.Opts["extras"] += ";at:a"
		testbed.Send(o, l)
	}
	w.waitUntil(t, "both stand", func() bool { return w.dispatcher.RunningCount() == 2 })
	w.workers[0].End(testbed.RequestID(1), 16)
	expectCause(t, "the end", o, testbed.RequestID(1), 16)
	testbed.Send(o, testbed.FinishLine("FINISH", testbed.RequestID(2), 16))
	if l := testbed.Wait(t, "the release", w.workers[0].Ends); l.Tag != testbed.RequestID(2) {
		t.Errorf("the minion got %v", l)
	}
	if len(w.workers[0].Starts) != 0 {
		t.Error("a task that runs was offered")
	}
}

// A new configuration moves the program to another command channel, which it asks
// for what follows the last event; one that can't be used changes nothing. What is
// open and what stands is not touched.
func TestReload(t *testing.T) {
	w := newTestServer(t, "a")
	o := w.connect(t)
	testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the answer", o.Lines)
	w.discovery.WaitPolled(t)
	next := testbed.NewDiscovery(t)
	next.CopyFrom(w.discovery)
	b := testbed.NewWorker(t, "b")
	next.Add(false, w.workers[0].ListEntry("draining"), b.ListEntry("up"))
	path := filepath.Join(t.TempDir(), "config.json")
	for _, text := range []string{"{", configJSON(next)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		w.Reload(path)
	}
	if n := testbed.Wait(t, "the new channel is asked", next.Asked); n != 1 {
		t.Errorf("asked for what follows %d", n)
	}
	next.WaitPolled(t)
	w.discovery.Srv.CloseClientConnections()
	testbed.Send(o, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 5000))
	if l := testbed.Wait(t, "the answer", o.Lines); l.Verb != "STARTED" || *l.Blob != "b holds about ok-2" {
		t.Errorf("got %v", l)
	}
	w.workers[0].End(testbed.RequestID(1), 16)
	expectCause(t, "the end", o, testbed.RequestID(1), 16)
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
	f, m := testbed.NewDiscovery(t), testbed.NewWorker(t, "a")
	f.Add(true, m.ListEntry("up"))
	cmd := command(configJSON(f))
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
	o := w.connect(t)
	testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "silent-1", 1500))
	testbed.Wait(t, "the offer", m.Starts)
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP) // a file that can't be used: one line, and it goes on
	for l := ""; !strings.Contains(l, "configuration not reloaded"); {
		l = testbed.Wait(t, "the line about the file", lines)
	}
	began := time.Now()
	cmd.Process.Signal(syscall.SIGTERM)
	if l := testbed.Wait(t, "the answer", o.Lines); l.Verb != "FINISH" || l.Tag != testbed.RequestID(1) || !hasValidRetryAfter(l) {
		t.Errorf("got %v", l)
	}
	if err := cmd.Wait(); err != nil || time.Since(began) > 3700*time.Millisecond {
		t.Errorf("ended with %v after %s", err, time.Since(began))
	}
}

// hasValidRetryAfter reports whether a refusal says when to come again, within the settings'
// longest.
func hasValidRetryAfter(l testbed.Line) bool {
	ms, err := strconv.Atoi(l.Opts["wait"])
	return err == nil && ms >= 0 && ms <= 3000
}
