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

// paddingBytes is more than the operating system buffers for a worker that does not read.
const paddingBytes = 32 << 20

// runningNotice returns a message that shows that the worker is responsive.
func runningNotice() []byte {
	return jsonlines.Append(nil, &jsonlines.Message{
		Verb: jsonlines.VerbNotice,
		Tag:  requestID,
		Opts: []jsonlines.Field{{Name: "note", Value: "up"}, {Name: "value", Value: "0"}},
	})
}

// blockedOffer is an offer on a connection whose worker is responsive but does not read.
type blockedOffer struct {
	t          *testing.T
	pool       *Pool
	dispatcher *dispatch.Dispatcher
	workerConn *workerConn
	worker     net.Conn
	offeredAt  int64         // time at which the offer was made, 0 if it was not made yet
	cancelled  chan struct{} // closed after CancelAttempt was called
	cancelDone bool          // CancelAttempt was called
}

// turn makes the offer once the connection is established, and cancels it once the worker's message has arrived.
func (b *blockedOffer) turn(now int64) {
	b.pool.DeliverPending()
	switch {
	case b.offeredAt == 0 && b.workerConn.established:
		b.offer(now)
	case b.offeredAt != 0 && !b.cancelDone && b.workerConn.lastReadAt > b.offeredAt:
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
		b.t.Errorf("offer %+v, want one that is written but not sent completely", offer)
	}
	b.pool.CancelAttempt(workerName, requestID, false)
	b.cancelDone = true
	close(b.cancelled)
}

// If an offer is still buffered because its worker does not read, a cancel discards the offer. Otherwise the offer
// would reach the worker when it reads again, long after the client has disconnected.
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
		t.Fatalf("the offer was not cancelled within %s", testbed.Timeout)
	}

	if err := b.worker.SetReadDeadline(time.Now().Add(testbed.Timeout)); err != nil {
		t.Fatal(err)
	}
	received, err := io.ReadAll(b.worker)
	offered := strings.Contains(string(received), jsonlines.VerbStart)
	if offered || !errors.Is(err, unix.ECONNRESET) {
		t.Errorf("the worker read %d bytes, then error %v, want %v; offer received: %v, want false",
			len(received), err, unix.ECONNRESET, offered)
	}
}
