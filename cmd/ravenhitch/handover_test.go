package main

// This file tests admin calls and the handover files: one process that hands over to a successor on a
// listening socket of the platform.

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/admin"
	"ravenhitch/internal/config"
	"ravenhitch/internal/testbed"
)

// managedProcess is a server whose listening socket the platform owns.
type managedProcess struct {
	*server
	runResult chan error
}

// Two processes serve one after the other on one socket: a worker that is cordoned at the first is
// cordoned at the second, no client is rejected, and the first ends.
func TestHandoverToSuccessor(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	discovery := testbed.NewDiscovery(t)
	discovery.Add(true, testbed.NewWorker(t, "a").ListEntry("up"), testbed.NewWorker(t, "b").ListEntry("up"))
	listener := listenLocal(t)
	first := startManaged(t, discovery, listener)
	first.waitReady(t)
	connectSilentOperators(t, first, 2*24)
	expectAdminAnswers(t, first)

	firstClient := testbed.NewClient(t, listener.Addr().String())
	for n := range 8 {
		expectStartedAt(t, firstClient, n+1, "b")
	}
	if f := first.figures(t); f.Responses["guide-web"].OK != 8 || f.Attempts != 8 || f.Active != 8 || f.Pool != 2 || f.Ejected != 1 {
		t.Errorf("%+v", f)
	}

	second := startManaged(t, discovery, listener)
	second.waitReady(t)
	first.Stop()
	first.waitShuttingDown(t)
	secondClient := expectSuccessorServes(t, first, second, firstClient, listener.Addr().String())
	if err := testbed.Wait(t, "the end of the first", first.runResult); err != nil {
		t.Error(err)
	}
	expectStartedAt(t, secondClient, 51, "a")
	if _, err := os.Stat(newHandoverStore(os.TempDir()).cordonsPath); err != nil {
		t.Error(err)
	}

	// The second has no successor: it serves whoever comes until the kill is near.
	second.Stop()
	second.waitShuttingDown(t)
	expectStartedAt(t, testbed.NewClient(t, listener.Addr().String()), 60, "a")
	second.loop.Post(second.loop.Stop)
	if err := testbed.Wait(t, "the end", second.runResult); err != nil {
		t.Error(err)
	}
}

// connectSilentOperators connects operators that never end their call: they hold nobody up, however many
// they are.
func connectSilentOperators(t *testing.T, process *managedProcess, count int) {
	t.Helper()
	for range count {
		conn, err := net.Dial("tcp", process.adminAddr)
		if err != nil {
			t.Fatal(err)
		}
		closeOnCleanup(t, conn)
		write(t, conn, []byte("HEAL"))
	}
}

// expectAdminAnswers checks the answers to admin calls, and leaves worker a cordoned.
func expectAdminAnswers(t *testing.T, process *managedProcess) {
	t.Helper()
	for call, want := range map[string]string{
		"OFFLINE x": "-ERR no worker x\n",
		"OFFLINE a": "+OK\n",
		"ONLINE x":  "-ERR no worker x\n",
		"DUMP" + strings.Repeat(" ", admin.MaxCallLength): "-ERR expected a call of at most 512 bytes\n",
	} {
		if got := process.call(t, call); got != want {
			t.Errorf("%s: %q", call, got)
		}
	}
	if process.call(t, "OFFLINE b"); process.figures(t).Ejected != 2 {
		t.Error("one call to cordon undoes another")
	}
	process.call(t, "ONLINE b")
}

// expectSuccessorServes checks what holds while the first process shuts down beside the second: a call to
// uncordon at the first holds at the second, which did not get it; and clients that connect now are served
// by the second, while the first still serves its own. It returns a client of the second.
func expectSuccessorServes(t *testing.T, first, second *managedProcess, firstClient *testbed.Client, addr string) *testbed.Client {
	t.Helper()
	if f := second.figures(t); f.Ejected != 1 {
		t.Errorf("the cordoned worker is not: %+v", f)
	}
	secondClient := testbed.NewClient(t, addr)
	for n := range 8 {
		expectStartedAt(t, secondClient, n+20, "b")
	}
	expectStartedAt(t, firstClient, 40, "b")
	if f := second.figures(t); f.Responses["guide-web"].OK != 8 {
		t.Errorf("clients after the shutdown began went to the one that shuts down: %+v", f)
	}
	if got := first.call(t, "ONLINE a"); got != "+OK\n" {
		t.Errorf("uncordon: %q", got)
	}
	for limit := time.Now().Add(testbed.Timeout); second.figures(t).Ejected != 0; {
		if time.Now().After(limit) {
			t.Fatal("still cordoned")
		}
	}
	expectStartedAt(t, secondClient, 50, "a")
	return secondClient
}

