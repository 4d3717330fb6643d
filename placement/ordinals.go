package placement

import "math/bits"

// This file owns the selection of the n-th worker by name from a list of workers, in linear time.
// It does not allocate once an ordinalSet has grown to the size of the fleet.

// ordinalSet is a bit set of ordinals of workers. It is empty between uses.
type ordinalSet []uint64

// nth returns the worker with the n-th lowest ordinal, counted from 0. All ordinals must be below
// limit.
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

// nthBit returns the number of the n-th set bit, both counted from 0, or -1 if fewer bits are set.
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
