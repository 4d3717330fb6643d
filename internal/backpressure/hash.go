package backpressure

// This file implements the hash of keys, programs and connections. The hash must never
// change, because it determines which keys, which programs and which connections share a
// bucket.

// hashBuckets is the number of buckets in which programs and connections are counted.
const hashBuckets = 256

// hash returns the output of SplitMix64 for the state x. It distributes keys evenly even if
// they are numbered sequentially.
func hash(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// hashBucket returns the bucket of a program or connection.
func hashBucket(id uint64) int { return int(hash(id) % hashBuckets) }
