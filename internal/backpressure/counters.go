package backpressure

// This file owns the counters that the detector reads: events in the last second, and the
// most frequent programs. They must never allocate.

const (
	windowBuckets  = 10
	windowBucketUs = second / windowBuckets
	// trackedPrograms is the number of counters of frequent programs.
	trackedPrograms = 16
	// topPrograms is how many programs are few.
	topPrograms = 3
)

// eventWindow counts events over the last second. The zero value is ready for use.
type eventWindow struct {
	counts [windowBuckets]int32
	head   int64 // the bucket that is filled now
	sum    int32
}

// advance moves the window on to now.
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

// frequentPrograms counts the most frequent programs by the algorithm of Misra and Gries:
// a program with more than a seventeenth of all events is among them. The zero value is
// ready for use.
type frequentPrograms struct {
	programs [trackedPrograms]uint64
	counts   [trackedPrograms]float64
	all      float64
}

// add counts an event of a program.
func (p *frequentPrograms) add(program uint64) {
	p.all++
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

// topShare returns the share of all events that the topPrograms most frequent have.
func (p *frequentPrograms) topShare() float64 {
	var top [topPrograms]float64 // descending
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
	return sum / max(1, p.all)
}

// decay multiplies all counts by a factor.
func (p *frequentPrograms) decay(factor float64) {
	p.all *= factor
	for i := range p.counts {
		p.counts[i] *= factor
	}
}
