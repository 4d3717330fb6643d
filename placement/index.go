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
func (s fractions) within(limit fractions) bool { return s.cores <= limit.cores && s.memory <= limit.memory }

func (s fractions) smaller(o fractions) fractions { return fractions{min(s.cores, o.cores), min(s.memory, o.memory)} }

// minus is what is left of shares, a bit more than that as to rounding.
func (s fractions) minus(o fractions) fractions {
	return fractions{s.cores - o.cores + roundingSlack, s.memory - o.memory + roundingSlack}
}

// unlimited is over all shares.
var unlimited = fractions{math.Inf(1), math.Inf(1)}

// indexEntry is an indexed machine with what is asked of it.
type indexEntry struct {
	worker     *workerInfo
	requested fractions
	calibration  float64 // the machine bears at least this part of what its kind bears
}

// levelOf holds the machines of one kind that are asked for about as much. The first free of
// them are not kept for a held task.
type level struct {
	entries []indexEntry
	unreserved    int
	// No entry has a smaller share than least, nor a smaller bend. A removal leaves them as
	// they are; a scan of the whole level makes them exact again.
	minRequested fractions
	minCalibration  float64
}

// levelSet is a set of levels.
type levelSet [levelCount / 64]uint64

func (s *levelSet) set(level int, in bool) {
	s[level/64] &^= 1 << (level % 64)
	if in {
		s[level/64] |= 1 << (level % 64)
	}
}

// kindLevels are the levels of one kind.
type kindLevels struct {
	levels [levelCount]level
	occupied   levelSet // that have machines
	unreserved   levelSet // that have machines which are not kept
}

// updateSets keeps the sets right after a change of a level.
func (k *kindLevels) updateSets(number int) {
	l := &k.levels[number]
	k.occupied.set(number, len(l.entries) > 0)
	k.unreserved.set(number, l.unreserved > 0)
}

// sum counts the machines, and adds up their asked shares of what they bear.
func (k *kindLevels) sum(bear fractions) (count, asked float64) {
	for i := range k.levels {
		entries := k.levels[i].entries
		count += float64(len(entries))
		for j := range entries {
			a := &entries[j].requested
			asked += max(a.cores/bear.cores, a.memory/bear.memory)
		}
	}
	return count, asked
}

// indexPosition is where a machine stands in the index.
type indexPosition struct {
	indexed           bool
	kindIndex, level, entryIndex int
}

// workerIndex is the index of all machines. Its levels are those of the larger of the two
// shares over scale, which is what machines were taken to bear when it was built.
type workerIndex struct {
	kinds   []kindLevels
	scale   fractions
	baseline     fractions     // what machines bear now, over their size
	inverseBaseline fractions     // of now
	stale   []*workerInfo // whose place may have changed since it was last looked at
	finished   []bool     // by kind, while a search runs
}

func newWorkerIndex(kinds int) workerIndex {
	return workerIndex{kinds: make([]kindLevels, kinds), finished: make([]bool, kinds)}
}

func (l *level) swap(i, j int) {
	l.entries[i], l.entries[j] = l.entries[j], l.entries[i]
	l.entries[i].worker.position.entryIndex, l.entries[j].worker.position.entryIndex = i, j
}

func (l *level) add(e indexEntry, kept bool) {
	if len(l.entries) == 0 {
		l.minRequested, l.minCalibration = unlimited, 1
	}
	l.lowerBounds(e)
	l.entries = append(l.entries, e)
	last := len(l.entries) - 1
	e.worker.position.entryIndex = last
	if !kept {
		l.swap(last, l.unreserved)
		l.unreserved++
	}
}

// lowerBounds keeps the bounds below an entry.
func (l *level) lowerBounds(e indexEntry) {
	l.minRequested, l.minCalibration = l.minRequested.smaller(e.requested), min(l.minCalibration, e.calibration)
}

func (l *level) remove(rank int) {
	if rank < l.unreserved {
		l.unreserved--
		l.swap(rank, l.unreserved)
		rank = l.unreserved
	}
	last := len(l.entries) - 1
	l.swap(rank, last)
	l.entries[last] = indexEntry{}
	l.entries = l.entries[:last]
}

// reserve moves a machine behind those that are free, release moves it back.
func (x *workerIndex) reserve(m *workerInfo) {
	if !m.position.indexed {
		return
	}
	l := x.levelOf(m)
	if m.position.entryIndex < l.unreserved {
		l.unreserved--
		l.swap(m.position.entryIndex, l.unreserved)
		x.kinds[m.position.kindIndex].updateSets(m.position.level)
	}
}

func (x *workerIndex) release(m *workerInfo) {
	if !m.position.indexed {
		return
	}
	l := x.levelOf(m)
	if m.position.entryIndex >= l.unreserved {
		l.swap(m.position.entryIndex, l.unreserved)
		l.unreserved++
		x.kinds[m.position.kindIndex].updateSets(m.position.level)
	}
}

