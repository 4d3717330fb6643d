// Package pressure checks, with real processes at the smallest limits of the platform, what other operators have reported: that
// hundreds of slow clients or a client that sends at full speed neither make a process exceed its memory limit nor keep other
// clients waiting.
//
//	go test ./test/pressure -v -args -flood 4s
//
// This file owns the process, its worker and the client whose waits are measured.
package pressure

import (
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

var floodFlag = flag.Duration("flood", 1500*time.Millisecond, "time for which a client sends at full speed")

const (
	memoryMB = 32  // smallest memory limit of the platform
	sockets  = 256 // smallest descriptor limit of the platform
	// waitLimit is the time within which a client of a sound connection is to be notified, and startTimeout the deadline of the
	// observed client's requests, after which responseSlack is left for the answer.
	waitLimit     = time.Second
	startTimeout  = 2 * time.Second
	responseSlack = 500 * time.Millisecond
	// observedInterval is the time between two pings of the observed client.
	observedInterval = 20 * time.Millisecond
	// closeCrossing is the time within which a message may cross the close of its connection. A message that is older has been
	// read, and is lost if the connection ends.
	closeCrossing = 50 * time.Millisecond
	// closeCrossed is the failure of an observer whose connection was closed as it sent a message.
	closeCrossed = "its connection has ended as it sent a message"
)

// server is a process of the program.
type server struct {
	testbed.Process
	t         *testing.T
	worker    *testbed.Worker
	discovery *testbed.Discovery
	channel   string // address at which the process polls discovery
	attempts  *testbed.AttemptLog
	address   string
	grpc      string // address of the gRPC front
}

// startServer builds and starts the program.
func startServer(t *testing.T) *server {
	t.Helper()
	s := newServer(t)
	s.start()
	return s
}

// newServer returns a server that is not started, and lists its worker.
func newServer(t *testing.T) *server {
	t.Helper()
	s := &server{t: t, worker: testbed.NewWorker(t, "s-1"), attempts: testbed.NewAttemptLog()}
	s.worker.Kind = "node-64"
	s.worker.RecordAttempts(s.attempts)
	go discard(s.worker.Offers)
	go discard(s.worker.Cancels)
	s.discovery = testbed.NewDiscovery(t)
	s.discovery.Add(true, s.worker.ListEntry("up"))
	s.channel = s.discovery.Server.Listener.Addr().String()
	return s
}

// start builds and starts the program.
func (s *server) start() {
	s.t.Helper()
	directory := s.t.TempDir()
	binary, err := testbed.BuildProgram(directory)
	if err != nil {
		s.t.Fatal(err)
	}
	s.Name, s.Bin = "n0", binary
	s.configure(directory)
	if err := s.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { s.End(syscall.SIGKILL) })
	if s.address, err = s.WaitForLog("msg=serving name=n0 listen="); err != nil {
		s.t.Fatal(err)
	}
	if s.grpc, err = s.WaitForLog(" grpc="); err != nil {
		s.t.Fatal(err)
	}
}

func discard(lines <-chan testbed.Line) {
	for range lines {
	}
}

func (s *server) configure(directory string) {
	s.t.Helper()
	config := filepath.Join(directory, "config.json")
	text := testbed.Deployment{Orchestrators: 1, Sockets: sockets, MemoryMB: memoryMB}.Config(0, "127.0.0.1:0", "", s.channel, 1, s.discovery)
	for path, content := range map[string]string{config: text, config + ".conf": "[grpc]\nlisten 127.0.0.1:0\n"} {
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			s.t.Fatal(err)
		}
	}
	s.Args = []string{"-conf", config + ".conf"}
	s.Env = []string{"ROUTER_CONFIG=" + config, "ROUTER_LISTEN=", "ROUTER_NAME=", "ROUTER_MGMT=", "TMPDIR=" + directory}
}

// peakMB returns the peak of the resident memory of the process, in MB.
func (s *server) peakMB() float64 {
	s.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.PID()))
	if err != nil {
		s.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		s.t.Fatal(err)
	}
	return float64(kb) / 1024
}

// observer is a client that pings all the time and submits a task now and then.
type observer struct {
	server  *server
	done    chan struct{}
	group   sync.WaitGroup
	mu      sync.Mutex
	longest map[string]time.Duration // longest wait for an answer, by its verb
	answers int
	failure string // why the client could not be served, "" if it was
}

// observe starts an observer.
func (s *server) observe() *observer {
	o := &observer{server: s, done: make(chan struct{}), longest: map[string]time.Duration{}}
	o.group.Go(o.run)
	return o
}

// run sends messages until the observer is ended. At the limit of connections, the server may close one on which nothing has
// been sent for 0.1 s, which the observer can't rule out before its first message. It then connects once more, as clients do.
func (o *observer) run() {
	isServed := o.sendAll()
	if !isServed && o.answers == 0 && o.failure == closeCrossed {
		o.failure = ""
		o.sendAll()
	}
}

