package placement

// This file is the index of the machines that may be offered tasks: by kind, and by how much
// of a kind's size is asked of each. It is kept as events change machines, so that a search
// looks at the few machines that can be chosen and not at all of them. It decides nothing:
// what it leaves out could not have been chosen.

import (
	"math"
	"math/bits"
)

const (
	// levelWidth is the asked share that a level spans: less than [margin], so that the
	// machines of one level hardly differ in cost.
	levelWidth = 1.0 / 64
	levelCount = 128
	// maxEnumerated is up to how many candidates a search looks at each of them. Of more, which
	// then are near-equals by the hundred, it draws where to begin.
	maxEnumerated = 512
	// maxPreferredPrograms is for how many programs the machines that come first are remembered.
	maxPreferredPrograms = 4096
	// maxScaleDrift is by how much what machines bear may change before all levels are built anew.
	maxScaleDrift = 0.05
	// roundingSlack is more than two ways to compute one share can differ.
	roundingSlack = 1e-9
)

// fractions are cores and memory, as parts of what a kind has.
type fractions struct{ cores, memory float64 }

// inRange reports whether neither share is over that of a limit.
func (s fractions) within(limit fractions) bool {
	return s.cores <= limit.cores && s.memory <= limit.memory
}

func (s fractions) smaller(o fractions) fractions {
	return fractions{min(s.cores, o.cores), min(s.memory, o.memory)}
}

// minus is what is left of shares, a bit more than that as to rounding.
func (s fractions) minus(o fractions) fractions {
	return fractions{s.cores - o.cores + roundingSlack, s.memory - o.memory + roundingSlack}
}

// unlimited is over all shares.
var unlimited = fractions{math.Inf(1), math.Inf(1)}

// indexEntry is an indexed machine with what is asked of it.
type indexEntry struct {
	worker      *workerInfo
	requested   fractions
	calibration float64 // the machine bears at least this part of what its kind bears
}

// levelOf holds the machines of one kind that are asked for about as much. The first free of
// them are not kept for a held task.
type level struct {
	entries    []indexEntry
	unreserved int
	// No entry has a smaller share than least, nor a smaller bend. A removal leaves them as
	// they are; a scan of the whole level makes them exact again.
	minRequested   fractions
	minCalibration float64
}

// levelSet is a set of levels.
type levelSet [levelCount / 64]uint64

func (s *levelSet) set(level int, member bool) {
	s[level/64] &^= 1 << (level % 64)
	if member {
		s[level/64] |= 1 << (level % 64)
	}
}

// kindLevels are the levels of one kind.
type kindLevels struct {
	levels     [levelCount]level
	occupied   levelSet // that have machines
	unreserved levelSet // that have machines which are not kept
}

// updateSets keeps the sets right after a change of a level.
func (k *kindLevels) updateSets(levelNumber int) {
	level := &k.levels[levelNumber]
	k.occupied.set(levelNumber, len(level.entries) > 0)
	k.unreserved.set(levelNumber, level.unreserved > 0)
}

// sum counts the machines, and adds up their asked shares of what they bear.
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

// indexPosition is where a machine stands in the index.
type indexPosition struct {
	indexed                      bool
	kindIndex, level, entryIndex int
}

// workerIndex is the index of all machines. Its levels are those of the larger of the two
// shares over scale, which is what machines were taken to bear when it was built.
type workerIndex struct {
	kinds           []kindLevels
	scale           fractions
	baseline        fractions     // what machines bear now, over their size
	inverseBaseline fractions     // of now
	stale           []*workerInfo // whose place may have changed since it was last looked at
	finished        []bool        // by kind, while a search runs
}

func newWorkerIndex(kinds int) workerIndex {
	return workerIndex{kinds: make([]kindLevels, kinds), finished: make([]bool, kinds)}
}

func (l *level) swap(i, j int) {
	l.entries[i], l.entries[j] = l.entries[j], l.entries[i]
	l.entries[i].worker.position.entryIndex, l.entries[j].worker.position.entryIndex = i, j
}

