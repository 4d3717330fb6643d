package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"ravenhitch"
)

// A task belongs to no connection: its end goes to another owner's connection, or
// to the next one that comes.
func TestEndsFindAnOwner(t *testing.T) {
	w := newWorld(t, "a")
	first := w.owner(t)
	for i, task := range []string{"ok-1", "ok-2"} {
		send(first, setUp(tag(i+1), "guide-web", task, 5000))
		if l := wait(t, task, first.lines); l.Verb != "STARTED" || *l.Blob != "a holds about "+task {
			t.Fatalf("%s got %v", task, l)
		}
	}
	second := w.owner(t)
	send(second, line{Verb: "ECHO", Tag: "t", Opts: map[string]string{}})
	if l := wait(t, "the test", second.lines); l.Verb != "ECHOED" || l.rc() != 1 || l.Tag != "t" {
		t.Errorf("the test got %v", l)
	}
	first.Close()
	w.until(t, "one owner", func() bool { return w.front.Connections() == 1 })
	w.minions[0].end(tag(1), 16)
	if l := wait(t, "the first end", second.lines); l.Tag != tag(1) || l.rc() != 16 {
		t.Errorf("got %v", l)
	}
	second.Close()
	w.until(t, "no owner", func() bool { return w.front.Connections() == 0 })
	w.minions[0].end(tag(2), 41)
	w.until(t, "the end here", func() bool { return w.c.Standing() == 0 })
	// One that only connects may be anybody: the end waits for one that speaks.
	silent, third := w.owner(t), w.owner(t)
	send(third, line{Verb: "ECHO", Tag: "t", Opts: map[string]string{}})
	if l := wait(t, "the second end", third.lines); l.Tag != tag(2) || l.rc() != 41 {
		t.Errorf("got %v", l)
	}
	for l := range silent.lines { // closed after a while
		t.Errorf("the silent one got %v", l)
	}
}

// until runs f on the loop until it holds.
func (w *world) until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for limit := time.Now().Add(patience); ; {
		ok := false
		w.on(t, func() { ok = f() })
		if ok {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("%s: never came", what)
		}
	}
}

// At the limit of connections one that never said anything makes room first, then
// one with nothing open on it that was quiet for a while; one that is owed an answer
// never does.
func TestOwnersOverTheLimit(t *testing.T) {
	w := newWorldLimited(t, 64, "a") // 32 descriptors aside, three quarters of the rest for owners
	busy := w.owner(t)
	send(busy, setUp(tag(1), "guide-web", "silent-1", 3000))
	wait(t, "the offer", w.minions[0].starts)
	spoke := w.owner(t)
	send(spoke, line{Verb: "ECHO", Tag: "t", Opts: map[string]string{}})
	wait(t, "the test", spoke.lines)
	closed := make(chan bool, 22)
	for range 22 {
		idle := w.owner(t)
		go func() {
			for range idle.lines {
			}
			closed <- true
		}()
	}
	w.until(t, "all are connected", func() bool { return w.front.Connections() == 24 })
	late := w.owner(t)
	began := time.Now()
	send(late, setUp(tag(2), "guide-web", "ok-2", 6000))
	if l := wait(t, "the late owner's answer", late.lines); l.Verb != "STARTED" {
		t.Errorf("got %v", l)
	}
	if d := time.Since(began); d > time.Second {
		t.Errorf("the late owner waited %s", d)
	}
	for range 22 { // all of them, in time
		wait(t, "the end of a silent connection", closed)
	}
	if d := time.Since(began); d > 3*time.Second {
		t.Errorf("the silent ones were closed after %s", d)
	}
	if l := wait(t, "the busy owner's answer", busy.lines); l.Tag != tag(1) {
		t.Errorf("got %v", l)
	}
	send(spoke, line{Verb: "ECHO", Tag: "u", Opts: map[string]string{}})
	wait(t, "the second test", spoke.lines)
}

