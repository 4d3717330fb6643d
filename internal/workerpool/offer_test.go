package workerpool

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/nettest"
	"ravenhitch/placement"
)

// offerText is the text that identifies an offer in the data that a worker has read.
const offerText = `"verb":"START"`

// If a connection is reset before an offer on it is sent, the offer is sent exactly once, on the next connection.
// The task never ran, and the reset does not prove that the worker failed.
func TestUnsentOfferIsResentAfterReset(t *testing.T) {
	listener := nettest.Listen(t)
	loop, pool, dispatcher := newPool(t)
	pool.UpdateWorker(workerName, listener.Addr().String(), true)
	submission := newSubmission()
	if err := dispatcher.Submit(loop.Now(), nil, submission); err != nil {
		t.Fatal(err)
	}
	pool.Offer(workerName, offerOf(submission))

	resetConn := pool.links[workerName].conns[0]
	resetConn.conn.Close()
	resetConn.Closed(resetConn.conn, unix.ECONNRESET)

	stop := startLoop(t, loop, func(int64) { pool.DeliverPending() })
	received := ""
	for range 2 {
		line, _ := bufio.NewReader(nettest.Accept(t, listener)).ReadString('\n') // the reset connection yields no line
		received += line
	}
	if strings.Count(received, offerText) != 1 {
		t.Errorf("the worker received %q, want exactly one offer", received)
	}
	stop()
}

// lateConnectionCases lists the events that may occur while an offer waits for its connection to be established.
var lateConnectionCases = []struct {
	name     string
	event    func(now int64, dispatcher *dispatch.Dispatcher, pool *Pool)
	wantSent bool
}{
	{"nothing", func(int64, *dispatch.Dispatcher, *Pool) {}, true},
	{"its client cancels it", func(_ int64, _ *dispatch.Dispatcher, pool *Pool) {
		pool.CancelAttempt(workerName, requestID, false)
	}, false},
	{"its worker drains", func(now int64, dispatcher *dispatch.Dispatcher, _ *Pool) {
		draining := []placement.Entry{{Worker: workerName, State: placement.Draining}}
		dispatcher.UpdateWorkers(now, placement.WorkerList{Entries: draining})
	}, false},
	{"its worker leaves the list", func(now int64, dispatcher *dispatch.Dispatcher, _ *Pool) {
		dispatcher.UpdateWorkers(now, placement.WorkerList{Kind: placement.ListFull})
	}, false},
}

// An offer that waited for its connection is not sent if it was cancelled or its worker may no longer receive offers.
func TestOfferOnLateConnection(t *testing.T) {
	for _, c := range lateConnectionCases {
		t.Run(c.name, func(t *testing.T) {
			listener := nettest.Listen(t)
			loop, pool, dispatcher := newPool(t)
			conn := offerToWorker(t, listener, loop, pool, dispatcher)
			c.event(loop.Now(), dispatcher, pool)
			// The loop runs until the connection is established and the outcomes queued by then are reported.
			err := loop.Run(func(int64) {
				if pool.DeliverPending(); conn.established {
					loop.Stop()
				}
			})
			if err != nil {
				t.Error(err)
			}

			if open := conn.openOffers[requestID] != nil; open != c.wantSent {
				t.Errorf("offer open on its connection: %v, want %v", open, c.wantSent)
			}
			loop.Close()
			received, err := io.ReadAll(nettest.Accept(t, listener))
			if err != nil || strings.Contains(string(received), offerText) != c.wantSent {
				t.Errorf("the worker received %q, error %v; want an offer: %v", received, err, c.wantSent)
			}
		})
	}
}

// Offers that wait for one connection are sent in the order in which they were made. This guards against sorting offers
// by age. Offers of one turn have the same age, so such a sort left them in map order. As a result, runs with the same
// seed differed, and a task of low priority could be offered before a task of high priority.
func TestWaitingOffersLeaveInOrder(t *testing.T) {
	lt := newLinkTest(t)
	lt.listWorker()
	const offers = 20
	var offered []string
	for i := range offers {
		submission := newSubmission()
		submission.RequestID = testbed.RequestID(offers - i) // descending, so that offers sorted by request ID fail the test
		submission.Key = submission.RequestID
		if err := lt.dispatcher.Submit(lt.loop.Now(), nil, submission); err != nil {
			t.Fatal(err)
		}
		lt.pool.Offer(workerName, offerOf(submission))
		offered = append(offered, submission.RequestID)
	}
	var sent []string
	go func() {
		defer lt.loop.Post(lt.loop.Stop)
		scanner := bufio.NewScanner(nettest.Accept(t, lt.listener))
		for len(sent) < offers && scanner.Scan() {
			var line testbed.Line
			if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
				t.Error(err)
				return
			}
			sent = append(sent, line.Tag)
		}
	}()
	if err := lt.loop.Run(func(int64) { lt.pool.DeliverPending() }); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(sent, offered) {
		t.Errorf("sent offers %v, want %v", sent, offered)
	}
}
