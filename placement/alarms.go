package placement

// This file keeps the times at which the placer is to be called again.

const (
	// retryEvery is how often held tasks are looked at when nothing happens.
	retryEvery = second / 20
)

// wake sets the next alarm.
func (p *Scheduler) wake() {
	var at int64
	if len(p.waiting) > 0 {
		at = p.now + retryEvery
		for _, t := range p.waiting {
			at = min(at, max(t.DeadlineUs-ticksEarly*max(p.s.TickUs, 1000), p.now+1))
		}
	}
	if p.askAt > 0 && p.s.PollsDiscovery && (at == 0 || p.askAt < at) {
		at = p.askAt
	}
	if at > 0 && (p.wakeAt <= p.now || at < p.wakeAt) {
		p.wakeAt = at
		p.do(SetTimer{OffsetUs: max(1, at-p.now), Ref: "wake"})
	}
}

// discover asks for changes where discovery has to be asked.
func (p *Scheduler) discover() {
	if !p.s.PollsDiscovery || p.askAt == 0 || p.now < p.askAt {
		return
	}
	p.askTries++
	p.askAt = p.now + max(second, p.s.PollWithinUs/2) + p.jitter(second)
	p.do(WatchWorkers{Active: true})
}

// backoff is how long to leave discovery alone after a failed call.
func (p *Scheduler) backoff() int64 {
	d := min(second/4<<min(p.askTries, 5), max(second, p.s.PollWithinUs/4))
	return d/2 + p.jitter(d/2)
}
