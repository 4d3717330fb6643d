package placement

// This file owns the levels of the index: workers of one kind of which about as much is
// requested. It must never decide anything.

const (
	// levelWidth is the utilization that a level spans: less than [costMargin], so that the
	// workers of one level hardly differ in cost.
	levelWidth = 1.0 / 64
	levelCount = 128
)

// indexEntry is an indexed worker with what is requested of it.
type indexEntry struct {
	worker      *workerInfo
	requested   fractions
	calibration float64 // its effective capacity is at least this part of that of its kind
}

// level holds workers of one kind of which about as much is requested. The first of them, as
// many as unreserved says, are not reserved.
type level struct {
	entries    []indexEntry
	unreserved int
	// No entry has less requested than minRequested, nor a smaller calibration than
	// minCalibration. A removal leaves both as they are; a scan of the whole level makes
	// them exact again.
	minRequested   fractions
	minCalibration float64
}

// swap exchanges two entries, and keeps the positions of their workers right.
func (l *level) swap(i, j int) {
	l.entries[i], l.entries[j] = l.entries[j], l.entries[i]
	l.entries[i].worker.position.entryIndex, l.entries[j].worker.position.entryIndex = i, j
}

// add appends an entry, or puts it among the unreserved ones.
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

// extendBounds lowers the bounds to those of an entry, where it is below them.
func (l *level) extendBounds(entry indexEntry) {
	l.minRequested = l.minRequested.smaller(entry.requested)
	l.minCalibration = min(l.minCalibration, entry.calibration)
}

// remove takes an entry out. The last one of its part takes its place, so that nothing else moves.
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

// levelSet is a set of levels.
type levelSet [levelCount / 64]uint64

// set makes a level a member of the set, or takes it out.
func (s *levelSet) set(levelNumber int, member bool) {
	s[levelNumber/64] &^= 1 << (levelNumber % 64)
	if member {
		s[levelNumber/64] |= 1 << (levelNumber % 64)
	}
}

// kindLevels are the levels of one kind.
type kindLevels struct {
	levels     [levelCount]level
	occupied   levelSet // that have workers
	unreserved levelSet // that have workers which are not reserved
}

// updateSets keeps the sets right after a change of a level.
func (k *kindLevels) updateSets(levelNumber int) {
	l := &k.levels[levelNumber]
	k.occupied.set(levelNumber, len(l.entries) > 0)
	k.unreserved.set(levelNumber, l.unreserved > 0)
}

// sum counts the workers, and adds up their utilization of a baseline of effective capacity.
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
