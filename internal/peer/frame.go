package peer

// This file owns what is sent on connections: frames, each a message with its length as a varint before it,
// and the hello that is the first of them in both directions.

import (
	"encoding/binary"

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
const noRecords Kind = 0

// encodeFrame writes a message of at most limit bytes with its length before it.
func encodeFrame(m proto.Message, limit int) ([]byte, error) {
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	if len(b) > limit {
		return nil, malformed("%d bytes of at most %d", len(b), limit)
	}
	return append(binary.AppendUvarint(nil, uint64(len(b))), b...), nil
}

// decodeFrame finds the first message in b, of at most limit bytes; used is 0 while it is incomplete. The
// length that a frame claims is never allocated: the bytes are waited for as they come.
func decodeFrame(b []byte, limit uint64) (message []byte, used int, err error) {
	length, prefix := binary.Uvarint(b)
	tooLong := prefix > 0 && length > limit
	overflows := prefix < 0 || prefix == 0 && len(b) >= binary.MaxVarintLen64
	switch {
	case tooLong || overflows:
		return nil, 0, malformed("expected a message of at most %d bytes", limit)
	case prefix == 0 || uint64(len(b)-prefix) < length:
		return nil, 0, nil
	}
	used = prefix + int(length)
	return b[prefix:used], used, nil
}

// hello is the frame of this orchestrator's hello, and says which records follow.
func (p *Peers) hello(kind Kind) []byte {
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
