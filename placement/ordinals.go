package placement

import "math/bits"

// This file owns the selection of the n-th of some workers by name, in linear time. It must
// never allocate in the long run.

// ordinalSet is a set of ordinals of workers, empty between uses.
type ordinalSet []uint64

// nth returns the worker of the n-th lowest ordinal. All ordinals are below a limit.
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

// nthBit is the number of the n-th bit that is set.
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