// sendAll connects and sends messages until the observer is ended, and returns false if it could not.
func (o *observer) sendAll() bool {
	client, err := testbed.Dial(o.server.address)
	if err != nil {
		o.fail(err.Error())
		return false
	}
	defer testbed.CloseQuietly(client)
	for i := 0; ; i++ {
		verb, answer := "ECHO", "ECHOED"
		line := testbed.Line{Verb: verb, Tag: testbed.RequestID(0x7000 + i), Opts: map[string]string{}}
		const startEach = 10 // pings for one task
		if i%startEach == 0 {
			answer = "STARTED"
			line = testbed.StartLine(line.Tag, "guide-web", "ok-"+line.Tag, int(startTimeout.Milliseconds()))
			line.Opts["extras"] = "cores:0.05;memory:0.1;service:00000000b4d65521"
		}
		began := time.Now()
		testbed.Send(client, line)
		if !o.await(client, answer, line.Tag, began) {
			return false
		}
		select {
		case <-o.done:
			return true
		case <-time.After(observedInterval):
		}
	}
}

// endOfConnection returns the failure of an observer whose connection ended so long after it had sent a message.
func endOfConnection(age time.Duration) string {
	if age <= closeCrossing {
		return closeCrossed
	}
	return "its connection has ended under its message"
}

// await waits for an answer and records how long it took. It returns false if the connection has ended.
func (o *observer) await(client *testbed.Client, verb, tag string, began time.Time) bool {
	const longest = 5 * time.Second
	timeout := time.After(longest)
	for {
		select {
		case line, ok := <-client.Lines:
			if !ok {
				o.fail(endOfConnection(time.Since(began)))
				return false
			}
			if line.Tag != tag {
				continue
			}
			if line.Verb != verb {
				o.fail(fmt.Sprintf("got %s, want %s", line.Verb, verb))
			}
			o.record(verb, time.Since(began))
			return true
		case <-timeout:
			o.record(verb, longest)
			return true
		}
	}
}

func (o *observer) record(verb string, wait time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.longest[verb] = max(o.longest[verb], wait)
	o.answers++
}

func (o *observer) fail(reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failure == "" {
		o.failure = reason
	}
}

// check ends the observer and checks its waits, and the process's memory and doubles.
func (o *observer) check() {
	t := o.server.t
	t.Helper()
	close(o.done)
	o.group.Wait()
	if !o.server.IsRunning() {
		t.Fatal("the process has ended")
	}
	peak, duplicates := o.server.peakMB(), o.server.attempts.Duplicates()
	t.Logf("peak_mb=%.1f ping_ms=%d start_ms=%d answers=%d duplicates=%d", peak, o.longest["ECHOED"].Milliseconds(),
		o.longest["STARTED"].Milliseconds(), o.answers, len(duplicates))
	for _, violation := range o.violations(peak, duplicates) {
		t.Error(violation)
	}
}

// violations returns the limits that were exceeded.
func (o *observer) violations(peakMB float64, duplicates []string) (texts []string) {
	if peakMB > memoryMB {
		texts = append(texts, fmt.Sprintf("peak of the resident memory: %.1f MB, want %d at most", peakMB, memoryMB))
	}
	if o.failure != "" || o.longest["ECHOED"] > waitLimit || o.longest["STARTED"] > startTimeout+responseSlack {
		texts = append(texts, fmt.Sprintf("another client waited for up to %v (%s), want %s and %s at most", o.longest, o.failure, waitLimit,
			startTimeout+responseSlack))
	}
	if len(duplicates) > 0 {
		texts = append(texts, fmt.Sprintf("%d duplicate attempts, the first: %s", len(duplicates), duplicates[0]))
	}
	return texts
}

// TestPressureJudge checks that each limit is judged, and that a sound run passes.
func TestPressureJudge(t *testing.T) {
	waits := func(ping, start time.Duration) map[string]time.Duration {
		return map[string]time.Duration{"ECHOED": ping, "STARTED": start}
	}
	for name, test := range map[string]struct {
		longest    map[string]time.Duration
		failure    string
		peak       float64
		duplicates []string
		want       int
	}{
		"sound":            {waits(waitLimit, startTimeout), "", memoryMB, nil, 0},
		"too much memory":  {nil, "", memoryMB + 0.1, nil, 1},
		"a late ping":      {waits(waitLimit+1, 0), "", 1, nil, 1},
		"a late start":     {waits(0, startTimeout+responseSlack+1), "", 1, nil, 1},
		"a refused client": {nil, "got FINISH", 1, nil, 1},
		"a duplicate":      {nil, "", 1, []string{"twice"}, 1},
	} {
		o := observer{longest: test.longest, failure: test.failure}
		if got := o.violations(test.peak, test.duplicates); len(got) != test.want {
			t.Errorf("%s: violations %v, want %d", name, got, test.want)
		}
	}
}

// crowd lets hundreds of clients at once connect to an address and send something, and keeps their connections open.
func (s *server) crowd(address string, send func(conn net.Conn)) {
	const clients = 320
	for range clients {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		s.t.Cleanup(func() { testbed.CloseQuietly(conn) })
		go send(conn)
	}
	time.Sleep(*floodFlag)
}

// flood calls send on one connection after the other until the time is over, or the process has ended. send returns when its
// connection has ended.
func (s *server) flood(address string, send func(conn net.Conn)) {
	for end := time.Now().Add(*floodFlag); time.Now().Before(end) && s.IsRunning(); {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		stop := time.AfterFunc(time.Until(end), func() { testbed.CloseQuietly(conn) })
		send(conn)
		stop.Stop()
		testbed.CloseQuietly(conn)
	}
}
