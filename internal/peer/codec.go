package peer

// This file owns the form of messages on the wire, and the bounds of what is taken: a
// message past one is no message. It must never keep bytes that it was handed.

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"ravenhitch/internal/membership"
	"ravenhitch/internal/peer/peerpb"
)

// The versions that this program speaks.
const (
	Lowest  = 1
	Highest = 1
)

const (
	frameMost    = 64 << 10
	rumoursMost  = 64
	featuresMost = 64
)

// The errors of what others send.
var (
	ErrForm    = errors.New("peer: malformed message")
	ErrCluster = errors.New("peer: of another cluster")
	ErrVersion = errors.New("peer: no version in common")
)

func rumourOut(r *membership.Update) *peerpb.Rumour {
	o := &peerpb.Rumour{Name: r.Name, Hall: r.Zone, Address: r.Addr, Life: r.Life, Incarnation: r.Incarnation, State: uint32(r.State)}
	for _, w := range r.Confirmations {
		o.Witnesses = append(o.Witnesses, &peerpb.Witness{Name: w.Name, Hall: w.Zone, Refused: w.Refused})
	}
	return o
}

func rumourIn(r *peerpb.Rumour) (o membership.Update, err error) {
	if !named(r.GetName()) || len(r.GetHall()) > membership.MaxNameLength || r.GetState() > uint32(membership.Left) || len(r.GetWitnesses()) > membership.MaxConfirmations {
		return o, fmt.Errorf("%w: expected a name, a hall, a state and at most %d witnesses, got name %.40q, state %d, %d witnesses",
			ErrForm, membership.MaxConfirmations, r.GetName(), r.GetState(), len(r.GetWitnesses()))
	}
	if _, err := netip.ParseAddrPort(r.GetAddress()); err != nil || len(r.GetAddress()) > membership.MaxNameLength {
		return o, fmt.Errorf("%w: %s: expected address:port, got %.60q", ErrForm, r.GetName(), r.GetAddress())
	}
	o = membership.Update{Name: r.GetName(), Zone: r.GetHall(), Addr: r.GetAddress(), Life: r.GetLife(), Incarnation: r.GetIncarnation(),
		State: membership.State(r.GetState())}
	for _, w := range r.GetWitnesses() {
		if !named(w.GetName()) || len(w.GetHall()) > membership.MaxNameLength {
			return o, fmt.Errorf("%w: %s: expected the name of a witness, got %.40q", ErrForm, r.GetName(), w.GetName())
		}
		o.Confirmations = append(o.Confirmations, membership.Confirmation{Name: w.GetName(), Zone: w.GetHall(), Refused: w.GetRefused()})
	}
	return o, nil
}

func named(s string) bool { return s != "" && len(s) <= membership.MaxNameLength }

// Encode writes a datagram.
func Encode(cluster string, m *membership.Message) ([]byte, error) {
	d := &peerpb.Datagram{Cluster: cluster, Version: Lowest, Kind: uint32(m.Kind), To: m.To, Self: rumourOut(&m.Sender), Joining: m.Joining,
		Seq: m.Sequence, Target: m.Target, For: m.OnBehalfOf, ForSeq: m.OnBehalfOfSequence, Heard: m.DirectPingReceived, Reached: m.Reached, Digests: m.Digests}
	for i := range m.Updates {
		d.Rumours = append(d.Rumours, rumourOut(&m.Updates[i]))
	}
	return proto.Marshal(d)
}

// Decode reads a datagram.
func Decode(cluster string, b []byte) (*membership.Message, error) {
	var d peerpb.Datagram
	if err := proto.Unmarshal(b, &d); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrForm, err)
	}
	if d.GetCluster() != cluster {
		return nil, fmt.Errorf("%w: expected %q, got %.40q from %.40q", ErrCluster, cluster, d.GetCluster(), d.GetSelf().GetName())
	}
	if d.GetVersion() > Highest {
		return nil, fmt.Errorf("%w: %.40q needs version %d, this program speaks %d to %d", ErrVersion, d.GetSelf().GetName(), d.GetVersion(), Lowest, Highest)
	}
	m := &membership.Message{Kind: membership.Kind(d.GetKind()), To: d.GetTo(), Joining: d.GetJoining(), Sequence: d.GetSeq(), Target: d.GetTarget(),
		OnBehalfOf: d.GetFor(), OnBehalfOfSequence: d.GetForSeq(), DirectPingReceived: d.GetHeard(), Reached: d.GetReached(), Digests: d.GetDigests()}
	if d.GetKind() < uint32(membership.Ping) || d.GetKind() > uint32(membership.PingRequestResult) || !named(m.To) || len(m.Target) > membership.MaxNameLength ||
		len(m.OnBehalfOf) > membership.MaxNameLength || len(m.Digests) > membership.DigestBuckets || len(d.GetRumours()) > rumoursMost {
		return nil, fmt.Errorf("%w: a datagram of kind %d to %.40q with %d rumours", ErrForm, d.GetKind(), d.GetTo(), len(d.GetRumours()))
	}
	var err error
	if m.Sender, err = rumourIn(d.GetSelf()); err != nil {
		return nil, err
	}
	for _, r := range d.GetRumours() {
		o, err := rumourIn(r)
		if err != nil {
			return nil, err
		}
		m.Updates = append(m.Updates, o)
	}
	return m, nil
}

// Frame writes a message with its length before it.
func Frame(m proto.Message) ([]byte, error) { return frame(m, frameMost) }

func frame(m proto.Message, most int) ([]byte, error) {
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	if len(b) > most {
		return nil, fmt.Errorf("%w: %d bytes of at most %d", ErrForm, len(b), most)
	}
	return append(binary.AppendUvarint(nil, uint64(len(b))), b...), nil
}

// Unframe finds the first message in b; used is 0 where it has not come whole. What a
// length claims is never set aside: the bytes are waited for as they come.
func Unframe(b []byte) (message []byte, used int, err error) { return unframe(b, frameMost) }

func unframe(b []byte, most uint64) (message []byte, used int, err error) {
	n, k := binary.Uvarint(b)
	switch {
	case k < 0 || k > 0 && n > most || k == 0 && len(b) >= binary.MaxVarintLen64:
		return nil, 0, fmt.Errorf("%w: expected a message of at most %d bytes", ErrForm, most)
	case k == 0 || uint64(len(b)-k) < n:
		return nil, 0, nil
	}
	return b[k : k+int(n)], k + int(n), nil
}

// Greet checks a peer's hello, and agrees on the highest version that both speak.
func Greet(cluster string, b []byte) (h *peerpb.Hello, version uint32, err error) {
	h = &peerpb.Hello{}
	if err := proto.Unmarshal(b, h); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrForm, err)
	}
	if !named(h.GetName()) || len(h.GetFeatures()) > featuresMost {
		return nil, 0, fmt.Errorf("%w: a hello from %.40q with %d features", ErrForm, h.GetName(), len(h.GetFeatures()))
	}
	if h.GetCluster() != cluster {
		return nil, 0, fmt.Errorf("%w: expected %q, got %.40q from %s", ErrCluster, cluster, h.GetCluster(), h.GetName())
	}
	version = min(Highest, h.GetHighest())
	if version < max(Lowest, h.GetLowest()) {
		return nil, 0, fmt.Errorf("%w: %s speaks %d to %d, this program %d to %d", ErrVersion, h.GetName(), h.GetLowest(), h.GetHighest(), Lowest, Highest)
	}
	return h, version, nil
}
