package workerpool

import (
	"testing"

	"ravenhitch/internal/jsonlines"
)

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
		next := l.connForSending()
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