func (x *workerIndex) levelOf(m *workerInfo) *level { return &x.kinds[m.position.kindIndex].levels[m.position.level] }

func (x *workerIndex) remove(m *workerInfo) {
	if m.position.indexed {
		x.levelOf(m).remove(m.position.entryIndex)
		x.kinds[m.position.kindIndex].updateSets(m.position.level)
		m.position = indexPosition{}
	}
}

// put gives m the place that its shares have.
func (x *workerIndex) put(m *workerInfo, asked fractions, kept bool) {
	e := indexEntry{m, asked, min(m.coresCalibration, m.memoryCalibration)}
	larger := max(asked.cores/x.scale.cores, asked.memory/x.scale.memory)
	number := 0
	if larger > 0 {
		number = int(min(levelCount-1, larger/levelWidth))
	}
	if m.position.indexed && m.position.kindIndex == m.kindIndex && m.position.level == number {
		l := x.levelOf(m)
		l.entries[m.position.entryIndex] = e
		l.lowerBounds(e)
		return
	}
	x.remove(m)
	m.position = indexPosition{indexed: true, kindIndex: m.kindIndex, level: number}
	x.levelOf(m).add(e, kept)
	x.kinds[m.kindIndex].updateSets(number)
}

// loadLimit bounds what machines of one kind that have room for a task are asked for.
type loadLimit struct {
	max fractions
	// A machine that bears less than bent of what its kind bears may be asked for calibratedMax.
	calibrationBelow     float64
	calibratedMax fractions
}

func (l *loadLimit) admits(asked fractions, bend float64) bool {
	return asked.within(l.max) || bend < l.calibrationBelow && asked.within(l.calibratedMax)
}

// levelWalk is one pass over the index, level by level from the machines that are asked for least.
type levelWalk struct {
	limits   []loadLimit // by kind, or nil
	unreservedOnly bool    // leave out machines that are kept for held tasks
	randomStart   bool    // begin anywhere in levels of more than enumerated machines
	// matters reports whether machines of a kind can still matter that are asked for these
	// shares at least, and for a part floor at least of what they bear.
	matters func(kind int, asked fractions, floor float64) bool
	// visitCandidate looks at one machine, and reports whether to go on.
	visit func(m *workerInfo) bool
}

// walkLevels makes a pass.
func (p *Scheduler) walkLevels(w levelWalk) {
	x := &p.index
	clear(x.finished)
	// Where machines bear more than when the levels were built, shares are less than these say.
	drift := min(x.scale.cores/x.baseline.cores, x.scale.memory/x.baseline.memory)
	for number := x.nextLevel(0, w.unreservedOnly); number < levelCount; number = x.nextLevel(number+1, w.unreservedOnly) {
		floor := max(0, float64(number)*levelWidth*drift-roundingSlack)
		ended := true
		for kind := range x.kinds {
			if x.finished[kind] || !w.matters(kind, fractions{}, floor) {
				x.finished[kind] = true
				continue
			}
			ended = false
			if l := &x.kinds[kind].levels[number]; len(l.entries) > 0 && !p.scanLevel(l, kind, floor, &w) {
				return
			}
		}
		if ended {
			return
		}
	}
}

