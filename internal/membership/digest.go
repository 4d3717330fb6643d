package membership

// This file owns the digests of the table: members fall into buckets by a hash of their names, and a ping
// carries a digest of each bucket, so that the answer need only carry what differs. Names, nonces and
// incarnations are digested; suspicions are not.

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// digestBucket is where a name falls.
func digestBucket(name string) int { return int(xxhash.Sum64String(name) % DigestBuckets) }

// toggleDigest puts a member into the digest of its bucket, or takes it out again.
func (t *Table) toggleDigest(u *Update) {
	h := fingerprint(u)
	t.digests[digestBucket(u.Name)] ^= uint32(h ^ h>>32)
}

// differingBuckets are the buckets, a bit each, in which the table of a ping's sender differs.
func (t *Table) differingBuckets(ping *Message) (buckets uint32) {
	for i, digest := range ping.Digests {
		if i < DigestBuckets && digest != t.digests[i] {
			buckets |= 1 << i
		}
	}
	return buckets
}

// fingerprint is what a member adds to a digest: two tables of the same members, nonces and incarnations have
// the same digests, in whatever order they learned of them.
func fingerprint(u *Update) uint64 {
	if u.State > Suspect {
		return 0
	}
	var b [MaxNameLength + 16]byte
	n := binary.PutUvarint(b[:], u.Incarnation)
	text := append(binary.LittleEndian.AppendUint64(b[:n], u.Nonce), u.Name...)
	return xxhash.Sum64(text)
}
