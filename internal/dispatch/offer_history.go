package dispatch

// This file owns the history of offers, by which each message of a worker is matched with one attempt.
//
// A message of a worker names a request and no attempt. The worker may send it late, send it twice, or repeat it on another
// connection. Two rules prevent that it is taken for a message about a later attempt of the request at the same worker:
//
//   - A request is never offered again to a worker on which it may have run. A worker reports the end of a task on any
//     connection, so nothing tells the ends of two such attempts apart.
//   - A worker answers an offer that it does not accept only on the connection of the offer. After such an answer, the
//     request may be offered to the worker again, but only on a connection that was opened later.
//
// Both rules hold beyond the end of the request, because a client may submit the same request ID again.

import "slices"

// The history of ended requests holds up to historyBuckets * historyBucketSize offers, in memory of fixed size.
const (
	historyBuckets    = 512
	historyBucketSize = 8
)

// priorOffer is an offer that a worker may have received.
type priorOffer struct {
	worker string
	// rejectedOn is the number of the connection on which the worker rejected the offer, or 0 if it did not. In that case,
	// the task may have run on the worker.
	rejectedOn uint64
}

// endedOffer is an offer of a request that has left the table. The zero value is a free entry.
type endedOffer struct {
	requestHash uint64
	priorOffer
}

// historyBucket holds the latest offers of the requests that share the bucket.
type historyBucket struct {
	offers [historyBucketSize]endedOffer
	next   int // index of the entry to replace next
}

// offerHistory holds the offers of requests that have left the table. The offers of a request in the table are in
// request.priorOffers.
type offerHistory [historyBuckets]historyBucket

func (h *offerHistory) bucket(requestHash uint64) *historyBucket {
	return &h[requestHash%historyBuckets]
}

// offersOf returns the offers of ended requests with a request ID.
func (h *offerHistory) offersOf(requestID string) (offers []priorOffer) {
	requestHash := keyHash(requestID)
	for _, offer := range h.bucket(requestHash).offers {
		if offer.worker != "" && offer.requestHash == requestHash {
			offers = append(offers, offer.priorOffer)
		}
	}
	return offers
}

// add records the offers of a request that leaves the table.
func (h *offerHistory) add(requestID string, offers []priorOffer) {
	requestHash := keyHash(requestID)
	bucket := h.bucket(requestHash)
	for _, offer := range offers {
		bucket.offers[bucket.next] = endedOffer{requestHash, offer}
		bucket.next = (bucket.next + 1) % historyBucketSize
	}
}

// workersMayHaveRun returns the workers on which the request, or an earlier request with the same ID, may have run.
func (r *request) workersMayHaveRun() (workers []string) {
	for _, offer := range r.priorOffers {
		if offer.rejectedOn == 0 {
			workers = append(workers, offer.worker)
		}
	}
	return workers
}

// mayHaveRunOn reports whether the request, or an earlier request with the same ID, may have run on a worker.
func (r *request) mayHaveRunOn(worker string) bool {
	return slices.Contains(r.priorOffers, priorOffer{worker: worker})
}

// rejectedOn returns the number of the latest connection on which a worker rejected an offer of the request, or 0 if it
// rejected none.
func (r *request) rejectedOn(worker string) (connection uint64) {
	for _, offer := range r.priorOffers {
		if offer.worker == worker {
			connection = max(connection, offer.rejectedOn)
		}
	}
	return connection
}

// setRejectedOn records that the worker of the latest attempt rejected the offer on a connection.
func (r *request) setRejectedOn(connection uint64) {
	if i := slices.Index(r.priorOffers, priorOffer{worker: r.worker}); i >= 0 {
		r.priorOffers[i].rejectedOn = connection
	}
}

// withdrawOffer records that the offer of the latest attempt did not reach its worker.
func (r *request) withdrawOffer() {
	if i := slices.Index(r.priorOffers, priorOffer{worker: r.worker}); i >= 0 {
		r.priorOffers = slices.Delete(r.priorOffers, i, i+1)
	}
}
