package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/peer/peerpb"
	"ravenhitch/internal/testbed"
)

// TestInboundConnections asserts that an inbound connection whose first message is invalid is closed without an answer,
// that the reason is logged, and that a valid hello on a later connection is answered. It also asserts that an invalid
// datagram is counted as refused. One connection announces a message of 3 GiB, which must be rejected at once, before
// memory is allocated for it.
func TestInboundConnections(t *testing.T) {
	loop, p, log := startPeer(t, "n1")
	cases := []struct {
		name string
		sent []byte
		want string // part of the log line
	}{
		{"a length of 3 GiB", binary.AppendUvarint(nil, 3<<30), "expected a message of at most 65536 bytes"},
		{"a length that is not a valid varint", bytes.Repeat([]byte{0xff}, 11), "expected a message of at most 65536 bytes"},
		{
			"another cluster",
			helloFrame(t, &peerpb.Hello{Cluster: "other", Name: "n2", Lowest: 1, Highest: 1}),
			`expected \"dala\", got \"other\" from n2`,
		},
		{
			"a later version",
			helloFrame(t, &peerpb.Hello{Cluster: "dala", Name: "n2", Lowest: 7, Highest: 9}),
			"n2 supports versions 7 to 9, this program supports 1 to 1",
		},
		{
			"no name",
			helloFrame(t, &peerpb.Hello{Cluster: "dala", Lowest: 1, Highest: 1}),
			`invalid name or too many features in a hello: name \"\", 0 features`,
		},
	}
	for _, c := range cases {
		answer, err := exchange(t, p, c.sent)
		closed := errors.Is(err, io.EOF) || errors.Is(err, unix.ECONNRESET)
		if !closed || len(answer) > 0 {
			t.Errorf("%s: sent %q, got answer %q and error %v, want a closed connection", c.name, c.sent, answer, err)
		}
		if !strings.Contains(log.String(), c.want) {
			t.Errorf("%s: expected %q in the log, got: %s", c.name, c.want, log.String())
		}
	}

	answer, err := exchange(t, p, helloFrame(t, &peerpb.Hello{Cluster: "dala", Name: "n2", Lowest: 1, Highest: 2}))
	message, used, frameErr := decodeFrame(answer, maxHelloFrame)
	hello, version, helloErr := CheckHello("dala", message)
	if err != nil || frameErr != nil || used != len(answer) ||
		helloErr != nil || version != 1 || hello.GetName() != "n1" || hello.GetLife() != p.nonce {
		t.Errorf("valid hello: got answer %v, version %d (errors of the read, the frame and the hello: %v, %v, %v), want the hello of n1 with version 1",
			hello, version, err, frameErr, helloErr)
	}

	write(t, dial(t, "udp", p.Addr()), []byte("nonsense"))
	for deadline := time.Now().Add(testbed.Timeout); ; time.Sleep(time.Millisecond) {
		var counts Counts
		onLoop(loop, func() { counts = p.Counts() })
		if counts.Received == 1 && counts.Refused == int64(len(cases))+1 {
			break
		} else if time.Now().After(deadline) {
			t.Fatalf("got counts %+v, want 1 datagram received and %d messages refused", counts, len(cases)+1)
		}
	}
}

// exchange sends bytes on a new connection and returns the result of the first read from it.
func exchange(t *testing.T, p *Peers, sent []byte) (answer []byte, err error) {
	t.Helper()
	conn := dial(t, "tcp", p.Addr())
	if err := conn.SetDeadline(time.Now().Add(testbed.Timeout)); err != nil {
		t.Fatal(err)
	}
	write(t, conn, sent)
	answer = make([]byte, 512)
	n, err := conn.Read(answer)
	return answer[:n], err
}
