package backpressure

// This file implements the fair sharing of reserved slots among programs. If one program
// requests most of the capacity, other programs must not have to wait until all its requests
// are served. Reserved units are counted by the hash bucket of their program, and all programs
// in one bucket have a single share.

const (
	// decayIntervalUs is the interval at which the counts of reserved units are multiplied by
	// decayFactor. A count is halved after three seconds, the default upper bound of
	// Retry-After. By then, the clients whose units it counts have returned, or other clients
	// use the capacity.
	decayIntervalUs = second / 10
	decayFactor     = 0.977
	// maxDecaySteps limits the duration of one call of advance. If the call needs more than
	// maxDecaySteps+1 decay steps, it resets all counts.
	maxDecaySteps = 1000
	// minBucketUnits is the number of units below which the count of a bucket becomes zero.
	// It is half of the smallest request size that an entry of the waitlist stores.
	minBucketUnits = 1.0 / unitScale / 2
)

// fairShare counts reserved units by program. The zero value is ready for use.
type fairShare struct {
	decayedAt int64                // time up to which the counts have decayed
	units     [hashBuckets]float32 // reserved units, by bucket
	active    int                  // number of buckets with reserved units
	sum       float64              // reserved units in all buckets
}

// advance decays the counts up to now.
func (f *fairShare) advance(now int64) {
	if f.decayedAt == 0 || now < f.decayedAt {
		f.decayedAt = now
	}
	for step := 0; now-f.decayedAt >= decayIntervalUs; step++ {
		if step > maxDecaySteps || f.active == 0 {
			*f = fairShare{decayedAt: now}
			return
		}
		f.decayedAt += decayIntervalUs
		for bucket := range f.units {
			if f.units[bucket] > 0 {
				f.add(bucket, -float64(f.units[bucket])*(1-decayFactor))
			}
		}
	}
}

// add adds units, which may be negative, to the count of a bucket.
func (f *fairShare) add(bucket int, units float64) {
	before := f.units[bucket]
	after := max(0, before+float32(units))
	if after < minBucketUnits {
		after = 0
	}
	f.units[bucket] = after
	f.sum += float64(after - before)
	switch {
	case before == 0 && after > 0:
		f.active++
	case before > 0 && after == 0:
		f.active--
	}
}

// ahead returns the number of reserved units that are served until a request has been served, including the request's
// own units. It assumes that programs take turns: until then, no active program gets more units than the request's
// own program has reserved. units is the number without turns, also including the request's own units. bucket is the
// bucket of the request's program, whose count must already include the request.
func (f *fairShare) ahead(bucket int, units float64) float64 {
	return min(units, float64(f.units[bucket])*float64(max(1, f.active)))
}

// belowShare reports whether a bucket has less than half of the mean reserved units of all
// active buckets. It returns false if fewer than two buckets are active.
func (f *fairShare) belowShare(bucket int) bool {
	return f.active > 1 && float64(f.units[bucket])*float64(f.active) < f.sum/2
}
