package peer

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ravenhitch/internal/membership"
	"ravenhitch/internal/peer/peerpb"
	"ravenhitch/internal/testbed"
)

// The encoded constants in this file are the bytes that the build of commit 532e1c5 ("the previous build") writes.
// While a cluster is upgraded, it has members of both builds, so each build must read the messages of the other. After
// an upgrade or a rollback, an orchestrator must also be able to read the counter of starts from the file that the
// other build wrote.

// previousNonce is the incarnation nonce of the member n2, which sends the messages in this file.
const previousNonce = 0x1122334455667788

// previousSender is the update about itself that n2 puts into each of its datagrams.
var previousSender = membership.Update{
	Name:        "n2",
	Zone:        "hall-b",
	Addr:        "127.0.0.1:7102",
	Nonce:       previousNonce,
	Incarnation: 3 << 24,
}

// previousDatagrams holds datagrams from n2 to n1, encoded in hexadecimal digits, and the messages that they carry.
var previousDatagrams = []struct {
	name, encoded string
	message       membership.Message
}{
	{
		"ping with digests",
		"0a0464616c611001180122026e312a2a0a026e32120668616c6c2d621a0e3132372e302e302e313a37313032218877665544332211288080801838296a0c0100000000000000efbeadde",
		membership.Message{
			Kind:     membership.Ping,
			To:       "n1",
			Sender:   previousSender,
			Sequence: 41,
			Digests:  []uint32{1, 0, 0xdeadbeef},
		},
	},
	{
		"ping on behalf of another member, while joining",
		"0a0464616c611001180122026e312a2a0a026e32120668616c6c2d621a0e3132372e302e302e313a3731303221887766554433221128808080183001382a4a026e3450ac02",
		membership.Message{
			Kind:               membership.Ping,
			To:                 "n1",
			Sender:             previousSender,
			Joining:            true,
			Sequence:           42,
			OnBehalfOf:         "n4",
			OnBehalfOfSequence: 300,
		},
	},
	{
		"ack with updates",
		"0a0464616c611001180222026e312a2a0a026e32120668616c6c2d621a0e3132372e302e302e313a373130322188776655443322112880808018382b4a026e3450ac025801" +
			"723f0a026e33120668616c6c2d611a0e3132372e302e302e313a373130332107000000000000002809" +
			"30013a0e0a026e34120668616c6c2d6118013a040a026e35" +
			"72210a026e361a0e3132372e302e302e313a3731303621080000000000000028013002" +
			"72210a026e371a0e3132372e302e302e313a3731303721090000000000000028013003",
		membership.Message{
			Kind:               membership.Ack,
			To:                 "n1",
			Sender:             previousSender,
			Sequence:           43,
			OnBehalfOf:         "n4",
			OnBehalfOfSequence: 300,
			DirectPingReceived: true,
			Updates: []membership.Update{
				{Name: "n3", Zone: "hall-a", Addr: "127.0.0.1:7103", Nonce: 7, Incarnation: 9, State: membership.Suspect,
					Confirmations: []membership.Confirmation{{Name: "n4", Zone: "hall-a", Refused: true}, {Name: "n5"}}},
				{Name: "n6", Addr: "127.0.0.1:7106", Nonce: 8, Incarnation: 1, State: membership.Dead},
				{Name: "n7", Addr: "127.0.0.1:7107", Nonce: 9, Incarnation: 1, State: membership.Left},
			},
		},
	},
	{
		"ping request",
		"0a0464616c611001180322026e312a2a0a026e32120668616c6c2d621a0e3132372e302e302e313a373130322188776655443322112880808018382c42026e33",
		membership.Message{Kind: membership.PingRequest, To: "n1", Sender: previousSender, Sequence: 44, Target: "n3"},
	},
	{
		"ping request result: target reached, and the requester's own ping arrived there",
		"0a0464616c611001180422026e312a2a0a026e32120668616c6c2d621a0e3132372e302e302e313a373130322188776655443322112880808018382d42026e3358016001",
		membership.Message{
			Kind:               membership.PingRequestResult,
			To:                 "n1",
			Sender:             previousSender,
			Sequence:           45,
			Target:             "n3",
			DirectPingReceived: true,
			Reached:            true,
		},
	},
	{
		"ping request result: target not reached",
		"0a0464616c611001180422026e312a2a0a026e32120668616c6c2d621a0e3132372e302e302e313a373130322188776655443322112880808018382e42026e33",
		membership.Message{Kind: membership.PingRequestResult, To: "n1", Sender: previousSender, Sequence: 46, Target: "n3"},
	},
}

