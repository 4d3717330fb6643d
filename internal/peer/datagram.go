package peer

// This file owns the form of datagrams, and the bounds of what is taken: a message past one is malformed. It
// maps the names of their fields (hall, life, rumour, witness, heard) to the program's terms. The field life of
// a hello is mapped in hello.go and where hellos are checked, the names of the status report in
// status_report.go. It must never keep bytes that it was handed.

import (
	"fmt"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"ravenhitch/internal/membership"
	"ravenhitch/internal/peer/peerpb"
)

// The versions of the protocol that this program speaks.
const (
	MinVersion = 1
	MaxVersion = 1
)

// maxUpdates bounds the updates of a datagram.
const maxUpdates = 64

// Encode writes a datagram.
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

// Decode reads a datagram. Its errors are MessageErrors.
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
	for _, r := range d.GetRumours() {
		u, err := decodeUpdate(r)
		if err != nil {
			return nil, err
		}
		m.Updates = append(m.Updates, u)
	}
	return m, nil
}

// checkDatagram checks all of a datagram but its updates.
func checkDatagram(cluster string, d *peerpb.Datagram) error {
	sender := d.GetSelf().GetName()
	if d.GetCluster() != cluster {
		return otherCluster(cluster, d.GetCluster(), fmt.Sprintf("%.40q", sender))
	}
	if d.GetVersion() > MaxVersion {
		return noCommonVersion("%.40q needs version %d, this program speaks %d to %d",
			sender, d.GetVersion(), MinVersion, MaxVersion)
	}
	kindKnown := d.GetKind() >= uint32(membership.Ping) && d.GetKind() <= uint32(membership.PingRequestResult)
	namesInBounds := validName(d.GetTo()) &&
		len(d.GetTarget()) <= membership.MaxNameLength && len(d.GetFor()) <= membership.MaxNameLength
	listsInBounds := len(d.GetDigests()) <= membership.DigestBuckets && len(d.GetRumours()) <= maxUpdates
	if !kindKnown || !namesInBounds || !listsInBounds {
		return malformed("a datagram of kind %d to %.40q with %d updates", d.GetKind(), d.GetTo(), len(d.GetRumours()))
	}
	return nil
}

func encodeUpdate(u *membership.Update) *peerpb.Rumour {
	r := &peerpb.Rumour{
		Name:        u.Name,
		Hall:        u.Zone,
		Address:     u.Addr,
		Life:        u.Nonce,
		Incarnation: u.Incarnation,
		State:       uint32(u.State),
	}
	for _, c := range u.Confirmations {
		r.Witnesses = append(r.Witnesses, &peerpb.Witness{Name: c.Name, Hall: c.Zone, Refused: c.Refused})
	}
	return r
}

func decodeUpdate(r *peerpb.Rumour) (u membership.Update, err error) {
	if !validName(r.GetName()) || len(r.GetHall()) > membership.MaxNameLength || r.GetState() > uint32(membership.Left) ||
		len(r.GetWitnesses()) > membership.MaxConfirmations {
		return u, malformed(
			"expected a name, a zone, a state and at most %d confirmations, got name %.40q, state %d, %d confirmations",
			membership.MaxConfirmations, r.GetName(), r.GetState(), len(r.GetWitnesses()))
	}
	if _, err := netip.ParseAddrPort(r.GetAddress()); err != nil || len(r.GetAddress()) > membership.MaxNameLength {
		return u, malformed("%s: expected address:port, got %.60q", r.GetName(), r.GetAddress())
	}
	u = membership.Update{
		Name:        r.GetName(),
		Zone:        r.GetHall(),
		Addr:        r.GetAddress(),
		Nonce:       r.GetLife(),
		Incarnation: r.GetIncarnation(),
		State:       membership.State(r.GetState()),
	}
	for _, w := range r.GetWitnesses() {
		if !validName(w.GetName()) || len(w.GetHall()) > membership.MaxNameLength {
			return u, malformed("%s: expected the name of a confirming member, got %.40q", r.GetName(), w.GetName())
		}
		u.Confirmations = append(u.Confirmations, membership.Confirmation{
			Name:    w.GetName(),
			Zone:    w.GetHall(),
			Refused: w.GetRefused(),
		})
	}
	return u, nil
}

// validName reports whether a name is present and within its bound.
func validName(name string) bool { return name != "" && len(name) <= membership.MaxNameLength }
