package peer

// This file owns the hello, the first frame of a connection in both directions. A hello contains the cluster, the name
// and the incarnation nonce of its sender, the protocol versions that the sender supports, and the kind of records that
// follow. A hello from another cluster must never be accepted.

import (
	"google.golang.org/protobuf/proto"

	"ravenhitch/internal/peer/peerpb"
)

const (
	// maxHelloFrame is the maximum size of the encoded hello in a frame, in bytes.
	maxHelloFrame = 64 << 10
	// maxFeatures is the maximum number of features in a received hello. This program sends no features and ignores
	// those that it receives.
	maxFeatures = 64
)

// noRecords is the record kind in a hello that is not followed by records.
const noRecords RecordKind = 0

// hello returns the frame of this orchestrator's hello. kind is the kind of records that follow it, or noRecords.
func (p *Peers) hello(kind RecordKind) []byte {
	b, err := encodeFrame(&peerpb.Hello{
		Cluster: p.settings.Cluster,
		Name:    p.settings.Name,
		Life:    p.nonce,
		Lowest:  MinVersion,
		Highest: MaxVersion,
		Kind:    uint32(kind),
	}, maxHelloFrame)
	if err != nil { // cannot happen: the settings limit the length of names
		p.log.Error("peer hello not encoded", "err", err)
	}
	return b
}

// CheckHello decodes and validates a peer's hello, which must be from the named cluster. It returns the hello and the
// highest protocol version that both sides support. Its errors are of type *MessageError.
func CheckHello(cluster string, b []byte) (hello *peerpb.Hello, version uint32, err error) {
	hello = &peerpb.Hello{}
	if err := proto.Unmarshal(b, hello); err != nil {
		return nil, 0, &MessageError{Reason: ErrMalformed, Cause: err}
	}
	if !validName(hello.GetName()) || len(hello.GetFeatures()) > maxFeatures {
		return nil, 0, malformed("invalid name or too many features in a hello: name %.40q, %d features",
			hello.GetName(), len(hello.GetFeatures()))
	}
	if hello.GetCluster() != cluster {
		return nil, 0, otherCluster(cluster, hello.GetCluster(), hello.GetName())
	}
	version = min(MaxVersion, hello.GetHighest())
	if version < max(MinVersion, hello.GetLowest()) {
		return nil, 0, noCommonVersion("%s supports versions %d to %d, this program supports %d to %d",
			hello.GetName(), hello.GetLowest(), hello.GetHighest(), MinVersion, MaxVersion)
	}
	return hello, version, nil
}
