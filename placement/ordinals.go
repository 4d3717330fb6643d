package placement

import "math/bits"

// This file owns the selection of the n-th worker, in the order of the names, from an unordered list
// of workers. It takes linear time, and does not allocate once an ordinalSet has grown to the size of
// the fleet.

// ordinalSet is a bit set of the ordinals of workers (see workerInfo.ordinal). It is empty between
// uses.
type ordinalSet []uint64

// nth returns the worker with the n-th lowest ordinal, counted from 0. n must be below the number of
// workers, and all ordinals must be below limit.
func (o *ordinalSet) nth(workers []*workerInfo, n, limit int) (found *workerInfo) {
	if len(workers) == 1 {
		return workers[0]
	}
	for len(*o)*64 < limit {
		*o = append(*o, 0)
	}
	set := *o
	for _, worker := range workers {
		set[worker.ordinal/64] |= 1 << (worker.ordinal % 64)
	}
	ordinal := nthBit(set, n)
	for _, worker := range workers {
		set[worker.ordinal/64] = 0
		if worker.ordinal == ordinal {
			found = worker
		}
	}
	return found
}

// nthBit returns the position of the n-th set bit, or -1 if at most n bits are set. Positions and n
// are counted from 0.
func nthBit(words []uint64, n int) int {
	for i, word := range words {
		ones := bits.OnesCount64(word)
		if n >= ones {
			n -= ones
			continue
		}
		for range n {
			word &= word - 1
		}
		return i*64 + bits.TrailingZeros64(word)
	}
	return -1
}
