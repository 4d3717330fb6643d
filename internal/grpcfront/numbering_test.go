package grpcfront

import (
	"testing"

	"ravenhitch/internal/grpcfront/edgepb"
)

// A client has read 57 messages of an earlier process. Its number must not acknowledge messages of this process, and the
// numbers of these messages must be higher.
func TestNumbersContinueAfterEarlierProcess(t *testing.T) {
	front, _ := newFront()
	s := front.newSession("a")
	s.pushEnded(&edgepb.Ended{OfferId: "1"})
	s.pushEnded(&edgepb.Ended{OfferId: "2"})
	st := newStream()
	front.attach("a", 57, st)
	for _, want := range []uint64{58, 59} {
		if message := <-st.outbox; message.GetNumber() != want {
			t.Errorf("got message number %d, want %d", message.GetNumber(), want)
		}
	}
	front.attach("a", 58, newStream())
	if len(s.unacknowledged) != 1 || s.unacknowledged[0].GetEnded().GetOfferId() != "2" {
		t.Errorf("%d messages are unacknowledged, want the second alone", len(s.unacknowledged))
	}
}
