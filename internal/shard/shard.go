// Package shard assigns the workers of a fleet to the orchestrators that place tasks on them. A hash of a worker's
// name determines its shard among the fixed number of shards of its zone. Each shard is assigned to one orchestrator
// of the zone's region: the one with the highest rendezvous weight among those that do not have their equal share
// (rounded up) of the zone's shards yet. All orchestrators with the same stable view of the cluster compute the same
// assignment without exchanging messages. An orchestrator never takes over workers of another region: a region that is
// cut off continues with its own orchestrators, and those outside it do not dial unreachable workers.
//
// The package has no state and uses no clock and no I/O.
package shard

// This file defines the shard of a worker and the hash on which all assignments are based. The hash must return the
// same values in every version of the program.

import "hash/fnv"

// Count is the number of shards of a zone. Orchestrators and discovery must use the same number. A change would
// reassign all workers.
const Count = 64

// Of returns the shard of a worker in its zone, from 0 to Count-1.
func Of(worker string) int { return int(hash(worker) % Count) }

// hash returns the 64-bit FNV-1a hash of a name, mixed so that similar names have unrelated hashes.
func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash.Hash never returns an error
	return mix(h.Sum64())
}

// mix is one step of the SplitMix64 generator. It maps similar inputs, such as consecutive keys, to unrelated outputs.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
