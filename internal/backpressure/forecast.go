package backpressure

import "slices"

// This file implements the demand forecast: during a surge, it estimates the capacity that
// classes of higher priority are about to request, so that classes of lower priority leave
// this capacity free. Without a surge, no capacity is reserved. Requests that fit into the
// remaining capacity are never delayed.

const (
	demandBucketUs = second / 20
	demandBuckets  = 6
	// recentBuckets is the number of latest buckets whose rate is computed separately. This
	// rate shows the beginning of a surge before the rate over all buckets does.
	recentBuckets = 2
	// forecastUs is the horizon of the forecast in microseconds. Requests of lower priority
	// can be pending for this time and still start in time.
	forecastUs = second / 2
	// maxPerSource is the maximum number of requests of one known source that count in a
	// bucket. A source is a connection or session. Further requests of the source are
	// ignored: hundreds of requests at once from one source are not a surge.
	maxPerSource = 2
	// minSources is the minimum number of sources that must send requests within one
	// bucket for the forecast to detect a surge.
	minSources = 10
)

// demandCounts is a ring buffer of counts, one for each bucket of demandBucketUs.
type demandCounts [demandBuckets]float64

// demandForecast counts the units of each class that were requested in the last buckets.
type demandForecast struct {
	units          []demandCounts       // requested units, by class
	requests       demandCounts         // requests of all classes
	head           int64                // number of the bucket that is being filled
	higherPriority []float64            // result of Controller.HigherPriorityDemand, by class
	perSource      [hashBuckets]uint8   // requests in the bucket that is being filled, by hash bucket of the source
	sources        [demandBuckets]int32 // number of sources in each bucket
}

// newDemandForecast returns an empty forecast for a number of classes.
func newDemandForecast(classes int) demandForecast {
	return demandForecast{units: make([]demandCounts, classes), higherPriority: make([]float64, classes)}
}

// advance moves the ring buffers forward to now.
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

// reset empties all buckets and makes bucket the number of the bucket that is being filled.
func (f *demandForecast) reset(bucket int64) {
	for class := range f.units {
		f.units[class] = demandCounts{}
	}
	f.requests = demandCounts{}
	f.perSource = [hashBuckets]uint8{}
	f.sources = [demandBuckets]int32{}
	f.head = bucket
}

// add counts a request, unless its source already has maxPerSource requests in the current
// bucket. Known sources in the same hash bucket count as one source. Source 0 means that the
// source is unknown. Each request of an unknown source is counted, as a request of a new
// source.
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

// rate returns the higher of two rates per second: the rate over the latest recentBuckets
// buckets, and the rate over all buckets.
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

// HigherPriorityDemand returns, for each class, how many units of free capacity the class must leave for requests of
// higher priority that are expected soon. The numbers are 0 except during a surge. The Controller owns the slice,
// which is valid until the next call.
func (c *Controller) HigherPriorityDemand(now int64) []float64 {
	f := &c.demand
	f.advance(now)
	clear(f.higherPriority)
	// The forecast measures rates over shorter windows than the detector, whose window is
	// one second, so the rates of the forecast vary more. Therefore minSurgeExcess is added
	// once more to the detector's threshold.
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
