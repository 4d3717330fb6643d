package dispatch

// This file owns how long before a client's timeout its response is scheduled: long enough for the
// response to travel and for a turn of the length that turns have, and no more responses at once than
// can be written. It must never put a deadline later than the client's, and decides nothing else.

const (
	// responseTravelTime is taken off every timeout: a response travels back before it ends.
	responseTravelTime = 10 * millisecond
	// turnDecayTime is in what time the longest turn counts for half as much, and maxTurnLength the
	// longest turn that is taken into account.
	turnDecayTime = 1 * second
	maxTurnLength = 250 * millisecond
	// bucketLength and bucketCount are the grain and the reach of the counts of scheduled responses. A
	// longer timeout is not counted: nothing is known of that time.
	bucketLength = 5 * millisecond
	bucketCount  = 4096
	// maxShift bounds by how much a response is scheduled earlier for the sake of others.
	maxShift = 200 * millisecond
	// initialResponseCost is what a response is taken to cost until turns have shown it, and maxResponseCost
	// what it may be learned to cost, in microseconds.
	initialResponseCost = 20.0
	maxResponseCost     = 200.0
	// minResponseCost bounds the cost that the number of responses in a bucket follows, in microseconds.
	minResponseCost = initialResponseCost / 4
	// minResponsesForCost is from how many responses on a turn shows what one costs.
	minResponsesForCost = 32
	// responseCostGain is the weight of one turn in the learned cost.
	responseCostGain = 1.0 / 8
)

// responsePacer counts the responses that are scheduled. Where too many fall into one bucket, the
// others are scheduled in the buckets before it.
type responsePacer struct {
	buckets      [bucketCount]uint16 // responses scheduled, a ring over bucketLength each
	firstBucket  int64               // the first that still counts
	longestTurn  float64             // in microseconds, decaying
	observedAt   int64
	responseCost float64 // of a response, in microseconds
	responded    int     // responses in this turn
}

// observeTurn takes how long the last turn took.
func (p *responsePacer) observeTurn(now, us int64) {
	if p.responseCost == 0 {
		p.responseCost = initialResponseCost
	}
	if p.observedAt > 0 && now > p.observedAt {
		p.longestTurn /= 1 + float64(now-p.observedAt)/turnDecayTime
	}
	p.observedAt = now
	p.longestTurn = max(p.longestTurn, float64(min(us, maxTurnLength)))
	if p.responded >= minResponsesForCost {
		observed := min(maxResponseCost, float64(us)/float64(p.responded))
		p.responseCost += (observed - p.responseCost) * responseCostGain
	}
	p.responded = 0
}

// scheduleResponse returns when the response to a client whose timeout ends at timeoutAt is to be sent,
// and counts it.
func (p *responsePacer) scheduleResponse(now, timeoutAt int64) int64 {
	at := timeoutAt - responseTravelTime - int64(p.longestTurn)
	p.dropPast(now)
	bucket := at / bucketLength
	if bucket < p.firstBucket || bucket >= p.firstBucket+bucketCount {
		return at
	}
	capacity := p.bucketCapacity()
	earliest := max(p.firstBucket, bucket-maxShift/bucketLength+1)
	for b := bucket; b >= earliest; b-- {
		if count := &p.buckets[b%bucketCount]; int(*count) < capacity {
			*count++
			return min(at, (b+1)*bucketLength-1)
		}
	}
	return at
}

// dropPast forgets the buckets before now.
func (p *responsePacer) dropPast(now int64) {
	first := now / bucketLength
	if first-p.firstBucket > bucketCount {
		p.buckets, p.firstBucket = [bucketCount]uint16{}, first
		return
	}
	for ; p.firstBucket < first; p.firstBucket++ {
		p.buckets[p.firstBucket%bucketCount] = 0
	}
}

// bucketCapacity is how many responses may be scheduled in one bucket: as many as half of its time is
// enough to write.
func (p *responsePacer) bucketCapacity() int {
	return max(1, int(bucketLength/2/max(minResponseCost, p.responseCost)))
}
