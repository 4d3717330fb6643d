package placement

import "math"

// This file computes the preferred workers of a program by rendezvous hashing: the workers are ordered
// by a hash of the program and the worker's name, and the first ones are preferred. Schedulers that
// offer tasks to the same workers therefore agree on the preferred workers without sharing state, and
// the program's code is likely to be resident on these workers. This file must not make decisions.

const (
	// preferredWorkerCount is the approximate number of preferred workers of a program. It is not exact,
	// because the ranks are estimated from hashes (see hashedRank).
	preferredWorkerCount = 12.0
	// maxPreferredPrograms is the maximum number of programs whose preferred workers are cached.
	maxPreferredPrograms = 4096
)

// affinity caches the preferred workers of programs.
type affinity struct {
	preferred map[uint64][]*workerInfo // preferred workers by program
}

func newAffinity() *affinity { return &affinity{preferred: map[uint64][]*workerInfo{}} }

// clear empties the cache. It must be called when workers are added, removed or reassigned.
func (a *affinity) clear() { clear(a.preferred) }

// preferredWorkers returns the preferred workers of a program. It chooses them among the given workers
// that are not foreign. nameHashes holds the hashes of the workers' names in the same order. assigned
// is the number of workers that are assigned to this scheduler.
func (a *affinity) preferredWorkers(
	program uint64, workers []*workerInfo, nameHashes []uint64, assigned int,
) []*workerInfo {
	if preferred, ok := a.preferred[program]; ok {
		return preferred
	}
	if len(a.preferred) >= maxPreferredPrograms {
		clear(a.preferred)
	}
	var preferred []*workerInfo
	programHash := mix(program)
	// A rank below preferredWorkerCount requires a hash of at least minHash. The rank is therefore
	// computed only for the few workers that pass an integer comparison of their hash with minHash.
	minHash := uint64(max(0, 1-1.001*preferredWorkerCount/float64(max(1, assigned))) * math.MaxUint64)
	for i := nextHash(nameHashes, 0, programHash, minHash); i < len(nameHashes); {
		rank := hashedRank(mix(nameHashes[i]^programHash), assigned)
		if rank < preferredWorkerCount && !workers[i].foreign {
			preferred = append(preferred, workers[i])
		}
		i = nextHash(nameHashes, i+1, programHash, minHash)
	}
	a.preferred[program] = preferred
	return preferred
}

// nextHash returns the first index, starting at from, at which the hash of a name and a program is at
// least minHash, or len(nameHashes) if there is none. It is a separate function that is not inlined,
// to keep the loop small, as the loop runs over all workers.
//
//go:noinline
func nextHash(nameHashes []uint64, from int, programHash, minHash uint64) int {
	for i := from; i < len(nameHashes); i++ {
		if mix(nameHashes[i]^programHash) >= minHash {
			return i
		}
	}
	return len(nameHashes)
}

// hashedRank estimates the rank of a worker among the workers that are assigned to this scheduler. The
// workers are ranked from 0, in descending order of a hash of the program and the worker's name. hash is
// this hash for the given worker, and assigned is the number of assigned workers.
func hashedRank(hash uint64, assigned int) float64 {
	return (1 - float64(hash)/math.MaxUint64) * float64(assigned)
}
