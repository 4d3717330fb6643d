package dispatch

// This file owns how long before an owner's time is up its answer falls due: long
// enough for the answer to travel and for a turn of the length that turns have, and
// no more answers at once than can be written. It must never put a due time later
// than the owner's, and decides nothing else.

const (
	// responseTravelTime is taken off every wait: an answer travels back before it ends.
	responseTravelTime = 10_000
	// turnHalfLife is in what time half of the longest turn is forgotten.
	turnHalfLife = 1_000_000
	maxTurn      = 250_000
	// bucketLength and dues are the grain and the reach of the counts of answers due. A longer
	// wait is not counted: nothing is known of that time.
	bucketLength = 5_000
	bucketCount  = 4096
	// maxEarly bounds by how much an answer is put earlier for the others.
	maxEarly = 200_000
	// initialCost is what an answer is taken to cost until turns have told, and maxCost
	// what it may be learned to.
	initialCost = 20.0
	maxCost     = 200.0
	// minResponsesForCost is from how many answers a turn tells what one costs.
	minResponsesForCost = 32
	costGain            = 1.0 / 8
)

// pacer counts what falls due when.
type responsePacer struct {
	buckets     [bucketCount]uint16
	firstBucket int64 // the first grain that still counts
	longestTurn float64
	observedAt  int64
	cost        float64 // of an answer, in microseconds
	responded   int     // in this turn
}

// observeTurn takes how long the last turn took.
func (s *responsePacer) observeTurn(now, us int64) {
	if s.cost == 0 {
		s.cost = initialCost
	}
	if s.observedAt > 0 && now > s.observedAt {
		s.longestTurn /= 1 + float64(now-s.observedAt)/turnHalfLife
	}
	s.observedAt = now
	s.longestTurn = max(s.longestTurn, float64(min(us, maxTurn)))
	if s.responded >= minResponsesForCost {
		s.cost += (min(maxCost, float64(us)/float64(s.responded)) - s.cost) * costGain
	}
	s.responded = 0
}

// wakeAt is when the answer falls due of an owner whose time is up then.
func (s *responsePacer) reserve(now, over int64) int64 {
	at := over - responseTravelTime - int64(s.longestTurn)
	grain := at / bucketLength
	for first := now / bucketLength; s.firstBucket < first; s.firstBucket++ {
		if first-s.firstBucket > bucketCount {
			s.buckets, s.firstBucket = [bucketCount]uint16{}, first
			break
		}
		s.buckets[s.firstBucket%bucketCount] = 0
	}
	if grain < s.firstBucket || grain >= s.firstBucket+bucketCount {
		return at
	}
	most := max(1, int(bucketLength/2/max(initialCost/4, s.cost)))
	for g := grain; g >= s.firstBucket && g > grain-maxEarly/bucketLength; g-- {
		if n := &s.buckets[g%bucketCount]; int(*n) < most {
			*n++
			return min(at, (g+1)*bucketLength-1)
		}
	}
	return at
}

// ObserveTurn tells how long the last turn took, from what was ready to what was written.
func (c *Dispatcher) ObserveTurn(us int64) { c.pacer.observeTurn(c.now, us) }