func (l *level) add(entry indexEntry, reserved bool) {
	if len(l.entries) == 0 {
		l.minRequested, l.minCalibration = unlimited, 1
	}
	l.lowerBounds(entry)
	l.entries = append(l.entries, entry)
	last := len(l.entries) - 1
	entry.worker.position.entryIndex = last
	if !reserved {
		l.swap(last, l.unreserved)
		l.unreserved++
	}
}

// lowerBounds keeps the bounds below an entry.
func (l *level) lowerBounds(entry indexEntry) {
	l.minRequested, l.minCalibration = l.minRequested.smaller(entry.requested), min(l.minCalibration, entry.calibration)
}

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

// reserve moves a machine behind those that are free, release moves it back.
func (x *workerIndex) reserve(worker *workerInfo) {
	if !worker.position.indexed {
		return
	}
	level := x.levelOf(worker)
	if worker.position.entryIndex < level.unreserved {
		level.unreserved--
		level.swap(worker.position.entryIndex, level.unreserved)
		x.kinds[worker.position.kindIndex].updateSets(worker.position.level)
	}
}

func (x *workerIndex) release(worker *workerInfo) {
	if !worker.position.indexed {
		return
	}
	level := x.levelOf(worker)
	if worker.position.entryIndex >= level.unreserved {
		level.swap(worker.position.entryIndex, level.unreserved)
		level.unreserved++
		x.kinds[worker.position.kindIndex].updateSets(worker.position.level)
	}
}

func (x *workerIndex) levelOf(worker *workerInfo) *level {
	return &x.kinds[worker.position.kindIndex].levels[worker.position.level]
}

func (x *workerIndex) remove(worker *workerInfo) {
	if worker.position.indexed {
		x.levelOf(worker).remove(worker.position.entryIndex)
		x.kinds[worker.position.kindIndex].updateSets(worker.position.level)
		worker.position = indexPosition{}
	}
}

// put gives m the place that its shares have.
func (x *workerIndex) put(worker *workerInfo, requested fractions, reserved bool) {
	entry := indexEntry{worker, requested, min(worker.coresCalibration, worker.memoryCalibration)}
	utilization := max(requested.cores/x.scale.cores, requested.memory/x.scale.memory)
	levelNumber := 0
	if utilization > 0 {
		levelNumber = int(min(levelCount-1, utilization/levelWidth))
	}
	if worker.position.indexed && worker.position.kindIndex == worker.kindIndex && worker.position.level == levelNumber {
		level := x.levelOf(worker)
		level.entries[worker.position.entryIndex] = entry
		level.lowerBounds(entry)
		return
	}
	x.remove(worker)
	worker.position = indexPosition{indexed: true, kindIndex: worker.kindIndex, level: levelNumber}
	x.levelOf(worker).add(entry, reserved)
	x.kinds[worker.kindIndex].updateSets(levelNumber)
}

// loadLimit bounds what machines of one kind that have room for a task are asked for.
type loadLimit struct {
	max fractions
	// A machine that bears less than bent of what its kind bears may be asked for calibratedMax.
	calibrationBelow float64
	calibratedMax    fractions
}

func (l *loadLimit) admits(requested fractions, calibration float64) bool {
	return requested.within(l.max) || calibration < l.calibrationBelow && requested.within(l.calibratedMax)
}

// levelWalk is one pass over the index, level by level from the machines that are asked for least.
type levelWalk struct {
	limits         []loadLimit // by kind, or nil
	unreservedOnly bool        // leave out machines that are kept for held tasks
	randomStart    bool        // begin anywhere in levels of more than enumerated machines
	// matters reports whether machines of a kind can still matter that are asked for these
	// shares at least, and for a part floor at least of what they bear.
	matters func(kind int, asked fractions, floor float64) bool
	// visitCandidate looks at one machine, and reports whether to go on.
	visit func(m *workerInfo) bool
}

