package peer

// This file encodes and decodes the frames that are sent on connections. A frame is the length of a message as a
// varint, followed by the message. The decoder must never allocate memory for an announced length before the
// bytes have arrived.

import (
	"encoding/binary"

	"google.golang.org/protobuf/proto"
)

// encodeFrame returns m as a frame. It returns an error if the encoded message is longer than limit bytes.
func encodeFrame(m proto.Message, limit int) ([]byte, error) {
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	if len(b) > limit {
		return nil, malformed("the encoded message has %d bytes, at most %d are allowed", len(b), limit)
	}
	return append(binary.AppendUvarint(nil, uint64(len(b))), b...), nil
}

// decodeFrame returns the first message in b and the number of bytes of its frame, or used = 0 while the frame is
// incomplete. An announced length that exceeds limit or is not a valid varint is an error. The returned message is
// part of b: nothing is allocated for the length that a frame announces.
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