// previousHellos holds the hello frames of n2 in hexadecimal digits, by the kind of records that follow. No records
// follow the hello of kind 0.
var previousHellos = map[RecordKind]string{
	0:          "170a0464616c6112026e3219887766554433221128013001",
	Urgent:     "190a0464616c6112026e32198877665544332211280130014001",
	Background: "190a0464616c6112026e32198877665544332211280130014002",
}

// previousRecord is the frame of a record in hexadecimal digits, and previousData is the content of the record.
const (
	previousRecord = "0a0a0861207265636f7264"
	previousData   = "a record"
)

// fromHex decodes a constant of this file from hexadecimal digits.
func fromHex(t *testing.T, digits string) []byte {
	t.Helper()
	b, err := hex.DecodeString(digits)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestPreviousDatagrams asserts that this build decodes the previous build's datagrams and encodes the same bytes.
func TestPreviousDatagrams(t *testing.T) {
	for _, c := range previousDatagrams {
		t.Run(c.name, func(t *testing.T) {
			got, err := Decode("dala", fromHex(t, c.encoded))
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(*got, c.message) {
				t.Errorf("got message %+v, want %+v", *got, c.message)
			}
			b, err := Encode("dala", &c.message)
			if err != nil {
				t.Fatal(err)
			}
			if written := hex.EncodeToString(b); written != c.encoded {
				t.Errorf("got encoded datagram %s, want %s", written, c.encoded)
			}
		})
	}
}

// TestPreviousHellos asserts that this build accepts the previous build's hello frames and encodes the same bytes.
func TestPreviousHellos(t *testing.T) {
	for kind, encoded := range previousHellos {
		frame := fromHex(t, encoded)
		message, used, err := decodeFrame(frame, maxHelloFrame)
		if err != nil || used != len(frame) {
			t.Fatalf("kind %d: decodeFrame used %d of %d bytes and returned error %v, want all bytes and no error",
				kind, used, len(frame), err)
		}
		h, version, err := CheckHello("dala", message)
		if err != nil || version != 1 || h.GetName() != "n2" || h.GetLife() != previousNonce || RecordKind(h.GetKind()) != kind {
			t.Errorf("kind %d: got hello %v, version %d, error %v, want version 1 and a hello of n2 with this kind and previousNonce", kind, h, version, err)
		}
		p := &Peers{settings: Settings{Cluster: "dala", Name: "n2"}, nonce: previousNonce}
		if written := hex.EncodeToString(p.hello(kind)); written != encoded {
			t.Errorf("kind %d: got encoded hello %s, want %s", kind, written, encoded)
		}
	}
}

// TestPreviousRecord asserts that this build accepts the previous build's record frame and encodes the same bytes.
func TestPreviousRecord(t *testing.T) {
	encoded := fromHex(t, previousRecord)
	message, used, err := decodeFrame(encoded, maxRecordFrame)
	if err != nil || used != len(encoded) {
		t.Fatalf("decodeFrame used %d of %d bytes and returned error %v, want all bytes and no error",
			used, len(encoded), err)
	}
	var r peerpb.Record
	if err := proto.Unmarshal(message, &r); err != nil || string(r.GetData()) != previousData {
		t.Errorf("got record %q, error %v, want %q", r.GetData(), err, previousData)
	}
	written, err := encodeFrame(&peerpb.Record{Data: []byte(previousData)}, maxRecordFrame)
	if err != nil || hex.EncodeToString(written) != previousRecord {
		t.Errorf("got encoded record %x, error %v, want %s", written, err, previousRecord)
	}
}

// TestPreviousStartsFile asserts that this build reads the counter of process starts from the previous build's file,
// increments it, and writes the file in the same format.
func TestPreviousStartsFile(t *testing.T) {
	for _, c := range []struct {
		name, before, after string
		incarnation         uint64
	}{
		{"after the previous build's second start", "2\n", "3\n", 3 << 24},
		{"after the previous build's 41st start", "41\n", "42\n", 704643072},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			file := filepath.Join(dir, "starts")
			if err := os.WriteFile(file, []byte(c.before), 0o600); err != nil {
				t.Fatal(err)
			}
			incarnation, fault, err := NextIncarnation(dir)
			if err != nil || fault != "" || incarnation != c.incarnation {
				t.Errorf("got incarnation %d, fault %q, error %v, want incarnation %d, no fault and no error",
					incarnation, fault, err, c.incarnation)
			}
			if b, err := os.ReadFile(file); err != nil || string(b) != c.after {
				t.Errorf("got file content %q, error %v, want %q", b, err, c.after)
			}
		})
	}
}

