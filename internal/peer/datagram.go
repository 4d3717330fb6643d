package peer

// This file encodes, decodes and validates datagrams. A received datagram in which a name, an address or a list exceeds
// its limit is malformed. The decoder must never retain the bytes passed to it.
//
// This file also maps the names of fields on the wire (hall, life, rumour, witness, heard) to the terms of this
// program. The field life of a hello is mapped in hello.go, handshake.go, stream.go and inbound.go. The names in the
// status report are mapped in status_report.go.

import (
	"fmt"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"ravenhitch/internal/membership"
	"ravenhitch/internal/peer/peerpb"
)

// The range of protocol versions that this program supports.
const (
	MinVersion = 1
	MaxVersion = 1
)

// maxUpdates is the maximum number of updates in a received datagram, not counting the sender's update about itself.
const maxUpdates = 64

// Encode returns m encoded as a datagram for the named cluster.
func Encode(cluster string, m *membership.Message) ([]byte, error) {
	d := &peerpb.Datagram{
		Cluster: cluster,
		Version: MinVersion,
		Kind:    uint32(m.Kind),
		To:      m.To,
		Self:    encodeUpdate(&m.Sender),
		Joining: m.Joining,
		Seq:     m.Sequence,
		Target:  m.Target,
		For:     m.OnBehalfOf,
		ForSeq:  m.OnBehalfOfSequence,
		Heard:   m.DirectPingReceived,
		Reached: m.Reached,
		Digests: m.Digests,
	}
	for i := range m.Updates {
		d.Rumours = append(d.Rumours, encodeUpdate(&m.Updates[i]))
	}
	return proto.Marshal(d)
}

// Decode decodes and validates a datagram, which must be of the named cluster. The errors that Decode returns are of
// type *MessageError.
func Decode(cluster string, b []byte) (*membership.Message, error) {
	var d peerpb.Datagram
	if err := proto.Unmarshal(b, &d); err != nil {
		return nil, &MessageError{Reason: ErrMalformed, Cause: err}
	}
	if err := checkDatagram(cluster, &d); err != nil {
		return nil, err
	}
	m := &membership.Message{
		Kind:               membership.Kind(d.GetKind()),
		To:                 d.GetTo(),
		Joining:            d.GetJoining(),
		Sequence:           d.GetSeq(),
		Target:             d.GetTarget(),
		OnBehalfOf:         d.GetFor(),
		OnBehalfOfSequence: d.GetForSeq(),
		DirectPingReceived: d.GetHeard(),
		Reached:            d.GetReached(),
		Digests:            d.GetDigests(),
	}
	var err error
	if m.Sender, err = decodeUpdate(d.GetSelf()); err != nil {
		return nil, err
	}
	for _, encoded := range d.GetRumours() {
		u, err := decodeUpdate(encoded)
		if err != nil {
			return nil, err
		}
		m.Updates = append(m.Updates, u)
	}
	return m, nil
}

// checkDatagram validates all fields of a datagram except its updates.
func checkDatagram(cluster string, d *peerpb.Datagram) error {
	sender := d.GetSelf().GetName()
	if d.GetCluster() != cluster {
		return otherCluster(cluster, d.GetCluster(), fmt.Sprintf("%.40q", sender))
	}
	if d.GetVersion() > MaxVersion {
		return noCommonVersion("a datagram from %.40q needs version %d, this program supports %d to %d",
			sender, d.GetVersion(), MinVersion, MaxVersion)
	}
	kindKnown := d.GetKind() >= uint32(membership.Ping) && d.GetKind() <= uint32(membership.PingRequestResult)
	namesInBounds := validName(d.GetTo()) &&
		len(d.GetTarget()) <= membership.MaxNameLength && len(d.GetFor()) <= membership.MaxNameLength
	listsInBounds := len(d.GetDigests()) <= membership.DigestBuckets && len(d.GetRumours()) <= maxUpdates
	if !kindKnown || !namesInBounds || !listsInBounds {
		return malformed("invalid datagram: kind %d, to %.40q, %d updates", d.GetKind(), d.GetTo(), len(d.GetRumours()))
	}
	return nil
}

func encodeUpdate(u *membership.Update) *peerpb.Rumour {
	encoded := &peerpb.Rumour{
		Name:        u.Name,
		Hall:        u.Zone,
		Address:     u.Addr,
		Life:        u.Nonce,
		Incarnation: u.Incarnation,
		State:       uint32(u.State),
	}
	for _, c := range u.Confirmations {
		encoded.Witnesses = append(encoded.Witnesses, &peerpb.Witness{Name: c.Name, Hall: c.Zone, Refused: c.Refused})
	}
	return encoded
}

func decodeUpdate(encoded *peerpb.Rumour) (u membership.Update, err error) {
	if !validName(encoded.GetName()) || len(encoded.GetHall()) > membership.MaxNameLength ||
		encoded.GetState() > uint32(membership.Left) || len(encoded.GetWitnesses()) > membership.MaxConfirmations {
		return u, malformed(
			"expected an update with a valid name, zone and state and at most %d confirmations, got name %.40q, state %d, %d confirmations",
			membership.MaxConfirmations, encoded.GetName(), encoded.GetState(), len(encoded.GetWitnesses()))
	}
	_, addressErr := netip.ParseAddrPort(encoded.GetAddress())
	if addressErr != nil || len(encoded.GetAddress()) > membership.MaxNameLength {
		return u, malformed("%s: expected address:port, got %.60q", encoded.GetName(), encoded.GetAddress())
	}
	u = membership.Update{
		Name:        encoded.GetName(),
		Zone:        encoded.GetHall(),
		Addr:        encoded.GetAddress(),
		Nonce:       encoded.GetLife(),
		Incarnation: encoded.GetIncarnation(),
		State:       membership.State(encoded.GetState()),
	}
	for _, w := range encoded.GetWitnesses() {
		if !validName(w.GetName()) || len(w.GetHall()) > membership.MaxNameLength {
			return u, malformed("%s: expected a confirmation with member name and zone, got name %.40q", encoded.GetName(), w.GetName())
		}
		u.Confirmations = append(u.Confirmations, membership.Confirmation{
			Name:    w.GetName(),
			Zone:    w.GetHall(),
			Refused: w.GetRefused(),
		})
	}
	return u, nil
}

// validName reports whether a name is not empty and has at most membership.MaxNameLength bytes.
func validName(name string) bool { return name != "" && len(name) <= membership.MaxNameLength }
