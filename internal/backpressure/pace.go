package backpressure

// This file owns the learned pace: how many units a second find room. It is learned
// from the starts while something waits, since only then do starts tell what there is
// to have, and from the ends of own tasks, whose room this orchestrator knows of
// first. It must never take a quiet time for a lack of room.

const (
	paceBucket  = second / 10
	paceBuckets = 20
	// sureAfter is for how long something must have waited for the pace to be known.
	sureAfter = second / 2
	// idleAfter is how long nothing may wait before the next wait counts as a new one.
	idleAfter = second / 4
)

// pace is a window over the last two seconds.
type pace struct {
	units  [paceBuckets]float64
	ends   [paceBuckets]float64
	head   int64 // the bucket that is filled now
	since  int64 // since when something waits, 0 where nothing does
	last   int64 // when something last waited
	latest float64
}

func (p *pace) advance(now int64) {
	b := now / paceBucket
	if b-p.head >= paceBuckets || p.head == 0 {
		p.units, p.ends = [paceBuckets]float64{}, [paceBuckets]float64{}
		p.head = b
		return
	}
	for ; p.head < b; p.head++ {
		p.units[(p.head+1)%paceBuckets] = 0
		p.ends[(p.head+1)%paceBuckets] = 0
	}
}

func (p *pace) ended(now int64, units float64) {
	p.advance(now)
	p.ends[p.head%paceBuckets] += units
}

func (p *pace) started(now int64, units float64) {
	p.advance(now)
	p.units[p.head%paceBuckets] += units
}

func (p *pace) waiting(now int64, some bool) {
	p.advance(now)
	switch {
	case some && p.since == 0:
		p.since, p.last = now, now
	case some:
		p.last = now
	case now-p.last > idleAfter:
		p.since = 0
	}
}

// sure reports whether something has waited for long enough to tell.
func (p *pace) sure(now int64) bool {
	return p.since > 0 && now-p.since >= sureAfter && now-p.last <= idleAfter
}

// rate is the units a second: those of the window, or of the part of it in which
// something waited. Where that is too short to tell, it is what was last known.
func (p *pace) rate(now int64) float64 {
	p.advance(now)
	if !p.sure(now) {
		return p.latest
	}
	n := min(paceBuckets, (now-p.since)/paceBucket+1)
	var sum float64
	for i := range n {
		sum += p.units[(p.head-i+paceBuckets*2)%paceBuckets]
	}
	span := float64((n-1)*paceBucket+now%paceBucket+1) / float64(second)
	var ends float64
	for _, v := range p.ends {
		ends += v
	}
	p.latest = max(paceLeast, sum/span, ends/(float64(paceBuckets*paceBucket)/float64(second)))
	return p.latest
}

// paceLeast keeps times finite where nothing starts at all.
const paceLeast = 0.2
