package backpressure

// This file implements the counters that the detector reads: the number of events in the
// last second, and the most frequent programs. Counting must never allocate memory.

const (
	windowBuckets  = 10
	windowBucketUs = second / windowBuckets
	// trackedPrograms is the number of counters in frequentPrograms.
	trackedPrograms = 16
	// topPrograms is the number of programs that topShare adds up: the most frequent ones. Their combined
	// share of the events is compared with topProgramsShare, to decide whether a surge is a Reconnect.
	topPrograms = 3
)

// eventWindow counts events over the last second. The zero value is ready for use.
type eventWindow struct {
	counts [windowBuckets]int32
	head   int64 // number of the bucket that is being filled
	sum    int32 // sum of counts
}

// advance moves the window forward to now.
func (w *eventWindow) advance(now int64) {
	bucket := now / windowBucketUs
	if w.head == 0 || bucket-w.head >= windowBuckets {
		*w = eventWindow{head: bucket}
		return
	}
	for w.head < bucket {
		w.head++
		i := w.head % windowBuckets
		w.sum -= w.counts[i]
		w.counts[i] = 0
	}
}

// add counts an event.
func (w *eventWindow) add(now int64) {
	w.advance(now)
	w.counts[w.head%windowBuckets]++
	w.sum++
}

// frequentPrograms counts the events of the most frequent programs with the Misra-Gries
// algorithm: 16 counters track every program that has more than one seventeenth of all
// events, unless decay has reduced counts below 1. The zero value is ready for use.
type frequentPrograms struct {
	programs [trackedPrograms]uint64
	counts   [trackedPrograms]float64
	total    float64 // number of events of all programs; decay reduces it together with counts
}

// add counts an event of a program.
func (p *frequentPrograms) add(program uint64) {
	p.total++
	free := -1
	for i := range p.programs {
		switch {
		case p.counts[i] > 0 && p.programs[i] == program:
			p.counts[i]++
			return
		case p.counts[i] <= 0:
			free = i
		}
	}
	if free >= 0 {
		p.programs[free], p.counts[free] = program, 1
		return
	}
	for i := range p.counts {
		p.counts[i]--
	}
}

// topShare returns the estimated fraction of all events that belong to the topPrograms most
// frequent programs.
func (p *frequentPrograms) topShare() float64 {
	var top [topPrograms]float64 // highest counts in descending order
	for _, count := range p.counts {
		for i := range top {
			if count > top[i] {
				count, top[i] = top[i], count
			}
		}
	}
	var sum float64
	for _, count := range top {
		sum += count
	}
	return sum / max(1, p.total)
}

// decay multiplies all counts by a factor.
func (p *frequentPrograms) decay(factor float64) {
	p.total *= factor
	for i := range p.counts {
		p.counts[i] *= factor
	}
}
