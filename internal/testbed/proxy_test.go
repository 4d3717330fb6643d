package testbed

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// This file tests what a partitioned proxy lets through.

const (
	partitionTrials  = 200                   // number of partitions per test, because a fault may show in some of them only
	concurrentTrials = 40                    // each trial needs about ten descriptors
	partitionedDial  = 50 * time.Millisecond // time for which a test waits for a connection that must not be established
)

// runTrials calls f partitionTrials times, each time with a new worker behind a new proxy.
func runTrials(t *testing.T, f func(t *testing.T, w *Worker, p *Proxy)) {
	t.Helper()
	slots := make(chan struct{}, concurrentTrials)
	var trials sync.WaitGroup
	for range partitionTrials {
		slots <- struct{}{}
		trials.Go(func() {
			defer func() { <-slots }()
			t.Run("", func(t *testing.T) {
				w := NewWorker(t, "w")
				w.RecordAttempts(NewAttemptLog())
				f(t, w, NewProxy(t, w))
			})
		})
	}
	trials.Wait()
}

// dial connects to an address. The connection is closed at the end of the test.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { CloseQuietly(conn) })
	return conn
}

// During a partition no connection is established, even if another connection was established just before and the
// proxy is still accepting it.
func TestPartitionEstablishesNoConnection(t *testing.T) {
	runTrials(t, func(t *testing.T, _ *Worker, p *Proxy) {
		dial(t, p.Addr())
		p.Partition(t)
		if conn, err := net.DialTimeout("tcp", p.Addr(), partitionedDial); err == nil {
			CloseQuietly(conn)
			t.Error("a connection was established during a partition")
		}
		p.Heal(t)
		expectPong(t, dial(t, p.Addr()))
	})
}

// An offer that the orchestrator sends during a partition must not reach the worker if the orchestrator resets the
// connection before the partition heals. This includes a connection that was established just before the partition.
func TestResetDuringPartitionDiscardsOffer(t *testing.T) {
	runTrials(t, func(t *testing.T, w *Worker, p *Proxy) {
		early := dial(t, p.Addr())
		p.Partition(t)
		Send(early, StartLine(RequestID(1), "guide-web", "ok-1", 5000))
		ResetConnection(early)
		p.Heal(t)
		expectPong(t, dial(t, p.Addr()))
		if count := w.attempts.OfferCount(RequestID(1)); count > 0 {
			t.Errorf("offers that reached the worker after a reset during the partition: got %d, want 0", count)
		}
	})
}

// expectPong sends a ping to a worker and waits for its answer.
func expectPong(t *testing.T, conn net.Conn) {
	t.Helper()
	Send(conn, CodeLine("ECHO", RequestID(2), codeOK))
	if err := conn.SetReadDeadline(time.Now().Add(Timeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Errorf("answer to a ping: %v", err)
	}
}

// An orchestrator that has closed its direction of a connection still receives what the worker sends.
func TestHalfClosedConnectionStillReceives(t *testing.T) {
	listener, err := ListenLocal()
	if err != nil {
		t.Fatal(err)
	}
	defer CloseQuietly(listener)
	conn := dial(t, NewProxyTo(t, listener.Addr().String()).Addr())
	worker, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer CloseQuietly(worker)
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if err := worker.SetReadDeadline(time.Now().Add(Timeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := worker.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the worker reads %v, want the end of the stream", err)
	}
	if _, err := worker.Write([]byte("x")); err != nil {
		t.Error(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(Timeout)); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(make([]byte, 1)); n != 1 {
		t.Errorf("the orchestrator reads %v, want what the worker has sent", err)
	}
}
