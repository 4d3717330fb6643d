package membership

// This file defines the messages between members and their size limits.

// Kind distinguishes pings, requests to relays, and the answers to both.
type Kind uint8

// The kinds of messages.
const (
	Ping              Kind = 1 + iota
	Ack                    // the answer to a Ping; with sequence number 0, it only carries more updates
	PingRequest            // asks a relay to ping Target
	PingRequestResult      // the answer to a PingRequest
)

// Message is the content of one datagram.
type Message struct {
	Kind     Kind
	To       string // name of the receiver
	Sender   Update // the sender's own update
	Joining  bool   // whether the sender has not joined yet or another process owns its name
	Sequence uint64 // sequence number of the Ping or the PingRequest, repeated in the answer
	Target   string // name of the member to ping, in a PingRequest and its answer
	// OnBehalfOf and OnBehalfOfSequence are set in a Ping from a relay and in the Ack of that Ping. They hold the
	// name of the member that requested the Ping, and the sequence number of this member's own Ping to the target.
	OnBehalfOf         string
	OnBehalfOfSequence uint64
	// DirectPingReceived is used in the Ack of a Ping from a relay and in a PingRequestResult. It is true if the
	// target has received a Ping directly from the requesting member, with the sequence number of the request or a
	// higher one.
	DirectPingReceived bool
	Reached            bool // in a PingRequestResult: whether Target answered
	// Digests holds, in a Ping, the digests of the sender's table by bucket. The answer carries pages, which are
	// parts of the receiver's table, only for buckets whose digests differ.
	Digests []uint32
	Updates []Update
}

const (
	// MaxDatagramSize is the maximum size of a datagram in bytes. Datagrams of this size pass through common
	// networks without fragmentation.
	MaxDatagramSize = 1200
	// DigestBuckets is the number of digests in a Ping.
	DigestBuckets = 16
	// MaxNameLength is the maximum length of a name, a zone or an address in bytes.
	MaxNameLength = 64
	// MaxConfirmations is the maximum number of confirmations of a suspicion in a message.
	MaxConfirmations = 4
)

// size returns an upper bound of the encoded size of the update in bytes.
func (u *Update) size() int {
	n := 2 + 2 + len(u.Name) + 2 + len(u.Zone) + 2 + len(u.Addr) + 10 + 11 + 2
	for _, c := range u.Confirmations {
		n += 4 + 2 + len(c.Name) + 2 + len(c.Zone) + 2
	}
	return n
}

// Size returns an upper bound of the encoded size of the message in bytes, excluding the cluster's name.
func (m *Message) Size() int {
	n := 48 + 4*len(m.Digests) + len(m.To) + len(m.Target) + len(m.OnBehalfOf) + m.Sender.size()
	for i := range m.Updates {
		n += m.Updates[i].size()
	}
	return n
}
