package placement

import "math"

// This file owns the order of workers that is hashed from a program: schedulers that share
// nothing meet at its first workers, so that tasks of a program find its code there. It must
// never decide anything.

const (
	// programWorkers is over how many workers the tasks of a program are spread.
	programWorkers = 12.0
	// maxPreferredPrograms is for how many programs the first workers are remembered.
	maxPreferredPrograms = 4096
)

// affinity remembers the first workers in the order hashed from a program.
type affinity struct {
	preferred map[uint64][]*workerInfo // by program
}

func newAffinity() *affinity { return &affinity{preferred: map[uint64][]*workerInfo{}} }

// clear forgets everything, as workers came or went.
func (a *affinity) clear() { clear(a.preferred) }

// workersFor returns the first workers for a program. They are taken from workers, whose name
// hashes are given, of which some are assigned to this scheduler.
func (a *affinity) workersFor(
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
	// Most are excluded by comparing whole numbers: a rank below programWorkers has a hash over this.
	minHash := uint64(max(0, 1-1.001*programWorkers/float64(max(1, assigned))) * math.MaxUint64)
	for i := nextHash(nameHashes, 0, programHash, minHash); i < len(nameHashes); {
		rank := hashedRank(mix(nameHashes[i]^programHash), assigned)
		if rank < programWorkers && !workers[i].foreign {
			preferred = append(preferred, workers[i])
		}
		i = nextHash(nameHashes, i+1, programHash, minHash)
	}
	a.preferred[program] = preferred
	return preferred
}

// nextHash returns the first index, from one on, at which the hash of a name and a program is
// minHash or more, or the number of names. It is a function of its own so that its loop is small:
// it looks at all workers.
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

// hashedRank is the place of a worker in the order hashed from a program, from the hash of
// both. Only the workers assigned to this scheduler are counted.
func hashedRank(hash uint64, assigned int) float64 {
	return (1 - float64(hash)/math.MaxUint64) * float64(assigned)
}
