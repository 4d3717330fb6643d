package backpressure

// This file owns the estimate of the release rate: how many units of capacity become free
// in a second. It is learned from starts while requests are pending, since only then do
// starts show how much there is, and from completions of own tasks, whose capacity this
// orchestrator knows of first. It must never take a time without requests for a lack of
// capacity.

const (
	rateBucketUs = second / 10
	rateBuckets  = 20
	// knownAfterUs is for how long requests must be pending until the rate is known.
	knownAfterUs = second / 2
	// idleAfterUs is how long nothing may be pending before the next pending request
	// begins a new period.
	idleAfterUs = second / 4
	// minRate (units a second) keeps times finite where nothing starts at all.
	minRate = 0.2
)

// rateEstimator is a window of the last two seconds. The zero value is ready for use.
type rateEstimator struct {
	starts       [rateBuckets]float64 // units
	completions  [rateBuckets]float64 // units
	head         int64                // the bucket that is filled now
	pendingSince int64                // 0 while nothing is pending
	lastPending  int64                // when something was pending last
	latest       float64              // the rate known last, units a second
}

// advance moves the window on to now.
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

// setPending takes whether requests are pending.
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

// known reports whether requests have been pending for long enough to know the rate.
func (r *rateEstimator) known(now int64) bool {
	return r.pendingSince > 0 && now-r.pendingSince >= knownAfterUs && now-r.lastPending <= idleAfterUs
}

// rate returns the units a second over the window, or over the part of it in which
// requests were pending. While that is unknown it returns the rate known last, 0 if none.
func (r *rateEstimator) rate(now int64) float64 {
	r.advance(now)
	if !r.known(now) {
		return r.latest
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
	r.latest = max(minRate, starts/span, completions/window)
	return r.latest
}
