package main

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

	"ravenhitch/internal/admin"
	"ravenhitch/internal/config"
	"ravenhitch/internal/testbed"
)

// adminCall makes one call of operators' staff and returns all of the answer.
func adminCall(t *testing.T, addr, line string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testbed.Patience))
	fmt.Fprintf(conn, "%s\n", line)
	b, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	return string(b)
}

// startInherited starts a process on a listening socket that the platform holds.
func startInherited(t *testing.T, discovery *testbed.Discovery, listener net.Listener) (*server, chan error) {
	t.Helper()
	f, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse([]byte(configJSON(discovery)))
	if err != nil {
		t.Fatal(err)
	}
	// The program gives its descriptor back itself; this one is the platform's.
	t.Cleanup(func() { f.Close() })
	cfg.AdminAddr, cfg.Inherited = "127.0.0.1:0", int(f.Fd())
	process, err := start(cfg, config.Operators{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	over := make(chan error, 1)
	go func() { over <- process.Run() }()
	return process, over
}

func waitReady(t *testing.T, process *server) {
	t.Helper()
	for limit := time.Now().Add(testbed.Patience); adminCall(t, process.adminAddr, "HEALTH") != "+OK\n"; {
		if time.Now().After(limit) {
			t.Fatal("never ready")
		}
	}
}

// waitShuttingDown waits until the program says that it ends.
func waitShuttingDown(t *testing.T, process *server) {
	t.Helper()
	for limit := time.Now().Add(testbed.Patience); adminCall(t, process.adminAddr, "HEALTH") != "-ERR ending\n"; {
		if time.Now().After(limit) {
			t.Fatal("never says that it ends")
		}
	}
}

func dumpedFigures(t *testing.T, addr string) (f admin.Figures) {
	t.Helper()
	line, rest, _ := strings.Cut(adminCall(t, addr, "DUMP"), "\n")
	if err := json.Unmarshal([]byte(line), &f); err != nil || rest != ".\n" {
		t.Fatalf("%q, %q: %v", line, rest, err)
	}
	return f
}

// Two processes serve one after the other on one socket: what is out by hand at the
// first is out at the second, no caller is turned away, and the first ends.
func TestHandoverToSuccessor(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	discovery := testbed.NewDiscovery(t)
	minions := map[string]*testbed.Worker{"a": testbed.NewWorker(t, "a"), "b": testbed.NewWorker(t, "b")}
	discovery.Add(true, minions["a"].ListEntry("up"), minions["b"].ListEntry("up"))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	old, oldOver := startInherited(t, discovery, listener)
	waitReady(t, old)
	// Callers that say nothing hold nobody up, however many they are.
	for range 2 * 24 {
		conn, err := net.Dial("tcp", old.adminAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprint(conn, "HEAL")
	}
	for line, want := range map[string]string{"OFFLINE x": "-ERR no minion x\n", "OFFLINE a": "+OK\n", "ONLINE x": "-ERR no minion x\n",
		"DUMP" + strings.Repeat(" ", admin.MaxCallLength): "-ERR expected a call of at most 512 bytes\n"} {
		if got := adminCall(t, old.adminAddr, line); got != want {
			t.Errorf("%s: %q", line, got)
		}
	}
	if adminCall(t, old.adminAddr, "OFFLINE b"); dumpedFigures(t, old.adminAddr).Ejected != 2 {
		t.Error("one call out undoes another")
	}
	adminCall(t, old.adminAddr, "ONLINE b")
	first := testbed.NewClient(t, listener.Addr().String())
	place := func(client *testbed.Client, n int, want string) {
		t.Helper()
		key := fmt.Sprint("ok-", n)
		testbed.Send(client, testbed.StartLine(testbed.RequestID(n), "guide-web", key, 5000))
		if line := testbed.Wait(t, key, client.Lines); line.Verb != "STARTED" || *line.Blob != want+" holds about "+key {
			t.Errorf("%s got %v", key, line)
		}
	}
	for n := range 8 {
		place(first, n+1, "b")
	}
	if f := dumpedFigures(t, old.adminAddr); f.Responses["guide-web"].OK != 8 || f.Attempts != 8 || f.Active != 8 || f.Pool != 2 || f.Ejected != 1 {
		t.Errorf("%+v", f)
	}

	next, nextOver := startInherited(t, discovery, listener)
	waitReady(t, next)
	old.Stop()
	waitShuttingDown(t, old)
	// A call back at the first holds at the second, which did not hear it; and whoever
	// connects now is served by the second, while the first still serves its own.
	if f := dumpedFigures(t, next.adminAddr); f.Ejected != 1 {
		t.Errorf("what was out by hand is not: %+v", f)
	}
	second := testbed.NewClient(t, listener.Addr().String())
	for n := range 8 {
		place(second, n+20, "b")
	}
	place(first, 40, "b")
	if f := dumpedFigures(t, next.adminAddr); f.Responses["guide-web"].OK != 8 {
		t.Errorf("callers after the end began went to the one that ends: %+v", f)
	}
	if got := adminCall(t, old.adminAddr, "ONLINE a"); got != "+OK\n" {
		t.Errorf("back: %q", got)
	}
	for limit := time.Now().Add(testbed.Patience); dumpedFigures(t, next.adminAddr).Ejected != 0; {
		if time.Now().After(limit) {
			t.Fatal("still out")
		}
	}
	place(second, 50, "a")
	if err := testbed.Wait(t, "the end of the first", oldOver); err != nil {
		t.Error(err)
	}
	place(second, 51, "a")
	if _, err := os.Stat(newHandoverStore(os.TempDir()).cordonsPath); err != nil {
		t.Error(err)
	}
	// Nobody goes on after the second: it serves whoever comes until the kill is near.
	next.Stop()
	waitShuttingDown(t, next)
	place(testbed.NewClient(t, listener.Addr().String()), 60, "a")
	next.loop.Post(next.loop.Stop)
	if err := testbed.Wait(t, "the end", nextOver); err != nil {
		t.Error(err)
	}
}

// A file that was cut short stops the start: taken for an empty one it would put
// minions back that somebody took out.
func TestTruncatedCordonsStopTheStart(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	b := admin.Cordons{"a": true}.Encode()
	if err := os.WriteFile(newHandoverStore(os.TempDir()).cordonsPath, b[:len(b)-2], 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse([]byte(configJSON(testbed.NewDiscovery(t))))
	if err != nil {
		t.Fatal(err)
	}
	cfg.AdminAddr = "127.0.0.1:0"
	if process, err := start(cfg, config.Operators{}, slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), "minions-out:3: expected") {
		t.Errorf("%v, %v", process, err)
	}
}

// An owner may take 2 s to write a set-up; one that never ends it is told by a close.
func TestSlowWriter(t *testing.T) {
	server := newTestServer(t, "a")
	slow, never := server.connect(t), server.connect(t)
	b, err := json.Marshal(testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	if err != nil {
		t.Fatal(err)
	}
	began, half := time.Now(), len(b)/2
	for _, client := range []*testbed.Client{slow, never} {
		if _, err := client.Write(b[:half]); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(2*time.Second - time.Since(began)) // what the owner does, not what the test waits for
	if _, err := slow.Write(append(b[half:], '\n')); err != nil {
		t.Fatal(err)
	}
	if line := testbed.Wait(t, "the answer", slow.Lines); line.Verb != "STARTED" {
		t.Errorf("got %v", line)
	}
	if line, ok := <-never.Lines; ok {
		t.Errorf("half a set-up got %v", line)
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("the close took %v", took)
	}
}

// Processes that change the file at once lose no change.
func TestConcurrentCordonChanges(t *testing.T) {
	dir := t.TempDir()
	var all sync.WaitGroup
	for p := range 8 {
		store := newHandoverStore(dir)
		all.Go(func() {
			for n := range 16 {
				if _, err := store.changeCordons(admin.Call{Verb: admin.Offline, ID: fmt.Sprint("s-", p, "-", n)}); err != nil {
					t.Error(err)
				}
			}
		})
	}
	all.Wait()
	if outs, err := newHandoverStore(dir).readCordons(); err != nil || len(outs) != 8*16 {
		t.Errorf("%d are out: %v", len(outs), err)
	}
}