// Connections that asked once and stay make room at once; those that had a task do
// after a while, and until then the program does not end with a caller in the queue.
func TestCallersInTheQueue(t *testing.T) {
	w := newWorldLimited(t, 64, "a")
	for i := range 24 {
		o := w.owner(t)
		send(o, line{Verb: "ECHO", Tag: tag(i), Opts: map[string]string{}})
		wait(t, "the test", o.lines)
	}
	var had []*owner
	for i := range 24 {
		began := time.Now()
		o := w.owner(t)
		send(o, setUp(tag(i+1), "guide-web", fmt.Sprint("ok-", i), 5000))
		if l := wait(t, "the answer", o.lines); l.Verb != "STARTED" || time.Since(began) > 700*time.Millisecond {
			t.Errorf("got %v after %s", l, time.Since(began))
		}
		had = append(had, o)
	}
	w.Stop()
	late := w.owner(t)
	send(late, setUp(tag(99), "guide-web", "ok-99", 5000))
	if l := wait(t, "the answer of the one in the queue", late.lines); l.Verb != "STARTED" {
		t.Errorf("got %v", l)
	}
	for l := range had[0].lines { // closed
		t.Errorf("the one quiet longest got %v", l)
	}
}

// A malformed line ends its own connection only, with an answer for what was taken
// before it, at once.
func TestMalformedLines(t *testing.T) {
	w := newWorld(t, "a")
	bad, idle, good, half := w.owner(t), w.owner(t), w.owner(t), w.owner(t)
	send(bad, setUp(tag(1), "guide-web", "silent-1", 60_000))
	wait(t, "the offer", w.minions[0].starts)
	bad.Write([]byte("{\"verb\":\"START\"\n"))
	idle.Write([]byte(strings.Repeat("x", 17<<10)))
	half.Write([]byte("{\"verb\":"))
	for l := range idle.lines {
		t.Errorf("the idle owner got %v", l)
	}
	send(good, setUp(tag(2), "guide-web", "ok-2", 5000))
	if l := wait(t, "another owner's answer", good.lines); l.Verb != "STARTED" {
		t.Errorf("another owner got %v", l)
	}
	if l := wait(t, "the answer", bad.lines); l.Tag != tag(1) || l.Verb != "FINISH" {
		t.Errorf("got %v", l)
	}
	for l := range bad.lines {
		t.Errorf("got %v after the answer", l)
	}
	for l := range half.lines {
		t.Errorf("half a message got %v", l)
	}
	// One in pieces is whole.
	o := w.owner(t)
	b, err := json.Marshal(setUp(tag(4), "guide-web", "ok-4", 5000))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range append(b, '\n') {
		o.Write([]byte{c})
	}
	if l := wait(t, "the answer", o.lines); l.Tag != tag(4) || l.Verb != "STARTED" {
		t.Errorf("got %v", l)
	}
}

