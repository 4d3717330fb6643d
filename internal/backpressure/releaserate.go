package backpressure

// This file implements the estimate of the release rate: the number of units of capacity
// that become free per second. The estimate uses two kinds of events. The first is the start
// of a task while requests are pending; at other times, starts do not show the available
// capacity. The second is the completion of one of this orchestrator's own tasks, because
// this orchestrator is the first to learn of the freed capacity. A time without requests
// must never count as a lack of capacity.

const (
	rateBucketUs = second / 10
	rateBuckets  = 20
	// knownAfterUs is the time for which requests must be pending before the rate is known.
	knownAfterUs = second / 2
	// idleAfterUs is the maximum time without pending requests for which the rate stays
	// known. After this time, setPending can also end the measurement period.
	idleAfterUs = second / 4
	// minRate is the minimum rate in units per second. It keeps expected start times finite
	// while no task starts at all.
	minRate = 0.2
)

// rateEstimator estimates the release rate over a window of the last two seconds. The zero
// value is ready for use.
type rateEstimator struct {
	starts       [rateBuckets]float64 // started units, by bucket
	completions  [rateBuckets]float64 // completed units, by bucket
	head         int64                // number of the bucket that is being filled
	pendingSince int64                // start of the measurement period, 0 while there is none
	lastPending  int64                // last time at which requests were pending
	lastKnown    float64              // last known rate in units per second
}

// advance moves the window forward to now.
func (r *rateEstimator) advance(now int64) {
	bucket := now / rateBucketUs
	if bucket-r.head >= rateBuckets || r.head == 0 {
		r.starts, r.completions = [rateBuckets]float64{}, [rateBuckets]float64{}
		r.head = bucket
		return
	}
	for ; r.head < bucket; r.head++ {
		r.starts[(r.head+1)%rateBuckets] = 0
		r.completions[(r.head+1)%rateBuckets] = 0
	}
}

// completed counts the units of a task that ended.
func (r *rateEstimator) completed(now int64, units float64) {
	r.advance(now)
	r.completions[r.head%rateBuckets] += units
}

// started counts the units of a task that started.
func (r *rateEstimator) started(now int64, units float64) {
	r.advance(now)
	r.starts[r.head%rateBuckets] += units
}

// setPending records whether requests are pending at now. The measurement period begins with
// the first call that reports pending requests. A call that reports none ends the period if
// the last call that reported some was more than idleAfterUs ago.
func (r *rateEstimator) setPending(now int64, pending bool) {
	r.advance(now)
	switch {
	case pending && r.pendingSince == 0:
		r.pendingSince, r.lastPending = now, now
	case pending:
		r.lastPending = now
	case now-r.lastPending > idleAfterUs:
		r.pendingSince = 0
	}
}

// known reports whether the rate is known. It is known if the measurement period has lasted
// for at least knownAfterUs and requests were pending within the last idleAfterUs.
func (r *rateEstimator) known(now int64) bool {
	return r.pendingSince > 0 && now-r.pendingSince >= knownAfterUs && now-r.lastPending <= idleAfterUs
}

// rate returns the release rate in units per second. While the rate is known, it is the rate
// of starts or the rate of completions, whichever is higher, but at least minRate. The rate
// of starts is computed over the part of the window that lies in the measurement period, and
// the rate of completions over the whole window. While the rate is unknown, rate returns the
// last rate that it computed, or 0 if there is none.
func (r *rateEstimator) rate(now int64) float64 {
	r.advance(now)
	if !r.known(now) {
		return r.lastKnown
	}
	buckets := min(rateBuckets, (now-r.pendingSince)/rateBucketUs+1)
	var starts float64
	for age := range buckets {
		starts += r.starts[(r.head-age+rateBuckets*2)%rateBuckets]
	}
	span := float64((buckets-1)*rateBucketUs+now%rateBucketUs+1) / float64(second)
	var completions float64
	for _, units := range r.completions {
		completions += units
	}
	const window = float64(rateBuckets*rateBucketUs) / float64(second)
	r.lastKnown = max(minRate, starts/span, completions/window)
	return r.lastKnown
}
