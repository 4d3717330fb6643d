package peer

// This file owns the frames that are sent on connections: each is a message with its length as a varint before
// it. It must never allocate what a length claims before its bytes have come.

import (
	"encoding/binary"

	"google.golang.org/protobuf/proto"
)

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
