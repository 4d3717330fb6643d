package workerpool

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/jsonlines"
	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/nettest"
)

// paddingBytes is more than the system takes for a worker that does not read.
const paddingBytes = 32 << 20

// runningNotice is a message that shows that the worker is there.
func runningNotice() []byte {
	return jsonlines.Append(nil, &jsonlines.Message{
		Verb: jsonlines.VerbNotice,
		Tag:  requestID,
		Opts: []jsonlines.Field{{Name: "note", Value: "up"}, {Name: "value", Value: "0"}},
	})
}

// blockedOffer is an offer on a connection whose worker is there, but does not read.
type blockedOffer struct {
	t          *testing.T
	pool       *Pool
	dispatcher *dispatch.Dispatcher
	workerConn *workerConn
	worker     net.Conn
	offeredAt  int64 // 0 until it was offered
	cancelled  chan struct{}
	ended      bool
}

// turn offers once the connection is up, and cancels once the worker's message has come in.
func (b *blockedOffer) turn(now int64) {
	b.pool.DeliverPending()
	switch {
	case b.offeredAt == 0 && b.workerConn.established:
		b.offer(now)
	case b.offeredAt != 0 && !b.ended && b.workerConn.lastReadAt > b.offeredAt:
		b.cancel()
	}
}

func (b *blockedOffer) offer(now int64) {
	b.workerConn.conn.Write([]byte(strings.Repeat(" ", paddingBytes) + "\n"))
	b.workerConn.conn.Flush()
	submission := newSubmission()
	if err := b.dispatcher.Submit(now, nil, submission); err != nil {
		b.t.Error(err)
	}
	b.pool.Offer(workerName, offerOf(submission))
	b.offeredAt = now
	if _, err := b.worker.Write(runningNotice()); err != nil {
		b.t.Error(err)
	}
}

func (b *blockedOffer) cancel() {
	offer := b.workerConn.openOffers[requestID]
	if offer == nil || offer.endOffset == 0 || offer.isSent(b.workerConn.conn) {
		b.t.Errorf("the offer should wait for its worker: %+v", offer)
	}
	b.pool.CancelAttempt(workerName, requestID, false)
	b.ended = true
	close(b.cancelled)
}

// Given an offer that waits for its worker to read, a cancel takes it back: it would reach the worker as soon as that
// reads on, long after its client has gone.
func TestCancelTakesUnsentOfferBack(t *testing.T) {
	listener := nettest.Listen(t)
	loop, pool, dispatcher := newPool(t)
	loop.SetMaxBuffered(2 * paddingBytes)
	dispatcher.UpdateWorkers(loop.Now(), fullList())
	pool.UpdateWorker(workerName, listener.Addr().String(), true)
	b := &blockedOffer{
		t:          t,
		pool:       pool,
		dispatcher: dispatcher,
		workerConn: pool.links[workerName].conns[0],
		worker:     nettest.Accept(t, listener),
		cancelled:  make(chan struct{}),
	}

	defer startLoop(t, loop, b.turn)()
	select {
	case <-b.cancelled:
	case <-time.After(testbed.Timeout):
		t.Fatal("the worker's message never came in")
	}

	if err := b.worker.SetReadDeadline(time.Now().Add(testbed.Timeout)); err != nil {
		t.Fatal(err)
	}
	received, err := io.ReadAll(b.worker)
	offered := strings.Contains(string(received), jsonlines.VerbStart)
	if offered || !errors.Is(err, unix.ECONNRESET) {
		t.Errorf("the worker read %d bytes, then %v; the offer among them: %v", len(received), err, offered)
	}
}
