package peer

import (
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/membership"
	"ravenhitch/internal/peer/peerpb"
	"ravenhitch/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "20261202") }

func drawUpdate(t *rapid.T, label string) membership.Update {
	name := rapid.StringMatching(`[a-z0-9-]{1,64}`)
	r := membership.Update{Name: name.Draw(t, label), Zone: name.Draw(t, label+" hall"), Addr: "127.0.0.1:7101", Life: rapid.Uint64().Draw(t, label+" life"),
		Incarnation: rapid.Uint64().Draw(t, label+" incarnation"), State: membership.State(rapid.IntRange(0, 3).Draw(t, label+" state"))}
	for range rapid.IntRange(0, membership.MaxConfirmations).Draw(t, label+" witnesses") {
		r.Confirmations = append(r.Confirmations, membership.Confirmation{Name: name.Draw(t, "witness"), Zone: name.Draw(t, "its hall"), Refused: rapid.Bool().Draw(t, "refused")})
	}
	return r
}

// What is written reads the same, is never larger than the table reckons, and says the
// same to a program that knows of no more: fields that it does not know are passed over.
func TestDatagramRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &membership.Message{Kind: membership.Kind(rapid.IntRange(1, 4).Draw(t, "kind")), To: "n2", Sender: drawUpdate(t, "self"),
			Joining: rapid.Bool().Draw(t, "joining"), Sequence: rapid.Uint64().Draw(t, "seq"), Target: "n3", OnBehalfOf: "n4", OnBehalfOfSequence: rapid.Uint64().Draw(t, "for"),
			DirectPingReceived: rapid.Bool().Draw(t, "heard"), Reached: rapid.Bool().Draw(t, "reached")}
		m.Digests = rapid.SliceOfN(rapid.Uint32(), 0, membership.DigestBuckets).Draw(t, "digests")
		for range rapid.IntRange(0, 6).Draw(t, "rumours") {
			m.Updates = append(m.Updates, drawUpdate(t, "rumour"))
		}
		b, err := Encode("dala", m)
		if err != nil {
			t.Fatal(err)
		}
		if len(b) > m.Size()+membership.MaxNameLength {
			t.Fatalf("%d bytes, reckoned %d", len(b), m.Size())
		}
		b = protowire.AppendTag(b, 99, protowire.BytesType)
		b = protowire.AppendBytes(b, []byte("of a newer peer"))
		got, err := Decode("dala", b)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Encode("dala", got)
		if err != nil {
			t.Fatal(err)
		}
		if want, _ := Encode("dala", m); string(again) != string(want) {
			t.Fatalf("%+v became %+v", m, got)
		}
		if _, err := Decode("other", b); !errors.Is(err, ErrOtherCluster) {
			t.Fatalf("of another cluster: %v", err)
		}
	})
	b, err := proto.Marshal(&peerpb.Datagram{Cluster: "dala", Version: MaxVersion + 1, Kind: 1, To: "n1"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode("dala", b); !errors.Is(err, ErrNoCommonVersion) {
		t.Errorf("of a version to come: %v", err)
	}
}

// FuzzDatagram looks at what holds of any bytes: no panic, and what is taken is in bounds.
func FuzzDatagram(f *testing.F) {
	b, err := Encode("dala", &membership.Message{Kind: membership.Ping, To: "n2", Sender: membership.Update{Name: "n1", Addr: "127.0.0.1:1"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode("dala", b)
		if err != nil {
			return
		}
		if m.Kind < membership.Ping || m.Kind > membership.PingRequestResult || len(m.Sender.Name) == 0 || len(m.Sender.Name) > membership.MaxNameLength ||
			len(m.Updates) > maxUpdates || len(m.Digests) > membership.DigestBuckets {
			t.Fatalf("%+v", m)
		}
	})
}

// FuzzHello does the same for greetings.
func FuzzHello(f *testing.F) {
	b, err := encodeFrame(&peerpb.Hello{Cluster: "dala", Name: "n1", Lowest: 1, Highest: 1}, maxHelloFrame)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(binary.AppendUvarint(nil, 3<<30))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, used, err := decodeFrame(b, maxHelloFrame)
		if err != nil || used == 0 {
			return
		}
		if used > len(b) || len(m) > maxHelloFrame {
			t.Fatalf("%d of %d bytes, a message of %d", used, len(b), len(m))
		}
		if h, version, err := CheckHello("dala", m); err == nil && (version < MinVersion || version > MaxVersion || h.GetName() == "") {
			t.Fatalf("%v, version %d", h, version)
		}
	})
}

// Both ends agree on the highest version that both speak.
func TestVersionAgreement(t *testing.T) {
	for _, c := range []struct {
		lowest, highest, want uint32
		err                   error
	}{{1, 1, 1, nil}, {1, 9, 1, nil}, {0, 1, 1, nil}, {2, 9, 0, ErrNoCommonVersion}, {0, 0, 0, ErrNoCommonVersion}} {
		b, err := proto.Marshal(&peerpb.Hello{Cluster: "dala", Name: "n1", Lowest: c.lowest, Highest: c.highest, Features: []string{"unheard-of"}})
		if err != nil {
			t.Fatal(err)
		}
		if _, v, err := CheckHello("dala", b); v != c.want || !errors.Is(err, c.err) {
			t.Errorf("%+v: %d, %v", c, v, err)
		}
	}
}

