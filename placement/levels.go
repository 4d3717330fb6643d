package placement

// This file owns the levels of the index. A level holds workers of one kind with about the same
// utilization, computed without calibration. The levels make no decisions.

const (
	// levelWidth is the range of utilization that a level spans. The last level also holds all higher
	// utilizations. levelWidth is less than [costMargin], so that the differences of utilization within
	// one level hardly matter for the cost.
	levelWidth = 1.0 / 64
	levelCount = 128
)

// indexEntry is an indexed worker with the capacity requested of it, as fractions of the size of its
// kind.
type indexEntry struct {
	worker      *workerInfo
	requested   fractions
	calibration float64 // lower bound of the worker's effective capacity, relative to that of its kind
}

// level holds workers of one kind with about the same utilization, computed without calibration. The
// entries of unreserved workers come first, and unreserved is their number.
type level struct {
	entries    []indexEntry
	unreserved int
	// minRequested and minCalibration are lower bounds for all entries. Removing an entry does not
	// change them, and a scan of the whole level makes them exact again.
	minRequested   fractions
	minCalibration float64
}

// swap exchanges two entries and updates the positions of their workers.
func (l *level) swap(i, j int) {
	l.entries[i], l.entries[j] = l.entries[j], l.entries[i]
	l.entries[i].worker.position.entryIndex, l.entries[j].worker.position.entryIndex = i, j
}

// add adds an entry to the reserved or to the unreserved entries.
func (l *level) add(entry indexEntry, reserved bool) {
	if len(l.entries) == 0 {
		l.minRequested, l.minCalibration = unlimited, 1
	}
	l.extendBounds(entry)
	l.entries = append(l.entries, entry)
	last := len(l.entries) - 1
	entry.worker.position.entryIndex = last
	if !reserved {
		l.swap(last, l.unreserved)
		l.unreserved++
	}
}

// extendBounds lowers the bounds as far as an entry requires.
func (l *level) extendBounds(entry indexEntry) {
	l.minRequested = l.minRequested.elementwiseMin(entry.requested)
	l.minCalibration = min(l.minCalibration, entry.calibration)
}

// remove removes an entry. It may move the last unreserved entry and the last entry of the level. All
// other entries keep their positions.
func (l *level) remove(entryIndex int) {
	if entryIndex < l.unreserved {
		l.unreserved--
		l.swap(entryIndex, l.unreserved)
		entryIndex = l.unreserved
	}
	last := len(l.entries) - 1
	l.swap(entryIndex, last)
	l.entries[last] = indexEntry{}
	l.entries = l.entries[:last]
}

// levelSet is a bit set of level numbers.
type levelSet [levelCount / 64]uint64

// set adds a level to the set if member is true, and removes it otherwise.
func (s *levelSet) set(levelNumber int, member bool) {
	s[levelNumber/64] &^= 1 << (levelNumber % 64)
	if member {
		s[levelNumber/64] |= 1 << (levelNumber % 64)
	}
}

// kindLevels holds the levels of one kind.
type kindLevels struct {
	levels     [levelCount]level
	occupied   levelSet // levels that contain workers
	unreserved levelSet // levels that contain workers that are not reserved
}

// updateSets updates the sets after a change of a level.
func (k *kindLevels) updateSets(levelNumber int) {
	l := &k.levels[levelNumber]
	k.occupied.set(levelNumber, len(l.entries) > 0)
	k.unreserved.set(levelNumber, l.unreserved > 0)
}

// sum returns the number of workers, and the sum of their utilizations relative to a baseline of
// effective capacity.
func (k *kindLevels) sum(baseline fractions) (count, utilization float64) {
	for i := range k.levels {
		entries := k.levels[i].entries
		count += float64(len(entries))
		for j := range entries {
			requested := &entries[j].requested
			utilization += max(requested.cores/baseline.cores, requested.memory/baseline.memory)
		}
	}
	return count, utilization
}
