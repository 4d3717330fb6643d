// Package shard assigns the workers of a fleet to the orchestrators that place tasks there. The workers
// of a zone fall into a fixed number of shards by a hash of their names, and each shard is assigned to one
// member of the zone's region: the one of the highest rendezvous weight that has capacity left for a shard
// of that zone. All members that hold the same stable view reach the same assignment without a message
// between them. A member never takes over the workers of another region: a region that is cut off goes on
// with its own, and nobody outside dials what cannot be reached.
//
// The package is pure: no clock, no I/O, no state.
package shard

// This file owns which shard a worker is in, and the hash that all assignments rest on: it must give the same
// numbers in every version of the program.

import "hash/fnv"

// Count is the number of shards of a zone. Orchestrators and discovery agree on it: another number would
// assign all workers anew.
const Count = 64

// Of is the shard of a worker in its zone, from 0 to Count-1.
func Of(worker string) int { return int(hash(worker) % Count) }

// hash is the hash of a name.
func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash.Hash never returns an error
	return mix(h.Sum64())
}

// mix is the finalizer of SplitMix64: close inputs, as the names of a fleet are, lead to unrelated
// outputs.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
