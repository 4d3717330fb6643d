package testbed

import (
	"net"
	"sync"
	"testing"
	"time"
)

// This file tests what a partitioned proxy lets through.

const (
	partitionTrials = 200                   // number of partitions per test, because a fault may show in some of them only
	partitionedDial = 50 * time.Millisecond // time for which a test waits for a connection that must not be established
)

// inParallel calls f partitionTrials times in parallel, each time with a new worker behind a new proxy.
func inParallel(t *testing.T, f func(w *Worker, p *Proxy)) {
	t.Helper()
	var trials sync.WaitGroup
	for range partitionTrials {
		w := NewWorker(t, "w")
		w.Attempts = NewAttemptLog()
		p := NewProxy(t, w)
		trials.Go(func() { f(w, p) })
	}
	trials.Wait()
}

// dialUntilCleanup connects to a proxy and closes the connection at the end of the test.
func dialUntilCleanup(t *testing.T, p *Proxy) net.Conn {
	conn, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Error(err)
		return nil
	}
	t.Cleanup(func() { CloseQuietly(conn) })
	return conn
}

// During a partition no connection is established, even if another connection was established just before and the
// proxy is still accepting it.
func TestPartitionEstablishesNoConnection(t *testing.T) {
	inParallel(t, func(_ *Worker, p *Proxy) {
		dialUntilCleanup(t, p)
		p.Partition(t)
		if conn, err := net.DialTimeout("tcp", p.Addr(), partitionedDial); err == nil {
			CloseQuietly(conn)
			t.Error("a connection was established during a partition")
		}
		p.Heal(t)
		if conn := dialUntilCleanup(t, p); conn != nil {
			expectPong(t, conn)
		}
	})
}

// An offer that the orchestrator sends during a partition must not reach the worker if the orchestrator resets the
// connection before the partition heals. This includes a connection that was established just before the partition.
func TestResetDuringPartitionDiscardsOffer(t *testing.T) {
	inParallel(t, func(w *Worker, p *Proxy) {
		early := dialUntilCleanup(t, p)
		p.Partition(t)
		if early == nil {
			return
		}
		Send(early, StartLine(RequestID(1), "guide-web", "ok-1", 5000))
		ResetConnection(early)
		p.Heal(t)
		if conn := dialUntilCleanup(t, p); conn != nil {
			expectPong(t, conn)
		}
		if count := w.Attempts.OfferCount(RequestID(1)); count > 0 {
			t.Errorf("offers that reached the worker after a reset during the partition: got %d, want 0", count)
		}
	})
}

// expectPong sends a ping to a worker and waits for its answer.
func expectPong(t *testing.T, conn net.Conn) {
	Send(conn, CodeLine("ECHO", RequestID(2), codeOK))
	if err := conn.SetReadDeadline(time.Now().Add(Timeout)); err != nil {
		t.Error(err)
		return
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Errorf("answer to a ping after the partition: %v", err)
	}
}
