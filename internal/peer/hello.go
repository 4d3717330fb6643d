package peer

// This file owns the hello, which is the first frame of a connection in both directions: who sends it, which
// versions it speaks, and which records follow. It must never take one of another cluster.

import (
	"google.golang.org/protobuf/proto"

	"ravenhitch/internal/peer/peerpb"
)

const (
	// maxHelloFrame bounds a hello, in bytes.
	maxHelloFrame = 64 << 10
	// maxFeatures bounds the features that a hello names.
	maxFeatures = 64
)

// noRecords is the kind in a hello that no records follow.
const noRecords RecordKind = 0

// hello is the frame of this orchestrator's hello, and says which records follow.
func (p *Peers) hello(kind RecordKind) []byte {
	b, err := encodeFrame(&peerpb.Hello{
		Cluster: p.settings.Cluster,
		Name:    p.settings.Name,
		Life:    p.nonce,
		Lowest:  MinVersion,
		Highest: MaxVersion,
		Kind:    uint32(kind),
	}, maxHelloFrame)
	if err != nil { // names are bounded by the settings: this can't happen
		p.log.Error("peer hello not encoded", "err", err)
	}
	return b
}

// CheckHello reads a peer's hello, and agrees on the highest version that both speak. Its errors are
// MessageErrors.
func CheckHello(cluster string, b []byte) (hello *peerpb.Hello, version uint32, err error) {
	hello = &peerpb.Hello{}
	if err := proto.Unmarshal(b, hello); err != nil {
		return nil, 0, &MessageError{Reason: ErrMalformed, Cause: err}
	}
	if !validName(hello.GetName()) || len(hello.GetFeatures()) > maxFeatures {
		return nil, 0, malformed("a hello from %.40q with %d features", hello.GetName(), len(hello.GetFeatures()))
	}
	if hello.GetCluster() != cluster {
		return nil, 0, otherCluster(cluster, hello.GetCluster(), hello.GetName())
	}
	version = min(MaxVersion, hello.GetHighest())
	if version < max(MinVersion, hello.GetLowest()) {
		return nil, 0, noCommonVersion("%s speaks %d to %d, this program %d to %d",
			hello.GetName(), hello.GetLowest(), hello.GetHighest(), MinVersion, MaxVersion)
	}
	return hello, version, nil
}