// What can't be used is answered with an error at the front and reaches no minion:
// there it would only count against the minion.
func TestBadSetUps(t *testing.T) {
	w := newWorld(t, "a")
	o, other := w.owner(t), w.owner(t)
	spoil := []func(l *line){
		func(l *line) { l.Opts["class"] = "guide-web_x" }, func(l *line) { l.Opts["left"] = "-5" },
		func(l *line) { l.Opts["left"] = "soon" }, func(l *line) { l.Opts["extras"] = "cores:nan;memory:1" },
		func(l *line) { l.Opts["extras"] = "" }, func(l *line) { l.Blob = nil }, func(l *line) { l.Tag = "" },
		func(l *line) { l.Verb = "BEGIN" }, func(l *line) { l.Opts["extras"] += ";at:nowhere"; l.Opts["class"] = "x" },
	}
	for i, f := range spoil {
		l := setUp(tag(10+i), "guide-web", "ok-bad", 5000)
		f(&l)
		send(o, l)
		if got := wait(t, "an error", o.lines); got.Verb != "FINISH" || got.rc() != 47 || got.Tag != l.Tag {
			t.Errorf("%d: got %v", i, got)
		}
	}
	if n := w.minions[0].counted("ok-bad"); n != 0 {
		t.Errorf("%d reached a minion", n)
	}
	// A tag that is open elsewhere, with another description: the first is not touched,
	// nor can it be given up from elsewhere.
	send(o, setUp(tag(1), "guide-web", "silent-1", 300))
	wait(t, "the offer", w.minions[0].starts)
	send(other, setUp(tag(1), "guide-web", "ok-other", 5000))
	if l := wait(t, "the error", other.lines); l.rc() != 47 || l.Tag != tag(1) {
		t.Errorf("got %v", l)
	}
	send(other, cause("FINISH", tag(1), 16))
	wait(t, "the word on the release", other.lines)
	if l := wait(t, "the first one's own answer", o.lines); l.rc() != 34 || l.Tag != tag(1) {
		t.Errorf("got %v", l)
	}
	// Two under one number on one connection: one answer, and it is no yes.
	two := setUp(tag(2), "guide-web", "silent-2", 5000)
	send(o, two)
	wait(t, "the offer", w.minions[0].starts)
	send(o, two)
	if l := wait(t, "one answer for both", o.lines); l.Verb != "FINISH" || l.Tag != tag(2) {
		t.Errorf("got %v", l)
	}
	// A task said to stand where no minion is known ends in time.
	began := time.Now()
	l := setUp(tag(3), "guide-web", "ok-3", 5000)
	l.Opts["extras"] += ";at:nowhere"
	send(o, l)
	if l := wait(t, "its end", o.lines); l.Verb != "FINISH" || l.Tag != tag(3) || time.Since(began) > 3*time.Second {
		t.Errorf("got %v after %s", l, time.Since(began))
	}
	// More than a new connection may have open is refused at once; enough of what
	// can't be used ends it.
	crowd := w.owner(t)
	for i := range 40 {
		send(crowd, setUp(tag(100+i), "guide-web", fmt.Sprint("silent-c", i), 60_000))
	}
	for range 8 {
		if l := wait(t, "a refusal", crowd.lines); l.rc() != 34 || l.Opts["wait"] == "" {
			t.Errorf("got %v", l)
		}
	}
	for range 70 {
		send(crowd, line{Verb: "START", Tag: "x", Opts: map[string]string{}})
	}
	n := 0
	for l := range crowd.lines {
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
	w := newWorld(t)
	dead, alive := newMinion(t, "dead"), newMinion(t, "alive")
	dead.ln.Close()
	w.feed.add(true, dead.member("up"), alive.member("up"))
	w.feed.heard(t)
	o := w.owner(t)
	for i := range 8 {
		task := fmt.Sprint("ok-", i)
		send(o, setUp(tag(i), "archive-cut", task, 5000))
		if l := wait(t, "the answer", o.lines); l.Verb != "STARTED" || *l.Blob != "alive holds about "+task {
			t.Errorf("got %v", l)
		}
		if alive.counted(task) != 1 {
			t.Errorf("%s was started %d times", task, alive.counted(task))
		}
	}
	if n := w.counts(t).ConnectFailed; n == 0 {
		t.Error("the dead one was never tried")
	}
}

// Where an offer was given up and nothing came in since, the next goes out on a
// new connection: to a minion that was cut off, that one fails with proof that
// nothing ran.
func TestSilentConnection(t *testing.T) {
	w := newWorld(t, "a")
	o := w.owner(t)
	send(o, setUp(tag(1), "guide-web", "ok-1", 5000))
	wait(t, "the answer", o.lines)
	send(o, setUp(tag(2), "guide-web", "silent-1", 5000))
	for _, what := range []string{"ok-1", "the first attempt", "the second attempt"} {
		wait(t, what, w.minions[0].starts)
	}
	w.minions[0].mu.Lock()
	dials := w.minions[0].dials
	w.minions[0].mu.Unlock()
	if dials < 2 {
		t.Errorf("%d connections", dials)
	}
}

// Where tasks stand and nothing comes in, the connection may be dead without a sign:
// another one is opened, on which the minion tells the ends.
func TestQuietConnection(t *testing.T) {
	w := newWorld(t, "a")
	o := w.owner(t)
	send(o, setUp(tag(1), "guide-web", "ok-1", 5000))
	wait(t, "the answer", o.lines)
	m := w.minions[0]
	m.mu.Lock()
	dials := m.dials
	clear(m.conns) // the minion has forgotten them
	for m.dials == dials {
		m.came.Wait()
	}
	m.mu.Unlock()
	m.end(tag(1), 16)
	if l := wait(t, "the end", o.lines); l.Tag != tag(1) || l.rc() != 16 {
		t.Errorf("got %v", l)
	}
}

// A connection that breaks after the offer proves nothing: such a task is not
// sent again.
func TestResetAfterOffer(t *testing.T) {
	w := newWorld(t, "a")
	o := w.owner(t)
	send(o, setUp(tag(1), "archive-cut", "reset-1", 5000))
	if l := wait(t, "the answer", o.lines); l.rc() == 34 || l.Verb != "FINISH" {
		t.Errorf("got %v", l)
	}
	if n := w.minions[0].counted("reset-1"); n != 1 {
		t.Errorf("offered %d times", n)
	}
}

// An answer that stops short, lacks its description or comes with more than is its
// own: nothing spoilt is passed on, the connection is done for, others on it are
// settled too, and the class decides on another attempt.
func TestSpoiltAnswers(t *testing.T) {
	w := newWorld(t, "a")
	o := w.owner(t)
	send(o, setUp(tag(1), "guide-web", "ok-1", 5000))
	wait(t, "the answer", o.lines)
	for i, kind := range []string{"half", "bare"} {
		at := 10 * (i + 1)
		send(o, setUp(tag(at), "guide-web", kind+"-web", 5000))
		if l := wait(t, kind, o.lines); l.Verb != "STARTED" || l.Tag != tag(at) || *l.Blob != "about "+kind+"-web" {
			t.Errorf("%s: got %v", kind, l)
		}
		// Others on the connection, and one that must not start twice, are not left to
		// their deadline.
		began := time.Now()
		send(o, setUp(tag(at+1), "archive-cut", "silent-"+kind, 10_000))
		send(o, setUp(tag(at+2), "archive-cut", kind+"-cut", 10_000))
		for range 2 {
			if l := wait(t, "a failure", o.lines); l.Verb != "FINISH" || l.rc() == 34 {
				t.Errorf("%s: got %v", kind, l)
			}
		}
		if d := time.Since(began); d > 3*time.Second {
			t.Errorf("%s: settled after %s", kind, d)
		}
		if n := w.minions[0].counted(kind+"-cut") + w.minions[0].counted("silent-"+kind); n != 2 {
			t.Errorf("%s: started %d times", kind, n)
		}
	}
	send(o, setUp(tag(2), "guide-web", "twice-1", 5000))
	send(o, line{Verb: "ECHO", Tag: "t", Opts: map[string]string{}})
	verbs := wait(t, "one word", o.lines).Verb + wait(t, "another", o.lines).Verb
	send(o, setUp(tag(3), "guide-web", "ok-3", 5000))
	if l := wait(t, "the next task's answer", o.lines); l.Tag != tag(3) || len(verbs) != len("STARTEDECHOED") {
		t.Errorf("got %v after %s", l, verbs)
	}
}

// A minion whose process dies resets its connections and refuses new ones: what
// stood there is told to be over.
func TestDeadMinion(t *testing.T) {
	w := newWorld(t, "a")
	o := w.owner(t)
	send(o, setUp(tag(1), "guide-web", "ok-1", 5000))
	wait(t, "the answer", o.lines)
	m := w.minions[0]
	m.ln.Close()
	m.mu.Lock()
	for c := range m.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	m.mu.Unlock()
	if l := wait(t, "the end", o.lines); l.Tag != tag(1) || l.rc() != 41 {
		t.Errorf("got %v", l)
	}
}

// A new minion at the address of a departed one is not taken for it.
func TestReusedAddress(t *testing.T) {
	w := newWorld(t, "a")
	o := w.owner(t)
	send(o, setUp(tag(1), "guide-web", "ok-1", 5000))
	wait(t, "the answer", o.lines)
	m := w.minions[0]
	successor := strings.Replace(m.member("up"), `"a"`, `"b"`, 1)
	w.feed.add(false, m.member("removed"), successor)
	w.feed.heard(t)
	send(o, setUp(tag(2), "guide-web", "ok-2", 5000))
	if l := wait(t, "the answer", o.lines); l.Tag != tag(2) || l.Verb != "STARTED" {
		t.Errorf("got %v", l)
	}
	// What stood at the departed one ends without a word from it.
	if l := wait(t, "the end", o.lines); l.Tag != tag(1) || l.rc() != 41 {
		t.Errorf("got %v", l)
	}
	var standing int
	if w.on(t, func() { standing = w.c.Standing() }); standing != 1 {
		t.Errorf("%d tasks stand", standing)
	}
}

// A task found running needs no answer, and its end is passed on; its owner's
// release reaches the minion.
func TestFoundRunning(t *testing.T) {
	w := newWorld(t, "a")
	o := w.owner(t)
	for i := range 2 {
		l := setUp(tag(i+1), "guide-web", "ok-1", 5000)
		l.Opts["extras"] += ";at:a"
		send(o, l)
	}
	w.until(t, "both stand", func() bool { return w.c.Standing() == 2 })
	w.minions[0].end(tag(1), 16)
	if l := wait(t, "the end", o.lines); l.Tag != tag(1) || l.rc() != 16 {
		t.Errorf("got %v", l)
	}
	send(o, cause("FINISH", tag(2), 16))
	if l := wait(t, "the release", w.minions[0].ends); l.Tag != tag(2) {
		t.Errorf("the minion got %v", l)
	}
	if len(w.minions[0].starts) != 0 {
		t.Error("a task that runs was offered")
	}
}

// A new configuration moves the program to another command channel, which it asks
// for what follows the last event; one that can't be used changes nothing. What is
// open and what stands is not touched.
func TestReload(t *testing.T) {
	w := newWorld(t, "a")
	o := w.owner(t)
	send(o, setUp(tag(1), "guide-web", "ok-1", 5000))
	wait(t, "the answer", o.lines)
	w.feed.heard(t)
	next := newFeed(t)
	next.events = append(next.events, w.feed.events...)
	b := newMinion(t, "b")
	next.add(false, w.minions[0].member("draining"), b.member("up"))
	path := filepath.Join(t.TempDir(), "config.json")
	for _, text := range []string{"{", configText(next)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		w.Reload(path)
	}
	if n := wait(t, "the new channel is asked", next.asked); n != 1 {
		t.Errorf("asked for what follows %d", n)
	}
	next.heard(t)
	w.feed.srv.CloseClientConnections()
	send(o, setUp(tag(2), "guide-web", "ok-2", 5000))
	if l := wait(t, "the answer", o.lines); l.Verb != "STARTED" || *l.Blob != "b holds about ok-2" {
		t.Errorf("got %v", l)
	}
	w.minions[0].end(tag(1), 16)
	if l := wait(t, "the end", o.lines); l.Tag != tag(1) || l.rc() != 16 {
		t.Errorf("got %v", l)
	}
	next.add(false, b.member("draining"))
	next.heard(t)
}

// What is open at SIGTERM is answered before the kill comes, which hangs on the
// longest deadline.
func TestLastCall(t *testing.T) {
	for longest, want := range map[int64]int64{1_000_000: 1_400_000, 10_000_000: 3_400_000, 100_000: stillComing} {
		s := ravenhitch.Settings{Classes: []ravenhitch.Class{{DeadlineUs: 50_000}, {DeadlineUs: longest}}}
		if got := lastCall(s); got != want {
			t.Errorf("longest deadline %d: last call after %d, expected %d", longest, got, want)
		}
	}
}

// The program itself: a configuration that cannot be used ends it with one line,
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
	f, m := newFeed(t), newMinion(t, "a")
	f.add(true, m.member("up"))
	cmd := command(configText(f))
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
	_, addr, _ := strings.Cut(wait(t, "the first line", lines), "listen=")
	w := &world{program: &program{addr: strings.Fields(addr)[0]}}
	o := w.owner(t)
	send(o, setUp(tag(1), "guide-web", "silent-1", 1500))
	wait(t, "the offer", m.starts)
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP) // a file that can't be used: one line, and it goes on
	for l := ""; !strings.Contains(l, "was not taken"); {
		l = wait(t, "the line about the file", lines)
	}
	began := time.Now()
	cmd.Process.Signal(syscall.SIGTERM)
	if l := wait(t, "the answer", o.lines); l.Verb != "FINISH" || l.Tag != tag(1) || l.Opts["wait"] != "1000" {
		t.Errorf("got %v", l)
	}
	if err := cmd.Wait(); err != nil || time.Since(began) > 3700*time.Millisecond {
		t.Errorf("ended with %v after %s", err, time.Since(began))
	}
}
