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

// offerText is what shows an offer in what a worker has read.
const offerText = `"verb":"START"`

// Given an offer on a connection that is reset before the offer was sent, it goes out on the next connection, once:
// it never ran, and the worker is not to blame.
func TestUnsentOfferIsResentAfterReset(t *testing.T) {
	listener := nettest.Listen(t)
	loop, pool, dispatcher := newPool(t)
	pool.UpdateWorker(workerName, listener.Addr().String(), true)
	submission := newSubmission()
	if err := dispatcher.Submit(loop.Now(), nil, submission); err != nil {
		t.Fatal(err)
	}
	pool.Offer(workerName, offerOf(submission))

	reset := pool.links[workerName].conns[0]
	reset.conn.Close()
	reset.Closed(reset.conn, unix.ECONNRESET)

	stop := startLoop(t, loop, func(int64) { pool.DeliverPending() })
	received := ""
	for range 2 {
		line, _ := bufio.NewReader(nettest.Accept(t, listener)).ReadString('\n') // one connection ends without a line
		received += line
	}
	if strings.Count(received, offerText) != 1 {
		t.Errorf("the worker received %q", received)
	}
	stop()
}

// lateConnectionCases are what may happen while an offer waits for its connection to come up.
var lateConnectionCases = []struct {
	name      string
	meanwhile func(now int64, dispatcher *dispatch.Dispatcher, pool *Pool)
	wantSent  bool
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

// Given an offer whose connection comes up late, it is not sent where it must not be any more.
func TestOfferOnLateConnection(t *testing.T) {
	for _, c := range lateConnectionCases {
		t.Run(c.name, func(t *testing.T) {
			listener := nettest.Listen(t)
			loop, pool, dispatcher := newPool(t)
			conn := offerToWorker(t, listener, loop, pool, dispatcher)
			c.meanwhile(loop.Now(), dispatcher, pool)
			err := loop.Run(func(int64) { // until the connection is up and what came of that is reported
				if pool.DeliverPending(); conn.established {
					loop.Stop()
				}
			})
			if err != nil {
				t.Error(err)
			}

			if open := conn.openOffers[requestID] != nil; open != c.wantSent {
				t.Errorf("open on its connection: %v", open)
			}
			loop.Close()
			received, err := io.ReadAll(nettest.Accept(t, listener))
			if err != nil || strings.Contains(string(received), offerText) != c.wantSent {
				t.Errorf("the worker received %q, %v", received, err)
			}
		})
	}
}

// Given offers that wait for one connection, they leave in the order in which they were made. They were sorted by their
// age, which is the same for all of one turn, so that they left in the order of a map: the same seed played differently,
// and a task of low priority could go ahead of one of high priority.
func TestWaitingOffersLeaveInOrder(t *testing.T) {
	lt := newLinkTest(t)
	lt.listWorker()
	const offers = 20
	var made []string
	for i := range offers {
		submission := newSubmission()
		submission.RequestID = testbed.RequestID(offers - i) // against the order of request IDs
		submission.Key = submission.RequestID
		if err := lt.dispatcher.Submit(lt.loop.Now(), nil, submission); err != nil {
			t.Fatal(err)
		}
		lt.pool.Offer(workerName, offerOf(submission))
		made = append(made, submission.RequestID)
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
	if !slices.Equal(sent, made) {
		t.Errorf("made %v, sent %v", made, sent)
	}
}
