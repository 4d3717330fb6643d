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
	// enumerated is up to how many candidates a search looks at each of them. Of more, which
	// then are near-equals by the hundred, it draws where to begin.
	enumerated = 512
	// preferredKept is for how many programs the machines that come first are remembered.
	preferredKept = 4096
	// scaleDrift is by how much what machines bear may change before all levels are built anew.
	scaleDrift = 0.05
	// rounding is more than two ways to compute one share can differ.
	rounding = 1e-9
)

// shares are cores and memory, as parts of what a kind has.
type shares struct{ cores, memory float64 }

// within reports whether neither share is over that of a limit.
func (s shares) within(limit shares) bool { return s.cores <= limit.cores && s.memory <= limit.memory }

func (s shares) least(o shares) shares { return shares{min(s.cores, o.cores), min(s.memory, o.memory)} }

// less is what is left of shares, a bit more than that as to rounding.
func (s shares) less(o shares) shares {
	return shares{s.cores - o.cores + rounding, s.memory - o.memory + rounding}
}

// noLimit is over all shares.
var noLimit = shares{math.Inf(1), math.Inf(1)}

// indexEntry is an indexed machine with what is asked of it.
type indexEntry struct {
	m     *machine
	asked shares
	bend  float64 // the machine bears at least this part of what its kind bears
}

// level holds the machines of one kind that are asked for about as much. The first free of
// them are not kept for a held task.
type level struct {
	entries []indexEntry
	free    int
	// No entry has a smaller share than least, nor a smaller bend. A removal leaves them as
	// they are; a scan of the whole level makes them exact again.
	least shares
	bend  float64
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
	used   levelSet // that have machines
	free   levelSet // that have machines which are not kept
}

// note keeps the sets right after a change of a level.
func (k *kindLevels) note(number int) {
	l := &k.levels[number]
	k.used.set(number, len(l.entries) > 0)
	k.free.set(number, l.free > 0)
}

// sum counts the machines, and adds up their asked shares of what they bear.
func (k *kindLevels) sum(bear shares) (count, asked float64) {
	for i := range k.levels {
		entries := k.levels[i].entries
		count += float64(len(entries))
		for j := range entries {
			a := &entries[j].asked
			asked += max(a.cores/bear.cores, a.memory/bear.memory)
		}
	}
	return count, asked
}

// slot is where a machine stands in the index.
type slot struct {
	indexed           bool
	kind, level, rank int
}

// fleetIndex is the index of all machines. Its levels are those of the larger of the two
// shares over scale, which is what machines were taken to bear when it was built.
type fleetIndex struct {
	kinds   []kindLevels
	scale   shares
	now     shares     // what machines bear now, over their size
	inverse shares     // of now
	stale   []*machine // whose place may have changed since it was last looked at
	ended   []bool     // by kind, while a search runs
}

func newFleetIndex(kinds int) fleetIndex {
	return fleetIndex{kinds: make([]kindLevels, kinds), ended: make([]bool, kinds)}
}

func (l *level) swap(i, j int) {
	l.entries[i], l.entries[j] = l.entries[j], l.entries[i]
	l.entries[i].m.slot.rank, l.entries[j].m.slot.rank = i, j
}

func (l *level) add(e indexEntry, kept bool) {
	if len(l.entries) == 0 {
		l.least, l.bend = noLimit, 1
	}
	l.lower(e)
	l.entries = append(l.entries, e)
	last := len(l.entries) - 1
	e.m.slot.rank = last
	if !kept {
		l.swap(last, l.free)
		l.free++
	}
}

// lower keeps the bounds below an entry.
func (l *level) lower(e indexEntry) {
	l.least, l.bend = l.least.least(e.asked), min(l.bend, e.bend)
}

func (l *level) remove(rank int) {
	if rank < l.free {
		l.free--
		l.swap(rank, l.free)
		rank = l.free
	}
	last := len(l.entries) - 1
	l.swap(rank, last)
	l.entries[last] = indexEntry{}
	l.entries = l.entries[:last]
}

// keep moves a machine behind those that are free, release moves it back.
func (x *fleetIndex) keep(m *machine) {
	if !m.slot.indexed {
		return
	}
	l := x.level(m)
	if m.slot.rank < l.free {
		l.free--
		l.swap(m.slot.rank, l.free)
		x.kinds[m.slot.kind].note(m.slot.level)
	}
}

