package backpressure

import "slices"

// This file owns the forecast of a crowd under way: what room the higher ranks will
// want in the next moment, so that the lower ones do not take it just before. Outside
// of a crowd it forecasts nothing, and what fits beside the forecast is kept from
// nobody: a burst that finds room is not held up.

const (
	keepBucket  = second / 20
	keepBuckets = 6
	// keepShort is how many of the last buckets tell a beginning.
	keepShort = 2
	// keepAhead is how far the forecast looks: as far as the lower ranks can be held
	// and still start in time.
	keepAhead = second / 2
	// eachMost is how many set-ups of one source count in a bucket: hundreds at once from
	// one are no crowd.
	eachMost = 2
	// sourcesLeast is from how many sources set-ups must come in a bucket to be a crowd.
	sourcesLeast = 10
)

// forecast is what arrived of each class in the last buckets.
type forecast struct {
	units []([keepBuckets]float64)
	all   [keepBuckets]float64 // set-ups
	head  int64
	keep  []float64
	from  [cells]uint8       // set-ups of this bucket, by source
	many  [keepBuckets]int32 // sources, by bucket
}

func newForecast(classes int) forecast {
	return forecast{units: make([][keepBuckets]float64, classes), keep: make([]float64, classes)}
}

func (f *forecast) advance(now int64) {
	b := now / keepBucket
	if f.head == 0 || b-f.head >= keepBuckets {
		for i := range f.units {
			f.units[i] = [keepBuckets]float64{}
		}
		f.all, f.from, f.many, f.head = [keepBuckets]float64{}, [cells]uint8{}, [keepBuckets]int32{}, b
		return
	}
	for f.head < b {
		f.head++
		for i := range f.units {
			f.units[i][f.head%keepBuckets] = 0
		}
		f.all[f.head%keepBuckets] = 0
		f.many[f.head%keepBuckets] = 0
		f.from = [cells]uint8{}
	}
}

func (f *forecast) add(now int64, class int, units float64, from uint64) {
	f.advance(now)
	if n := &f.from[mix(from)%cells]; from != 0 {
		if *n >= eachMost {
			return
		}
		if *n++; *n == 1 {
			f.many[f.head%keepBuckets]++
		}
	} else {
		f.many[f.head%keepBuckets]++
	}
	f.units[class][f.head%keepBuckets] += units
	f.all[f.head%keepBuckets]++
}

// rate is the most of the last few buckets and of all, a second.
func (f *forecast) rate(b *[keepBuckets]float64) float64 {
	var short, long float64
	for i := range int64(keepBuckets) {
		v := b[(f.head-i+keepBuckets)%keepBuckets]
		if long += v; i < keepShort {
			short += v
		}
	}
	per := float64(second) / float64(keepBucket)
	return max(short*per/keepShort, long*per/keepBuckets)
}

// Reserved is how many units of room each class is to leave to higher ranks that are on
// their way: nothing, unless set-ups come as in a crowd. The slice is the Storm's.
func (s *Controller) Reserved(now int64) []float64 {
	f := &s.keep
	f.advance(now)
	clear(f.keep)
	if slices.Max(f.many[:]) < sourcesLeast || f.rate(&f.all) <= max(s.watch.usual*risesAt, s.watch.usual+crowdLeast)+crowdLeast {
		return f.keep
	}
	for i := range f.keep {
		for k := range f.units {
			if s.s.Classes[k].Priority > s.s.Classes[i].Priority {
				f.keep[i] += f.rate(&f.units[k]) * float64(keepAhead) / float64(second)
			}
		}
	}
	return f.keep
}