// expectStartedAt submits the nth task, which must start on a worker.
func expectStartedAt(t *testing.T, client *testbed.Client, n int, worker string) {
	t.Helper()
	task := fmt.Sprint("ok-", n)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(n), "guide-web", task, 5000))
	if line := testbed.Wait(t, task, client.Lines); line.Verb != "STARTED" || *line.Blob != worker+" holds about "+task {
		t.Errorf("%s got %v", task, line)
	}
}

// A cordons file that was cut short stops the start: taken for an empty one it would uncordon workers.
func TestTruncatedCordonsStopTheStart(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	b := admin.Cordons{"a": true}.Encode()
	if err := os.WriteFile(newHandoverStore(os.TempDir()).cordonsPath, b[:len(b)-2], 0o600); err != nil {
		t.Fatal(err)
	}
	cfg := serverOptions{}.config(t, testbed.NewDiscovery(t))
	cfg.AdminAddr = "127.0.0.1:0"
	server, err := start(cfg, config.OperatorSettings{}, slog.New(slog.DiscardHandler))
	if err == nil || !strings.Contains(err.Error(), "minions-out:3: expected") {
		t.Errorf("%v, %v", server, err)
	}
}

// Processes that change the file at once lose no change.
func TestConcurrentCordonChanges(t *testing.T) {
	dir := t.TempDir()
	var processes sync.WaitGroup
	for p := range 8 {
		store := newHandoverStore(dir)
		processes.Go(func() {
			for n := range 16 {
				if _, err := store.changeCordons(admin.Call{Verb: admin.Offline, ID: fmt.Sprint("s-", p, "-", n)}); err != nil {
					t.Error(err)
				}
			}
		})
	}
	processes.Wait()
	if cordons, err := newHandoverStore(dir).readCordons(); err != nil || len(cordons) != 8*16 {
		t.Errorf("%d are cordoned: %v", len(cordons), err)
	}
}

// startManaged starts a server on a listening socket that the platform owns.
func startManaged(t *testing.T, discovery *testbed.Discovery, listener net.Listener) *managedProcess {
	t.Helper()
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, file)
	// The server closes the descriptor that it inherits: it gets a copy, as a child process does.
	inherited, err := unix.Dup(int(file.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	cfg := serverOptions{}.config(t, discovery)
	cfg.AdminAddr, cfg.InheritedFD = "127.0.0.1:0", inherited
	server, err := start(cfg, config.OperatorSettings{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	process := &managedProcess{server: server, runResult: make(chan error, 1)}
	go func() { process.runResult <- server.Run() }()
	return process
}

// call makes one admin call and returns all of the answer.
func (p *managedProcess) call(t *testing.T, line string) string {
	t.Helper()
	conn, err := net.Dial("tcp", p.adminAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // all of the answer is read by then
	if err := conn.SetDeadline(time.Now().Add(testbed.Timeout)); err != nil {
		t.Fatal(err)
	}
	write(t, conn, []byte(line+"\n"))
	b, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	return string(b)
}

// waitReady waits until the server answers that it is healthy.
func (p *managedProcess) waitReady(t *testing.T) {
	t.Helper()
	for limit := time.Now().Add(testbed.Timeout); p.call(t, "HEALTH") != "+OK\n"; {
		if time.Now().After(limit) {
			t.Fatal("never ready")
		}
	}
}

// waitShuttingDown waits until the server answers that it shuts down.
func (p *managedProcess) waitShuttingDown(t *testing.T) {
	t.Helper()
	for limit := time.Now().Add(testbed.Timeout); p.call(t, "HEALTH") != "-ERR ending\n"; {
		if time.Now().After(limit) {
			t.Fatal("never answers that it shuts down")
		}
	}
}

// figures are the figures that an operator gets.
func (p *managedProcess) figures(t *testing.T) (figures admin.Figures) {
	t.Helper()
	line, rest, _ := strings.Cut(p.call(t, "DUMP"), "\n")
	if err := json.Unmarshal([]byte(line), &figures); err != nil || rest != ".\n" {
		t.Fatalf("%q, %q: %v", line, rest, err)
	}
	return figures
}