func (x *fleetIndex) release(m *machine) {
	if !m.slot.indexed {
		return
	}
	l := x.level(m)
	if m.slot.rank >= l.free {
		l.swap(m.slot.rank, l.free)
		l.free++
		x.kinds[m.slot.kind].note(m.slot.level)
	}
}

func (x *fleetIndex) level(m *machine) *level { return &x.kinds[m.slot.kind].levels[m.slot.level] }

func (x *fleetIndex) remove(m *machine) {
	if m.slot.indexed {
		x.level(m).remove(m.slot.rank)
		x.kinds[m.slot.kind].note(m.slot.level)
		m.slot = slot{}
	}
}

// put gives m the place that its shares have.
func (x *fleetIndex) put(m *machine, asked shares, kept bool) {
	e := indexEntry{m, asked, min(m.bendC, m.bendM)}
	larger := max(asked.cores/x.scale.cores, asked.memory/x.scale.memory)
	number := 0
	if larger > 0 {
		number = int(min(levelCount-1, larger/levelWidth))
	}
	if m.slot.indexed && m.slot.kind == m.kind && m.slot.level == number {
		l := x.level(m)
		l.entries[m.slot.rank] = e
		l.lower(e)
		return
	}
	x.remove(m)
	m.slot = slot{indexed: true, kind: m.kind, level: number}
	x.level(m).add(e, kept)
	x.kinds[m.kind].note(number)
}

// limit bounds what machines of one kind that have room for a task are asked for.
type limit struct {
	most shares
	// A machine that bears less than bent of what its kind bears may be asked for bentMost.
	bent     float64
	bentMost shares
}

func (l *limit) admits(asked shares, bend float64) bool {
	return asked.within(l.most) || bend < l.bent && asked.within(l.bentMost)
}

// walk is one pass over the index, level by level from the machines that are asked for least.
type walk struct {
	limits   []limit // by kind, or nil
	freeOnly bool    // leave out machines that are kept for held tasks
	sample   bool    // begin anywhere in levels of more than enumerated machines
	// matters reports whether machines of a kind can still matter that are asked for these
	// shares at least, and for a part floor at least of what they bear.
	matters func(kind int, asked shares, floor float64) bool
	// visit looks at one machine, and reports whether to go on.
	visit func(m *machine) bool
}

// ascend makes a pass.
func (p *Scheduler) ascend(w walk) {
	x := &p.index
	clear(x.ended)
	// Where machines bear more than when the levels were built, shares are less than these say.
	drift := min(x.scale.cores/x.now.cores, x.scale.memory/x.now.memory)
	for number := x.next(0, w.freeOnly); number < levelCount; number = x.next(number+1, w.freeOnly) {
		floor := max(0, float64(number)*levelWidth*drift-rounding)
		ended := true
		for kind := range x.kinds {
			if x.ended[kind] || !w.matters(kind, shares{}, floor) {
				x.ended[kind] = true
				continue
			}
			ended = false
			if l := &x.kinds[kind].levels[number]; len(l.entries) > 0 && !p.scan(l, kind, floor, &w) {
				return
			}
		}
		if ended {
			return
		}
	}
}

// next is the first level from a number on that has machines of any kind, or levelCount.
func (x *fleetIndex) next(from int, freeOnly bool) int {
	for from < levelCount {
		var word uint64
		for kind := range x.kinds {
			k := &x.kinds[kind]
			if freeOnly {
				word |= k.free[from/64]
			} else {
				word |= k.used[from/64]
			}
		}
		if word >>= from % 64; word != 0 {
			return from + bits.TrailingZeros64(word)
		}
		from = (from/64 + 1) * 64
	}
	return levelCount
}

// scan looks at the machines of one level that have room, and reports whether to go on.
func (p *Scheduler) scan(l *level, kind int, floor float64, w *walk) bool {
	within := limit{most: noLimit}
	if w.limits != nil {
		within = w.limits[kind]
	}
	if !within.admits(l.least, l.bend) || !w.matters(kind, l.least, floor) {
		return true
	}
	entries, begin := l.entries, 0
	if w.freeOnly {
		entries = entries[:l.free]
	}
	if w.sample && len(entries) > enumerated {
		begin = p.rng.IntN(len(entries))
	}
	least, bend := noLimit, 1.0
	for _, part := range [2][]indexEntry{entries[begin:], entries[:begin]} {
		for i := range part {
			e := &part[i]
			least, bend = least.least(e.asked), min(bend, e.bend)
			if !within.admits(e.asked, e.bend) || !w.matters(kind, e.asked, floor) {
				continue
			}
			if !w.visit(e.m) {
				return false
			}
			if !w.matters(kind, l.least, floor) {
				return true // none of the others can matter any more
			}
		}
	}
	if len(entries) == len(l.entries) {
		l.least, l.bend = least, bend
	}
	return true
}