// logBuffer keeps what is logged.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// An inbound connection that makes no sense is cut off with one line that says why, costs
// no memory by what it claims, and the next one is greeted.
func TestInboundConnections(t *testing.T) {
	l, err := eventloop.New(32)
	if err != nil {
		t.Fatal(err)
	}
	var said logBuffer
	p, err := New(l, Settings{Listen: "127.0.0.1:0", Cluster: "dala", Name: "n1", Zone: "hall-a", Incarnation: 1}, slog.New(slog.NewTextHandler(&said, nil)))
	if err != nil {
		t.Fatal(err)
	}
	over := make(chan error, 1)
	go func() { over <- l.Run(func(int64) {}) }()
	defer func() {
		l.Post(l.Stop)
		if err := <-over; err != nil {
			t.Error(err)
		}
		l.Close()
	}()
	hello := func(h *peerpb.Hello) []byte {
		b, err := encodeFrame(h, maxHelloFrame)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	for _, c := range []struct {
		sent []byte
		want string // of the line, "" for a greeting in return
	}{
		{binary.AppendUvarint(nil, 3<<30), "expected a message of at most 65536 bytes"},
		{[]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"), "expected a message of at most 65536 bytes"},
		{hello(&peerpb.Hello{Cluster: "other", Name: "n2", Lowest: 1, Highest: 1}), `expected \"dala\", got \"other\" from n2`},
		{hello(&peerpb.Hello{Cluster: "dala", Name: "n2", Lowest: 7, Highest: 9}), "n2 speaks 7 to 9, this program 1 to 1"},
		{hello(&peerpb.Hello{Cluster: "dala", Lowest: 1, Highest: 1}), "a hello from"},
		{hello(&peerpb.Hello{Cluster: "dala", Name: "n2", Lowest: 1, Highest: 2}), ""},
	} {
		conn, err := net.Dial("tcp", p.Addr())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := conn.Write(c.sent); err != nil {
			t.Fatal(err)
		}
		b := make([]byte, 512)
		n, err := conn.Read(b)
		if c.want == "" {
			m, used, ferr := decodeFrame(b[:n], maxHelloFrame)
			if h, v, gerr := CheckHello("dala", m); err != nil || ferr != nil || used != n || gerr != nil || v != 1 || h.GetName() != "n1" || h.GetLife() != p.nonce {
				t.Errorf("greeted with %v (%v, %v, %v)", h, err, ferr, gerr)
			}
		} else if err != io.EOF && !strings.Contains(err.Error(), "reset") || n > 0 {
			t.Errorf("%q got %q, %v", c.sent, b[:n], err)
		} else if !strings.Contains(said.String(), c.want) {
			t.Errorf("%q was not said: %s", c.want, said.String())
		}
		conn.Close()
	}
	// Nonsense in datagrams is counted and said, and ends nothing.
	u, err := net.Dial("udp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	u.Write([]byte("nonsense"))
	for limit := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		got := make(chan Counts, 1)
		l.Post(func() { got <- p.Counts() })
		if c := <-got; c.Received == 1 && c.Refused == 6 {
			break
		} else if time.Now().After(limit) {
			t.Fatalf("%+v", c)
		}
	}
}

// Incarnations grow from start to start; a file that holds no count begins anew, and an
// older copy of it does no harm that the others could not mend.
func TestIncarnationsGrow(t *testing.T) {
	dir := t.TempDir()
	last := uint64(0)
	for range 3 {
		n, fault, err := Start(dir)
		if err != nil || fault != "" || n <= last {
			t.Fatalf("%d after %d: %s, %v", n, last, fault, err)
		}
		last = n
	}
	for _, text := range []string{"", "3", "x\n", "-1\n", "99999999999\n"} {
		if err := os.WriteFile(filepath.Join(dir, "starts"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if n, fault, err := Start(dir); err != nil || !strings.Contains(fault, "expected a count of starts") || n != refutationsPerStart {
			t.Errorf("%q: %d, %q, %v", text, n, fault, err)
		}
	}
	if n, _, err := Start(""); err != nil || n != 1 {
		t.Errorf("without a folder: %d, %v", n, err)
	}
	if _, _, err := Start(filepath.Join(dir, "none")); err == nil {
		t.Error("a folder that is not there is taken")
	}
}

// Where any port will do, one that is in use for datagrams is passed over; a port that is
// named is not, and what was opened there is given back.
func TestPortsInUse(t *testing.T) {
	taken := map[string]bool{}
	for range 500 {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		taken[c.LocalAddr().String()] = true
	}
	s := Settings{Listen: "127.0.0.1:0", Cluster: "dala", Name: "n1", Zone: "hall-a", Incarnation: 1}
	for range 1000 { // one in fifty of these meets a port in use
		l, err := eventloop.New(8)
		if err != nil {
			t.Fatal(err)
		}
		p, err := New(l, s, slog.New(slog.DiscardHandler))
		if err != nil || taken[p.Addr()] {
			t.Fatalf("%v", err)
		}
		l.Close()
	}
	l, err := eventloop.New(8)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for s.Listen = range taken {
		if ln, err := net.Listen("tcp", s.Listen); err == nil {
			ln.Close()
			break
		}
	}
	if _, err := New(l, s, slog.New(slog.DiscardHandler)); !errors.Is(err, unix.EADDRINUSE) {
		t.Errorf("at a port in use: %v", err)
	}
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		t.Fatalf("not given back: %v", err)
	}
	ln.Close()
}