// walkLevels makes a pass.
func (p *Scheduler) walkLevels(walk levelWalk) {
	index := &p.index
	clear(index.finished)
	// Where machines bear more than when the levels were built, shares are less than these say.
	drift := min(index.scale.cores/index.baseline.cores, index.scale.memory/index.baseline.memory)
	for number := index.nextLevel(0, walk.unreservedOnly); number < levelCount; number = index.nextLevel(number+1, walk.unreservedOnly) {
		floor := max(0, float64(number)*levelWidth*drift-roundingSlack)
		finished := true
		for kindIndex := range index.kinds {
			if index.finished[kindIndex] || !walk.matters(kindIndex, fractions{}, floor) {
				index.finished[kindIndex] = true
				continue
			}
			finished = false
			if level := &index.kinds[kindIndex].levels[number]; len(level.entries) > 0 && !p.scanLevel(level, kindIndex, floor, &walk) {
				return
			}
		}
		if finished {
			return
		}
	}
}

// nextLevel is the first level from a number on that has machines of any kind, or levelCount.
func (x *workerIndex) nextLevel(from int, unreservedOnly bool) int {
	for from < levelCount {
		var word uint64
		for kindIndex := range x.kinds {
			levels := &x.kinds[kindIndex]
			if unreservedOnly {
				word |= levels.unreserved[from/64]
			} else {
				word |= levels.occupied[from/64]
			}
		}
		if word >>= from % 64; word != 0 {
			return from + bits.TrailingZeros64(word)
		}
		from = (from/64 + 1) * 64
	}
	return levelCount
}

// scanLevel looks at the machines of one level that have room, and reports whether to go on.
func (p *Scheduler) scanLevel(level *level, kindIndex int, floor float64, walk *levelWalk) bool {
	limit := loadLimit{max: unlimited}
	if walk.limits != nil {
		limit = walk.limits[kindIndex]
	}
	if !limit.admits(level.minRequested, level.minCalibration) || !walk.matters(kindIndex, level.minRequested, floor) {
		return true
	}
	entries, first := level.entries, 0
	if walk.unreservedOnly {
		entries = entries[:level.unreserved]
	}
	if walk.randomStart && len(entries) > maxEnumerated {
		first = p.random.IntN(len(entries))
	}
	minRequested, calibration := unlimited, 1.0
	for _, part := range [2][]indexEntry{entries[first:], entries[:first]} {
		for i := range part {
			entry := &part[i]
			minRequested, calibration = minRequested.smaller(entry.requested), min(calibration, entry.calibration)
			if !limit.admits(entry.requested, entry.calibration) || !walk.matters(kindIndex, entry.requested, floor) {
				continue
			}
			if !walk.visit(entry.worker) {
				return false
			}
			if !walk.matters(kindIndex, level.minRequested, floor) {
				return true // none of the others can matter any more
			}
		}
	}
	if len(entries) == len(level.entries) {
		level.minRequested, level.minCalibration = minRequested, calibration
	}
	return true
}

// markStale notes that what m is asked for, or whether it may be offered tasks, may have changed.
func (p *Scheduler) markStale(worker *workerInfo) {
	if !worker.stale {
		worker.stale = true
		p.index.stale = append(p.index.stale, worker)
	}
}

// refreshIndex brings the index up to date with what changed since the last search.
func (p *Scheduler) refreshIndex() {
	index := &p.index
	index.baseline = p.baseline
	index.inverseBaseline = fractions{1 / index.baseline.cores, 1 / index.baseline.memory}
	if drifted(index.baseline.cores, index.scale.cores) || drifted(index.baseline.memory, index.scale.memory) {
		index.scale = index.baseline
		for _, worker := range p.sorted {
			p.markStale(worker)
		}
	}
	for _, worker := range index.stale {
		p.refreshWorker(worker)
	}
	index.stale = index.stale[:0]
	if p.ordinalsStale {
		p.ordinalsStale = false
		p.nameHashes = p.nameHashes[:0]
		for ordinal, worker := range p.sorted {
			worker.ordinal = ordinal
			p.nameHashes = append(p.nameHashes, worker.nameHash)
		}
	}
}