// touch notes that what m is asked for, or whether it may be offered tasks, may have changed.
func (p *Scheduler) touch(m *machine) {
	if !m.stale {
		m.stale = true
		p.index.stale = append(p.index.stale, m)
	}
}

// settle brings the index up to date with what changed since the last search.
func (p *Scheduler) settle() {
	x := &p.index
	x.now = p.bearing
	x.inverse = shares{1 / x.now.cores, 1 / x.now.memory}
	if drifted(x.now.cores, x.scale.cores) || drifted(x.now.memory, x.scale.memory) {
		x.scale = x.now
		for _, m := range p.order {
			p.touch(m)
		}
	}
	for _, m := range x.stale {
		p.refresh(m)
	}
	x.stale = x.stale[:0]
	if p.reordered {
		p.reordered = false
		p.ids = p.ids[:0]
		for i, m := range p.order {
			m.ordinal = i
			p.ids = append(p.ids, m.id)
		}
	}
}

func drifted(now, then float64) bool { return math.Abs(now-then) > then*scaleDrift }

// refresh computes anew what m is asked for and where it stands in the index.
func (p *Scheduler) refresh(m *machine) {
	if m.counted != nil {
		p.fleetAsked -= m.askedCores
		p.listedSize.cores -= m.counted.Cores
		p.listedSize.memory -= m.counted.Memory
		m.counted = nil
	}
	k := p.size(m)
	if k != nil {
		m.askedCores, m.askedMemory = p.load(m)
	}
	m.stale = false
	if m.listed && !m.foreign && k != nil && p.s.HasView {
		m.counted = k
		p.fleetAsked += m.askedCores
		p.listedSize.cores += k.Cores
		p.listedSize.memory += k.Memory
	}
	if !m.listed || m.State != Ready || k == nil {
		p.index.remove(m)
		return
	}
	var asked shares
	if p.s.HasView {
		asked = shares{m.askedCores / k.Cores, m.askedMemory / k.Memory}
	}
	_, kept := p.kept[m]
	p.index.put(m, asked, kept)
}

// hashedFirst are the machines that come first in the order hashed from a program, among
// which its tasks are spread (see away).
func (p *Scheduler) hashedFirst(program uint64) []*machine {
	if first, ok := p.preferred[program]; ok {
		return first
	}
	if len(p.preferred) >= preferredKept {
		clear(p.preferred)
	}
	var first []*machine
	mixed := mix(program)
	// Most are told apart by the whole number: a place below awayOver has a hash over this.
	least := uint64(max(0, 1-1.001*awayOver/float64(max(1, p.own()))) * math.MaxUint64)
	for i, id := range p.ids {
		if h := mix(id ^ mixed); h >= least && p.hashedPlace(h) < awayOver && !p.order[i].foreign {
			first = append(first, p.order[i])
		}
	}
	p.preferred[program] = first
	return first
}

// hashedPlace is the place of a machine in the order hashed from a program, from its hash. Of
// machines that are divided among placers, only this one's are counted.
func (p *Scheduler) hashedPlace(hash uint64) float64 {
	return (1 - float64(hash)/math.MaxUint64) * float64(p.own())
}

// keepMachine keeps m for held tasks of a rank, for this round.
func (p *Scheduler) keepMachine(m *machine, rank float64) {
	p.kept[m] = rank
	p.keptNow = append(p.keptNow, m)
	p.index.keep(m)
}

// keepNone ends that for all.
func (p *Scheduler) keepNone() {
	for _, m := range p.keptNow {
		p.index.release(m)
	}
	p.keptNow = p.keptNow[:0]
	clear(p.kept)
}

// nth returns the machine of the n-th lowest ordinal.
func (p *Scheduler) nth(ms []*machine, n int) (found *machine) {
	if len(ms) == 1 {
		return ms[0]
	}
	for len(p.marks)*64 < len(p.order) {
		p.marks = append(p.marks, 0)
	}
	for _, m := range ms {
		p.marks[m.ordinal/64] |= 1 << (m.ordinal % 64)
	}
	ordinal := nthBit(p.marks, n)
	for _, m := range ms {
		p.marks[m.ordinal/64] = 0
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