// TestPreviousStatusReport asserts that the status report has the same JSON names in the same order as in the previous
// build.
func TestPreviousStatusReport(t *testing.T) {
	const previous = `{"cluster":"dala","name":"n1","doubt":2,"view":{"number":3,"digest":"00000000000000ff","names":["n1","n2"]},` +
		`"members":[{"name":"n1","hall":"hall-a","address":"127.0.0.1:7101","incarnation":1,"state":"alive","link":"itself","rtt_ms":0,"silent_ms":0},` +
		`{"name":"n2","hall":"hall-b","address":"127.0.0.1:7102","incarnation":2,"state":"suspected","link":"out shut","slow":true,"rtt_ms":250,` +
		`"silent_ms":900,"evidence":"1 of 2 in hall-a can't reach it"}],` +
		`"traffic":{"sent":1,"sent_bytes":2,"received":3,"received_bytes":4,"lost":5,"refused":6,"knocks":7}}` + "\n.\n"
	report := StatusReport{
		Cluster:     "dala",
		Name:        "n1",
		HealthScore: 2,
		View:        View{3, "00000000000000ff", []string{"n1", "n2"}},
		Members: []Member{
			{Name: "n1", Zone: "hall-a", Address: "127.0.0.1:7101", Incarnation: 1, State: "alive", Path: "itself"},
			{Name: "n2", Zone: "hall-b", Address: "127.0.0.1:7102", Incarnation: 2, State: "suspected", Path: "out shut",
				Slow: true, RTTMs: 250, SinceAliveMs: 900, Evidence: "1 of 2 in hall-a can't reach it"},
		},
		Traffic: Traffic{1, 2, 3, 4, 5, 6, 7},
	}
	if b, err := report.Reply(); err != nil || string(b) != previous {
		t.Errorf("got status report %s, error %v, want %s", b, err, previous)
	}
}

// TestPreviousBuildSendsRecords sends a ping, a hello and a record, as the previous build encodes them, to a running
// orchestrator of this build. It asserts that the ping makes the sender a member, and that the record is accepted on
// the connection that begins with the hello.
func TestPreviousBuildSendsRecords(t *testing.T) {
	loop, p, log := startPeer(t, "n1")
	records := make(chan string, 1)
	onLoop(loop, func() {
		p.OnRecord(Urgent, func(from string, b []byte) { records <- from + ": " + string(b) })
	})
	write(t, dial(t, "udp", p.Addr()), fromHex(t, previousDatagrams[0].encoded))
	joined := func() bool { return strings.Contains(log.String(), "event=joined member=n2") }
	for deadline := time.Now().Add(testbed.Timeout); !joined(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("n2 is not a member after its ping, want a joined event; log: %s", log.String())
		}
	}
	conn := dial(t, "tcp", p.Addr())
	write(t, conn, fromHex(t, previousHellos[Urgent]))
	write(t, conn, fromHex(t, previousRecord))
	select {
	case got := <-records:
		if got != "n2: "+previousData {
			t.Errorf("got record %q, want %q", got, "n2: "+previousData)
		}
	case <-time.After(testbed.Timeout):
		t.Errorf("no record arrived within %v; log: %s", testbed.Timeout, log.String())
	}
}