func drifted(now, then float64) bool { return math.Abs(now-then) > then*maxScaleDrift }

// refreshWorker computes anew what m is asked for and where it stands in the index.
func (p *Scheduler) refreshWorker(worker *workerInfo) {
	if worker.countedKind != nil {
		p.requestedCores -= worker.requestedCores
		p.listedCapacity.cores -= worker.countedKind.Cores
		p.listedCapacity.memory -= worker.countedKind.Memory
		worker.countedKind = nil
	}
	kind := p.kindOf(worker)
	if kind != nil {
		worker.requestedCores, worker.requestedMemory = p.requested(worker)
	}
	worker.stale = false
	if worker.listed && !worker.foreign && kind != nil && p.settings.HasView {
		worker.countedKind = kind
		p.requestedCores += worker.requestedCores
		p.listedCapacity.cores += kind.Cores
		p.listedCapacity.memory += kind.Memory
	}
	if !worker.listed || worker.State != Ready || kind == nil {
		p.index.remove(worker)
		return
	}
	var requested fractions
	if p.settings.HasView {
		requested = fractions{worker.requestedCores / kind.Cores, worker.requestedMemory / kind.Memory}
	}
	_, reserved := p.reservations[worker]
	p.index.put(worker, requested, reserved)
}

// preferredFor are the machines that come first in the order hashed from a program, among
// which its tasks are spread (see away).
func (p *Scheduler) preferredFor(program uint64) []*workerInfo {
	if preferred, ok := p.preferred[program]; ok {
		return preferred
	}
	if len(p.preferred) >= maxPreferredPrograms {
		clear(p.preferred)
	}
	var preferred []*workerInfo
	programHash := mix(program)
	// Most are told apart by the whole number: a place below programWorkers has a hash over this.
	minHash := uint64(max(0, 1-1.001*programWorkers/float64(max(1, p.assignedCount()))) * math.MaxUint64)
	for i, nameHash := range p.nameHashes {
		if hash := mix(nameHash ^ programHash); hash >= minHash && p.hashedRank(hash) < programWorkers && !p.sorted[i].foreign {
			preferred = append(preferred, p.sorted[i])
		}
	}
	p.preferred[program] = preferred
	return preferred
}

// hashedRank is the place of a machine in the order hashed from a program, from its hash. Of
// machines that are divided among placers, only this one's are counted.
func (p *Scheduler) hashedRank(hash uint64) float64 {
	return (1 - float64(hash)/math.MaxUint64) * float64(p.assignedCount())
}

// reserve keeps m for held tasks of a rank, for this round.
func (p *Scheduler) reserve(worker *workerInfo, priority float64) {
	p.reservations[worker] = priority
	p.reservedWorkers = append(p.reservedWorkers, worker)
	p.index.reserve(worker)
}

// clearReservations ends that for all.
func (p *Scheduler) clearReservations() {
	for _, worker := range p.reservedWorkers {
		p.index.release(worker)
	}
	p.reservedWorkers = p.reservedWorkers[:0]
	clear(p.reservations)
}

// nthByOrdinal returns the machine of the n-th lowest ordinal.
func (p *Scheduler) nthByOrdinal(workers []*workerInfo, n int) (found *workerInfo) {
	if len(workers) == 1 {
		return workers[0]
	}
	for len(p.ordinalBits)*64 < len(p.sorted) {
		p.ordinalBits = append(p.ordinalBits, 0)
	}
	for _, worker := range workers {
		p.ordinalBits[worker.ordinal/64] |= 1 << (worker.ordinal % 64)
	}
	ordinal := nthBit(p.ordinalBits, n)
	for _, worker := range workers {
		p.ordinalBits[worker.ordinal/64] = 0
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
