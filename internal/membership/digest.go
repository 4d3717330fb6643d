package membership

// This file computes the digests of the table. Each member belongs to a bucket, which is determined by a hash of the
// member's name. A ping carries a digest of each bucket. The answer carries pages (parts of the answering member's
// table, see packPage) only if digests differ, and the pages contain only members of the differing buckets. A digest
// covers the names, nonces and incarnations of the members that are alive or suspected, including the local one. A
// change of a member from alive to suspected or back does not change the digest.

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// digestBucket returns the index of the bucket to which the member with the given name belongs.
func digestBucket(name string) int { return int(xxhash.Sum64String(name) % DigestBuckets) }

// toggleDigest adds a member to the digest of its bucket, or removes it if the digest contains it.
func (t *Table) toggleDigest(u *Update) {
	h := fingerprint(u)
	t.digests[digestBucket(u.Name)] ^= uint32(h ^ h>>32)
}

// differingBuckets returns a bit mask of the buckets whose digests in a ping differ from the local digests. Buckets
// without a digest in the ping count as equal.
func (t *Table) differingBuckets(ping *Message) (buckets uint32) {
	for i, digest := range ping.Digests {
		if i < DigestBuckets && digest != t.digests[i] {
			buckets |= 1 << i
		}
	}
	return buckets
}

// fingerprint returns the contribution of a member to a digest, 0 if the member is dead or has left. Two tables whose
// alive and suspected members have the same names, nonces and incarnations have the same digests, whatever the order
// in which the tables received the updates.
func fingerprint(u *Update) uint64 {
	if u.State > Suspect {
		return 0
	}
	var b [MaxNameLength + 16]byte
	n := binary.PutUvarint(b[:], u.Incarnation)
	text := append(binary.LittleEndian.AppendUint64(b[:n], u.Nonce), u.Name...)
	return xxhash.Sum64(text)
}
