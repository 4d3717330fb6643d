package workerpool

import (
	"testing"

	"ravenhitch/internal/jsonlines"
)

// An attempt whose connection ended is over once the close has reached the worker and the worker's process has had time
// to read the offer.
func TestResetAt(t *testing.T) {
	const endedAt = 1_000 * second
	for _, test := range []struct {
		name      string
		connectUs int64 // shortest time in which a connection to the worker was established
		offerAge  int64 // time from the writing of the offer to the end of its connection
		want      int64 // time from the end of the connection to the end of the attempt
	}{
		{"offer read long ago", 0, second, minCloseTransit},
		{"offer read long ago, slow network", 30 * millisecond, second, 30 * millisecond},
		{"offer read long ago, very slow network", second, second, maxCloseTransit},
		{"offer written just now", 0, 0, maxReadDelay},
		{"offer written a moment ago", 0, 10 * millisecond, maxReadDelay - 10*millisecond},
		{"offer written a moment ago, slow network", 30 * millisecond, maxReadDelay - millisecond, 30 * millisecond},
		{"offer just read", 0, maxReadDelay, minCloseTransit},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := &link{minConnectUs: test.connectUs}
			offer := &openOffer{writtenAt: endedAt - test.offerAge}
			if got := l.resetAt(offer, endedAt) - endedAt; got != test.want {
				t.Errorf("the attempt is over %d us after the end of its connection, want %d us", got, test.want)
			}
		})
	}
}

// If a connection is closed shortly after an offer was sent on it, the attempt is over only once the worker's process has
// had time to read the offer.
func TestResetOfNewOfferIsReportedLate(t *testing.T) {
	lt := newLinkTest(t)
	l := lt.listWorker()
	if err := lt.dispatcher.Submit(lt.loop.Now(), discardingClient{}, newSubmission()); err != nil {
		t.Fatal(err)
	}
	sentAt := int64(0) // beginning of the turn in which the offer was sent and its connection closed
	lt.runUntil(func() bool {
		if sentAt != 0 {
			return !l.pendingResets[requestID]
		}
		c := l.conns[0]
		if c.writtenOffer(requestID) != nil && c.conn.Flush() {
			sentAt = lt.loop.Now()
			c.close(errUnresponsive)
		}
		return false
	})
	if now := lt.loop.Now(); now < sentAt+maxReadDelay {
		t.Errorf("the reset was reported %d us after the offer was sent, want at least %d us", now-sentAt, maxReadDelay)
	}
}

// A worker that has accepted a task and lost its connection may report the end of the task on another connection before
// the reset of the offer is reported. The end must not be dropped: nobody would report it again.
func TestTaskEndedBeforeResetIsReported(t *testing.T) {
	lt := newLinkTest(t)
	l := lt.listWorker()
	if err := lt.dispatcher.Submit(lt.loop.Now(), discardingClient{}, newSubmission()); err != nil {
		t.Fatal(err)
	}
	lt.runUntil(func() bool {
		c := l.conns[0]
		if c.writtenOffer(requestID) == nil || !c.conn.Flush() {
			return false
		}
		c.close(errUnresponsive)
		next := l.connForSending(anyConnection)
		next.handleMessage(&jsonlines.Message{Verb: jsonlines.VerbFinish, Tag: requestID, RC: jsonlines.CodeRejected, HasRC: true})
		if !lt.dispatcher.Contains(requestID) {
			t.Error("a rejection on another connection ended the attempt")
		}
		next.handleMessage(&jsonlines.Message{Verb: jsonlines.VerbFinish, Tag: requestID, RC: jsonlines.CodeEnded, HasRC: true})
		return true
	})
	if lt.dispatcher.Contains(requestID) {
		t.Error("the request is still open after the end of its task")
	}
}
