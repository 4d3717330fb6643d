package membership

// This file owns what members send to each other, and how large it may be.

// Kind is what a message is.
type Kind uint8

// The kinds of messages.
const (
	Ping              Kind = 1 + iota
	Ack                    // answers a Ping
	PingRequest            // asks a relay to ping Target
	PingRequestResult      // answers a PingRequest
)

// Message is one datagram.
type Message struct {
	Kind     Kind
	To       string // the name of the receiver
	Sender   Update // as it is
	Joining  bool   // the sender's name is not agreed yet
	Sequence uint64 // of the Ping or the PingRequest, repeated in the answer
	Target   string // of a PingRequest, repeated in the answer
	// OnBehalfOf and OnBehalfOfSequence name, in a relay's Ping, the member whose probe it serves.
	OnBehalfOf         string
	OnBehalfOfSequence uint64
	// DirectPingReceived says, in the answer to such a Ping, that the Ping of that member's own probe arrived.
	DirectPingReceived bool
	Reached            bool // PingRequestResult: Target answered
	// Digests are, in a Ping, of the sender's table, by bucket: the answer carries only members of the
	// buckets that differ.
	Digests []uint32
	Updates []Update
}

const (
	// MaxDatagramSize is in bytes: a datagram passes any usual network without fragmentation.
	MaxDatagramSize = 1200
	// DigestBuckets is how many digests a Ping has.
	DigestBuckets = 16
	// MaxNameLength bounds names, zones and addresses, in bytes.
	MaxNameLength = 64
	// MaxConfirmations bounds the confirmations of a suspicion in a message.
	MaxConfirmations = 4
)

// size is no less than what the update takes in a datagram, in bytes.
func (u *Update) size() int {
	n := 2 + 2 + len(u.Name) + 2 + len(u.Zone) + 2 + len(u.Addr) + 10 + 11 + 2
	for _, c := range u.Confirmations {
		n += 4 + 2 + len(c.Name) + 2 + len(c.Zone) + 2
	}
	return n
}

// Size is no less than what the message takes, in bytes, without the cluster's name.
func (m *Message) Size() int {
	n := 48 + 4*len(m.Digests) + len(m.To) + len(m.Target) + len(m.OnBehalfOf) + m.Sender.size()
	for i := range m.Updates {
		n += m.Updates[i].size()
	}
	return n
}
