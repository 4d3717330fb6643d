package backpressure

// This file owns the fair share of programs among the reserved slots: a program that
// wants most of the capacity must not put the others behind all of its requests. Programs
// are counted in buckets by a hash; two in one bucket share its share.

const (
	// decayIntervalUs is how often reserved units are made to count for less: half of
	// their weight is left after three seconds, by when their clients have returned, or
	// others have taken their place.
	decayIntervalUs = second / 10
	decayFactor     = 0.977
	// maxDecaySteps is after how many steps at once everything is forgotten.
	maxDecaySteps = 1000
	// minBucketUnits is half a step of entry.unitSteps: less counts as nothing.
	minBucketUnits = 1.0 / unitScale / 2
)

// fairShare counts reserved units by program. The zero value is ready for use.
type fairShare struct {
	decayedAt int64
	units     [hashBuckets]float32
	active    int // buckets with reserved units
	sum       float64
}

// advance decays the counts.
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

// add counts units, which may be negative.
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

// ahead returns how many of the reserved units ahead of a request count for its program,
// whose own are counted already: if programs took turns, only as many of each program as
// its own has would go first.
func (f *fairShare) ahead(bucket int, units float64) float64 {
	return min(units, float64(f.units[bucket])*float64(max(1, f.active)))
}

// belowShare reports whether a program has less than half of the mean reserved units.
func (f *fairShare) belowShare(bucket int) bool {
	return f.active > 1 && float64(f.units[bucket])*float64(f.active) < f.sum/2
}