// nextLevel is the first level from a number on that has machines of any kind, or levelCount.
func (x *workerIndex) nextLevel(from int, freeOnly bool) int {
	for from < levelCount {
		var word uint64
		for kind := range x.kinds {
			k := &x.kinds[kind]
			if freeOnly {
				word |= k.unreserved[from/64]
			} else {
				word |= k.occupied[from/64]
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
func (p *Scheduler) scanLevel(l *level, kind int, floor float64, w *levelWalk) bool {
	within := loadLimit{max: unlimited}
	if w.limits != nil {
		within = w.limits[kind]
	}
	if !within.admits(l.minRequested, l.minCalibration) || !w.matters(kind, l.minRequested, floor) {
		return true
	}
	entries, begin := l.entries, 0
	if w.unreservedOnly {
		entries = entries[:l.unreserved]
	}
	if w.randomStart && len(entries) > maxEnumerated {
		begin = p.random.IntN(len(entries))
	}
	least, bend := unlimited, 1.0
	for _, part := range [2][]indexEntry{entries[begin:], entries[:begin]} {
		for i := range part {
			e := &part[i]
			least, bend = least.smaller(e.requested), min(bend, e.calibration)
			if !within.admits(e.requested, e.calibration) || !w.matters(kind, e.requested, floor) {
				continue
			}
			if !w.visit(e.worker) {
				return false
			}
			if !w.matters(kind, l.minRequested, floor) {
				return true // none of the others can matter any more
			}
		}
	}
	if len(entries) == len(l.entries) {
		l.minRequested, l.minCalibration = least, bend
	}
	return true
}

// markStale notes that what m is asked for, or whether it may be offered tasks, may have changed.
func (p *Scheduler) markStale(m *workerInfo) {
	if !m.stale {
		m.stale = true
		p.index.stale = append(p.index.stale, m)
	}
}

// refreshIndex brings the index up to date with what changed since the last search.
func (p *Scheduler) refreshIndex() {
	x := &p.index
	x.baseline = p.baseline
	x.inverseBaseline = fractions{1 / x.baseline.cores, 1 / x.baseline.memory}
	if drifted(x.baseline.cores, x.scale.cores) || drifted(x.baseline.memory, x.scale.memory) {
		x.scale = x.baseline
		for _, m := range p.sorted {
			p.markStale(m)
		}
	}
	for _, m := range x.stale {
		p.refreshWorker(m)
	}
	x.stale = x.stale[:0]
	if p.ordinalsStale {
		p.ordinalsStale = false
		p.nameHashes = p.nameHashes[:0]
		for i, m := range p.sorted {
			m.ordinal = i
			p.nameHashes = append(p.nameHashes, m.nameHash)
		}
	}
}

func drifted(now, then float64) bool { return math.Abs(now-then) > then*maxScaleDrift }

// refreshWorker computes anew what m is asked for and where it stands in the index.
func (p *Scheduler) refreshWorker(m *workerInfo) {
	if m.countedKind != nil {
		p.requestedCores -= m.requestedCores
		p.listedCapacity.cores -= m.countedKind.Cores
		p.listedCapacity.memory -= m.countedKind.Memory
		m.countedKind = nil
	}
	k := p.kindOf(m)
	if k != nil {
		m.requestedCores, m.requestedMemory = p.requested(m)
	}
	m.stale = false
	if m.listed && !m.foreign && k != nil && p.settings.HasView {
		m.countedKind = k
		p.requestedCores += m.requestedCores
		p.listedCapacity.cores += k.Cores
		p.listedCapacity.memory += k.Memory
	}
	if !m.listed || m.State != Ready || k == nil {
		p.index.remove(m)
		return
	}
	var asked fractions
	if p.settings.HasView {
		asked = fractions{m.requestedCores / k.Cores, m.requestedMemory / k.Memory}
	}
	_, kept := p.reservations[m]
	p.index.put(m, asked, kept)
}

// preferredFor are the machines that come first in the order hashed from a program, among
// which its tasks are spread (see away).
func (p *Scheduler) preferredFor(program uint64) []*workerInfo {
	if first, ok := p.preferred[program]; ok {
		return first
	}
	if len(p.preferred) >= maxPreferredPrograms {
		clear(p.preferred)
	}
	var first []*workerInfo
	mixed := mix(program)
	// Most are told apart by the whole number: a place below programWorkers has a hash over this.
	least := uint64(max(0, 1-1.001*programWorkers/float64(max(1, p.assignedCount()))) * math.MaxUint64)
	for i, id := range p.nameHashes {
		if h := mix(id ^ mixed); h >= least && p.hashedRank(h) < programWorkers && !p.sorted[i].foreign {
			first = append(first, p.sorted[i])
		}
	}
	p.preferred[program] = first
	return first
}

// hashedRank is the place of a machine in the order hashed from a program, from its hash. Of
// machines that are divided among placers, only this one's are counted.
func (p *Scheduler) hashedRank(hash uint64) float64 {
	return (1 - float64(hash)/math.MaxUint64) * float64(p.assignedCount())
}

// reserve keeps m for held tasks of a rank, for this round.
func (p *Scheduler) reserve(m *workerInfo, rank float64) {
	p.reservations[m] = rank
	p.reservedWorkers = append(p.reservedWorkers, m)
	p.index.reserve(m)
}

// clearReservations ends that for all.
func (p *Scheduler) clearReservations() {
	for _, m := range p.reservedWorkers {
		p.index.release(m)
	}
	p.reservedWorkers = p.reservedWorkers[:0]
	clear(p.reservations)
}

// nthByOrdinal returns the machine of the n-th lowest ordinal.
func (p *Scheduler) nthByOrdinal(ms []*workerInfo, n int) (found *workerInfo) {
	if len(ms) == 1 {
		return ms[0]
	}
	for len(p.ordinalBits)*64 < len(p.sorted) {
		p.ordinalBits = append(p.ordinalBits, 0)
	}
	for _, m := range ms {
		p.ordinalBits[m.ordinal/64] |= 1 << (m.ordinal % 64)
	}
	ordinal := nthBit(p.ordinalBits, n)
	for _, m := range ms {
		p.ordinalBits[m.ordinal/64] = 0
		if m.ordinal == ordinal {
			found = m
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
