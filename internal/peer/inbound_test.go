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

// TestInboundConnections asserts that an inbound connection whose bytes are invalid is closed with one log line that
// says why, and costs no memory by what it claims, and that the next hello is answered. It asserts the same of
// datagrams, which end nothing.
func TestInboundConnections(t *testing.T) {
	loop, p, log := startPeer(t, "n1")
	cases := []struct {
		name string
		sent []byte
		want string // of the log line
	}{
		{"a length of 3 GB", binary.AppendUvarint(nil, 3<<30), "expected a message of at most 65536 bytes"},
		{"a length without an end", bytes.Repeat([]byte{0xff}, 11), "expected a message of at most 65536 bytes"},
		{
			"another cluster",
			helloFrame(t, &peerpb.Hello{Cluster: "other", Name: "n2", Lowest: 1, Highest: 1}),
			`expected \"dala\", got \"other\" from n2`,
		},
		{
			"a later version",
			helloFrame(t, &peerpb.Hello{Cluster: "dala", Name: "n2", Lowest: 7, Highest: 9}),
			"n2 speaks 7 to 9, this program 1 to 1",
		},
		{"no name", helloFrame(t, &peerpb.Hello{Cluster: "dala", Lowest: 1, Highest: 1}), "a hello from"},
	}
	for _, c := range cases {
		answer, err := exchange(t, p, c.sent)
		closed := errors.Is(err, io.EOF) || errors.Is(err, unix.ECONNRESET)
		if !closed || len(answer) > 0 {
			t.Errorf("%s: %q got %q, %v", c.name, c.sent, answer, err)
		}
		if !strings.Contains(log.String(), c.want) {
			t.Errorf("%s: %q was not logged: %s", c.name, c.want, log.String())
		}
	}

	answer, err := exchange(t, p, helloFrame(t, &peerpb.Hello{Cluster: "dala", Name: "n2", Lowest: 1, Highest: 2}))
	message, used, frameErr := decodeFrame(answer, maxHelloFrame)
	hello, version, helloErr := CheckHello("dala", message)
	if err != nil || frameErr != nil || used != len(answer) ||
		helloErr != nil || version != 1 || hello.GetName() != "n1" || hello.GetLife() != p.nonce {
		t.Errorf("answered with %v (%v, %v, %v)", hello, err, frameErr, helloErr)
	}

	write(t, dial(t, "udp", p.Addr()), []byte("nonsense"))
	for limit := time.Now().Add(testbed.Timeout); ; time.Sleep(time.Millisecond) {
		var counts Counts
		onLoop(loop, func() { counts = p.Counts() })
		if counts.Received == 1 && counts.Refused == int64(len(cases))+1 {
			break
		} else if time.Now().After(limit) {
			t.Fatalf("%+v", counts)
		}
	}
}

// exchange sends bytes on a connection of their own, and returns what comes back first.
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
