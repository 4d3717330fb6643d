package peer

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"ravenhitch/internal/membership"
	"ravenhitch/internal/peer/peerpb"
)

// drawUpdate draws a gossip update within the limits of the protocol.
func drawUpdate(t *rapid.T, label string) membership.Update {
	name := rapid.StringMatching(`[a-z0-9-]{1,64}`)
	u := membership.Update{
		Name:        name.Draw(t, label),
		Zone:        name.Draw(t, label+" zone"),
		Addr:        "127.0.0.1:7101",
		Nonce:       rapid.Uint64().Draw(t, label+" nonce"),
		Incarnation: rapid.Uint64().Draw(t, label+" incarnation"),
		State:       membership.State(rapid.IntRange(0, 3).Draw(t, label+" state")),
	}
	for range rapid.IntRange(0, membership.MaxConfirmations).Draw(t, label+" confirmations") {
		u.Confirmations = append(u.Confirmations, membership.Confirmation{
			Name: name.Draw(t, "confirmation name"), Zone: name.Draw(t, "confirmation zone"), Refused: rapid.Bool().Draw(t, "refused")})
	}
	return u
}

// drawMessage draws a message. To, Target and OnBehalfOf are fixed. The other fields are random and do not depend on
// the kind of the message.
func drawMessage(t *rapid.T) *membership.Message {
	m := &membership.Message{
		Kind:               membership.Kind(rapid.IntRange(1, 4).Draw(t, "kind")),
		To:                 "n2",
		Sender:             drawUpdate(t, "sender"),
		Joining:            rapid.Bool().Draw(t, "joining"),
		Sequence:           rapid.Uint64().Draw(t, "sequence"),
		Target:             "n3",
		OnBehalfOf:         "n4",
		OnBehalfOfSequence: rapid.Uint64().Draw(t, "on behalf of sequence"),
		DirectPingReceived: rapid.Bool().Draw(t, "direct ping received"),
		Reached:            rapid.Bool().Draw(t, "reached"),
		Digests:            rapid.SliceOfN(rapid.Uint32(), 0, membership.DigestBuckets).Draw(t, "digests"),
	}
	for range rapid.IntRange(0, 6).Draw(t, "updates") {
		m.Updates = append(m.Updates, drawUpdate(t, "update"))
	}
	return m
}

// TestDatagramRoundTrip asserts that a message that was encoded and decoded is encoded to the same bytes again, and
// that the datagram is at most as large as Message.Size plus membership.MaxNameLength for the cluster name. It also
// asserts that unknown fields, such as those of a newer peer, are ignored, and that a datagram of another cluster is
// rejected.
func TestDatagramRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		b, err := Encode("dala", m)
		if err != nil {
			t.Fatal(err)
		}
		if len(b) > m.Size()+membership.MaxNameLength {
			t.Fatalf("got a datagram of %d bytes, want at most Size() = %d plus membership.MaxNameLength for the cluster name", len(b), m.Size())
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
			t.Fatalf("after encoding and decoding: got %+v, want %+v", got, m)
		}
		if _, err := Decode("other", b); !errors.Is(err, ErrOtherCluster) {
			t.Fatalf("datagram of another cluster: got error %v, want %v", err, ErrOtherCluster)
		}
	})
}

// TestDatagramOfLaterVersion asserts that a datagram that needs a later protocol version is rejected.
func TestDatagramOfLaterVersion(t *testing.T) {
	b, err := proto.Marshal(&peerpb.Datagram{Cluster: "dala", Version: MaxVersion + 1, Kind: 1, To: "n1"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode("dala", b); !errors.Is(err, ErrNoCommonVersion) {
		t.Errorf("got error %v, want %v", err, ErrNoCommonVersion)
	}
}

// FuzzDatagram asserts for arbitrary bytes that Decode does not panic, and that every message it returns has a valid
// kind, a valid sender name, and no more updates and digests than the protocol allows.
func FuzzDatagram(f *testing.F) {
	sender := membership.Update{Name: "n1", Addr: "127.0.0.1:1"}
	b, err := Encode("dala", &membership.Message{Kind: membership.Ping, To: "n2", Sender: sender})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode("dala", b)
		if err != nil {
			return
		}
		if m.Kind < membership.Ping || m.Kind > membership.PingRequestResult || len(m.Sender.Name) == 0 ||
			len(m.Sender.Name) > membership.MaxNameLength || len(m.Updates) > maxUpdates ||
			len(m.Digests) > membership.DigestBuckets {
			t.Fatalf("Decode returned a message outside the limits: %+v", m)
		}
	})
}
