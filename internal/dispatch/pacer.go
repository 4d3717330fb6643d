package dispatch

// This file computes the deadlines of requests. A request that is still open at its deadline gets its final response
// then: the response is scheduled for the deadline. The deadline is earlier than the end of the client's timeout, by
// at least the length of the longest recent turn plus the time for the response to reach the client. Responses that
// would fall due together are spread over time, because only a limited number can be written at once. A response must
// never be scheduled later than the end of the client's timeout.

const (
	// responseTravelTime is subtracted from every timeout: the response has to arrive before the timeout
	// ends.
	responseTravelTime = 10 * millisecond
	// turnDecayTime is the time after which the recorded longest turn has decayed to half of its length or less. A
	// turn that is longer than the decayed length replaces it.
	turnDecayTime = 1 * second
	// maxTurnLength is the maximum length that is recorded for a turn. A longer turn counts as a turn of this
	// length.
	maxTurnLength = 250 * millisecond
	// bucketLength is the time that one bucket of scheduled responses covers.
	bucketLength = 5 * millisecond
	// bucketCount is the number of buckets. A response that is scheduled for a time after the last bucket is neither
	// counted nor moved.
	bucketCount = 4096
	// maxShift is the maximum time by which a response is scheduled earlier because later buckets are full.
	maxShift = 200 * millisecond
	// initialResponseCost is the initial value of the learned time per response (see responsePacer.responseCost), in
	// microseconds.
	initialResponseCost = 20.0
	// maxResponseCost is the maximum time per response that is learned from a turn, in microseconds.
	maxResponseCost = 200.0
	// minResponseCost is the lower bound of the time per response when the capacity of a bucket is computed, in
	// microseconds.
	minResponseCost = initialResponseCost / 4
	// minResponsesForCost is the minimum number of responses in a turn. A turn with fewer responses does not
	// change the learned time per response.
	minResponsesForCost = 32
	// responseCostGain is the weight of one turn in the learned time per response.
	responseCostGain = 1.0 / 8
)

// responsePacer counts the scheduled responses in buckets of time. If a bucket is full, further responses are
// scheduled in the buckets before it, at most maxShift earlier.
type responsePacer struct {
	buckets      [bucketCount]uint16 // number of scheduled responses in each bucket, as a ring buffer
	firstBucket  int64               // number of the first bucket that is not in the past
	longestTurn  float64             // longest recent turn, which decays with time, in microseconds
	observedAt   int64               // time of the last observed turn, in microseconds
	responseCost float64             // learned time per response (turn length / responses in the turn), in microseconds
	responded    int                 // responses sent since the last observed turn
}

// observeTurn records the length of the last turn, in microseconds.
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

// scheduleResponse returns the deadline of a new request whose client's timeout ends at timeoutAt, and counts the
// response in the bucket of the deadline. If all buckets within maxShift are full, or if the deadline lies
// outside the buckets, the response is neither moved nor counted.
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

// dropPast clears the buckets before now.
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

// bucketCapacity returns the maximum number of responses that are counted in one bucket. This is the number that can be
// written in half of bucketLength, but at least 1.
func (p *responsePacer) bucketCapacity() int {
	return max(1, int(bucketLength/2/max(minResponseCost, p.responseCost)))
}
