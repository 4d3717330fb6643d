package workerpool

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"ravenhitch/internal/jsonlines"
	"ravenhitch/internal/testbed/nettest"
)

// Guards against a process that takes the report of a worker while it ends: no client may be reached any more. A retired
// pool ends its connections and opens no others, although tasks run at the worker.
func TestRetiredPoolTakesNoReports(t *testing.T) {
	lt := newLinkTest(t)
	l := lt.listWorker()
	lt.adopt(requestID)
	worker := nettest.Accept(t, lt.listener)
	isRetired := false
	ended := make(chan error, 1)
	go func() { _, err := io.Copy(io.Discard, worker); ended <- err }()
	lt.runUntil(func() bool {
		if !isRetired && len(l.conns) > 0 && l.conns[0].conn.IsUp() {
			lt.pool.Retire()
			isRetired = true
		}
		return isRetired && len(ended) == 1
	})
	if err := <-ended; err != nil {
		t.Errorf("the connection ended with %v, want an orderly end", err)
	}
	lt.sweep(l)
	l.ensureConnected()
	l.crossedAt = lt.loop.Now() - crossingTime
	l.dialForLateCompletions(lt.dispatcher.TasksOn(workerName), lt.loop.Now())
	if dialled := lt.pool.connsDialled; dialled != 1 {
		t.Errorf("%d connections were dialled, want the first one only", dialled)
	}
}

// A retired pool keeps the connection on which a release is unconfirmed, until its worker confirms it.
func TestRetiredPoolKeepsUnconfirmedRelease(t *testing.T) {
	lt := newLinkTest(t)
	l := lt.listWorker()
	lt.adopt(requestID)
	worker := bufio.NewReader(nettest.Accept(t, lt.listener))
	lt.pool.Release(workerName, requestID)
	lt.runUntil(func() bool { lt.pool.Retire(); return l.conns[0].conn.IsUp() })
	line, err := worker.ReadString('\n')
	if err != nil || !strings.Contains(line, requestID) {
		t.Fatalf("the worker received %q, error %v; want the release", line, err)
	}
	lt.pool.Retire()
	if len(l.conns) != 1 {
		t.Fatalf("%d connections are open while a release is unconfirmed, want 1", len(l.conns))
	}
	l.conns[0].handleMessage(&jsonlines.Message{Verb: jsonlines.VerbFinished, Tag: requestID})
	lt.pool.Retire()
	if len(l.conns) != 0 {
		t.Errorf("%d connections are open after the confirmation, want none", len(l.conns))
	}
}
