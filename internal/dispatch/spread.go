package dispatch

// This file owns how long before an owner's time is up its answer falls due: long
// enough for the answer to travel and for a turn of the length that turns have, and
// no more answers at once than can be written. It must never put a due time later
// than the owner's, and decides nothing else.

const (
	// travel is taken off every wait: an answer travels back before it ends.
	travel = 10_000
	// turnHalf is in what time half of the longest turn is forgotten.
	turnHalf = 1_000_000
	turnMost = 250_000
	// dueUs and dues are the grain and the reach of the counts of answers due. A longer
	// wait is not counted: nothing is known of that time.
	dueUs    = 5_000
	duesKept = 4096
	// earlyMost bounds by how much an answer is put earlier for the others.
	earlyMost = 200_000
	// costFirst is what an answer is taken to cost until turns have told, and costMost
	// what it may be learned to.
	costFirst = 20.0
	costMost  = 200.0
	// manyAnswers is from how many answers a turn tells what one costs.
	manyAnswers = 32
	costWeight  = 1.0 / 8
)

// spread counts what falls due when.
type spread struct {
	counts   [duesKept]uint16
	base     int64 // the first grain that still counts
	turn     float64
	at       int64
	cost     float64 // of an answer, in microseconds
	answered int     // in this turn
}

// took takes how long the last turn took.
func (s *spread) took(now, us int64) {
	if s.cost == 0 {
		s.cost = costFirst
	}
	if s.at > 0 && now > s.at {
		s.turn /= 1 + float64(now-s.at)/turnHalf
	}
	s.at = now
	s.turn = max(s.turn, float64(min(us, turnMost)))
	if s.answered >= manyAnswers {
		s.cost += (min(costMost, float64(us)/float64(s.answered)) - s.cost) * costWeight
	}
	s.answered = 0
}

// due is when the answer falls due of an owner whose time is up then.
func (s *spread) due(now, over int64) int64 {
	at := over - travel - int64(s.turn)
	grain := at / dueUs
	for first := now / dueUs; s.base < first; s.base++ {
		if first-s.base > duesKept {
			s.counts, s.base = [duesKept]uint16{}, first
			break
		}
		s.counts[s.base%duesKept] = 0
	}
	if grain < s.base || grain >= s.base+duesKept {
		return at
	}
	most := max(1, int(dueUs/2/max(costFirst/4, s.cost)))
	for g := grain; g >= s.base && g > grain-earlyMost/dueUs; g-- {
		if n := &s.counts[g%duesKept]; int(*n) < most {
			*n++
			return min(at, (g+1)*dueUs-1)
		}
	}
	return at
}

// ObserveTurn tells how long the last turn took, from what was ready to what was written.
func (c *Dispatcher) ObserveTurn(us int64) { c.spread.took(c.now, us) }
