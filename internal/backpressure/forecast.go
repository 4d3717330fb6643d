package backpressure

import "slices"

// This file owns the demand forecast: the capacity that classes of higher priority will
// want in the next moment of a surge, so that lower ones do not take it just before.
// Without a surge it must reserve nothing: requests that fit beside the forecast are never
// delayed.

const (
	demandBucketUs = second / 20
	demandBuckets  = 6
	// recentBuckets is how many of the last buckets show the beginning of a surge.
	recentBuckets = 2
	// forecastUs is how far the forecast reaches: as long as lower priorities can be
	// pending and still start in time.
	forecastUs = second / 2
	// maxPerSource is how many requests of one source count in a bucket: hundreds at once
	// from one source are no surge.
	maxPerSource = 2
	// minSources is from how many sources requests must come in a bucket to be a surge.
	minSources = 10
)

// demandCounts are counts by bucket, a ring.
type demandCounts [demandBuckets]float64

// demandForecast counts what was requested of each class in the last buckets.
type demandForecast struct {
	units          []demandCounts // by class
	requests       demandCounts
	head           int64                // the bucket that is filled now
	higherPriority []float64            // result of Controller.Reserved, by class
	perSource      [hashBuckets]uint8   // requests in the head bucket, by source
	sources        [demandBuckets]int32 // by bucket
}

// newDemandForecast returns an empty forecast.
func newDemandForecast(classes int) demandForecast {
	return demandForecast{units: make([]demandCounts, classes), higherPriority: make([]float64, classes)}
}

// advance moves the ring on to now.
func (f *demandForecast) advance(now int64) {
	bucket := now / demandBucketUs
	if f.head == 0 || bucket-f.head >= demandBuckets {
		f.reset(bucket)
		return
	}
	for f.head < bucket {
		f.head++
		index := f.head % demandBuckets
		for class := range f.units {
			f.units[class][index] = 0
		}
		f.requests[index] = 0
		f.sources[index] = 0
		f.perSource = [hashBuckets]uint8{}
	}
}

// reset empties all buckets.
func (f *demandForecast) reset(bucket int64) {
	for class := range f.units {
		f.units[class] = demandCounts{}
	}
	f.requests = demandCounts{}
	f.perSource = [hashBuckets]uint8{}
	f.sources = [demandBuckets]int32{}
	f.head = bucket
}

// add counts a request. Source 0 is unknown: each such request counts as from another one.
func (f *demandForecast) add(now int64, class int, units float64, source uint64) {
	f.advance(now)
	index := f.head % demandBuckets
	if source == 0 {
		f.sources[index]++
	} else {
		count := &f.perSource[hashBucket(source)]
		if *count >= maxPerSource {
			return
		}
		*count++
		if *count == 1 {
			f.sources[index]++
		}
	}
	f.units[class][index] += units
	f.requests[index]++
}

// rate returns the higher one of the rates of the recent and of all buckets, a second.
func (f *demandForecast) rate(counts *demandCounts) float64 {
	var recent, all float64
	for age := range int64(demandBuckets) {
		count := counts[(f.head-age+demandBuckets)%demandBuckets]
		all += count
		if age < recentBuckets {
			recent += count
		}
	}
	perSecond := float64(second) / float64(demandBucketUs)
	return max(recent*perSecond/recentBuckets, all*perSecond/demandBuckets)
}

// HigherPriorityDemand returns how many units of free capacity each class is to leave to classes of
// higher priority that are about to request them: 0 except in a surge. The slice belongs
// to the Controller and is valid until the next call.
func (c *Controller) HigherPriorityDemand(now int64) []float64 {
	f := &c.demand
	f.advance(now)
	clear(f.higherPriority)
	// The windows of the forecast are shorter than the detector's second, so their rates
	// scatter more: the excess is required once more beyond the detector's threshold.
	threshold := c.detector.surgeThreshold() + minSurgeExcess
	if slices.Max(f.sources[:]) < minSources || f.rate(&f.requests) <= threshold {
		return f.higherPriority
	}
	for class := range f.higherPriority {
		for other := range f.units {
			if c.settings.Classes[other].Priority > c.settings.Classes[class].Priority {
				f.higherPriority[class] += f.rate(&f.units[other]) * float64(forecastUs) / float64(second)
			}
		}
	}
	return f.higherPriority
}
