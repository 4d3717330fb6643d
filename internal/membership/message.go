package membership

// This file owns what instances say to each other, and how large it may be.

// Kind is what a message is.
type Kind uint8

// The messages.
const (
	Ping Kind = 1 + iota
	Ack       // answers a Ping
	PingRequest       // asks another to reach Target
	PingRequestResult      // answers an Ask
)

// Message is one datagram.
type Message struct {
	Kind    Kind
	To      string // the name that it is meant for
	Sender    Update // whoever sends, as it is
	Joining bool   // its name is not agreed yet
	Sequence     uint64 // of the Ping or the Ask, repeated in the answer
	Target  string // Ask, Told
	// OnBehalfOf and OnBehalfOfSequence name, in a Ping on another's behalf, whose probe it serves.
	OnBehalfOf    string
	OnBehalfOfSequence uint64
	// DirectPingReceived says, in the answer to such a Ping, that the other's own Ping came too.
	DirectPingReceived   bool
	Reached bool // Told: Target answered
	// Digests are, in a Ping, of the members that the sender believes in, by the shelf that
	// their names fall on: only shelves that differ are told in the answer.
	Digests []uint32
	Updates []Update
}

const (
	// MaxDatagramSize is the largest datagram: it passes any usual network in one piece.
	MaxDatagramSize = 1200
	// DigestBuckets is how many digests a Ping has.
	DigestBuckets = 16
	// MaxNameLength bounds names, zones and addresses.
	MaxNameLength = 64
	// MaxConfirmations bounds the witnesses that are told.
	MaxConfirmations = 4
)

// size is no less than what the rumour takes in a datagram.
func (r *Update) size() int {
	n := 2 + 2 + len(r.Name) + 2 + len(r.Zone) + 2 + len(r.Addr) + 10 + 11 + 2
	for _, w := range r.Confirmations {
		n += 4 + 2 + len(w.Name) + 2 + len(w.Zone) + 2
	}
	return n
}

// Size is no less than what the message takes, without the cluster's name.
func (m *Message) Size() int {
	n := 48 + 4*len(m.Digests) + len(m.To) + len(m.Target) + len(m.OnBehalfOf) + m.Sender.size()
	for i := range m.Updates {
		n += m.Updates[i].size()
	}
	return n
}
