package placement

// This file keeps the times at which the placer is to be called again.

const (
	// retryInterval is how often held tasks are looked at when nothing happens.
	retryInterval = second / 20
)

// setTimer sets the next alarm.
func (p *Scheduler) setTimer() {
	var at int64
	if len(p.pending) > 0 {
		at = p.now + retryInterval
		for _, task := range p.pending {
			at = min(at, max(task.DeadlineUs-deadlineMarginTicks*max(p.settings.TickUs, 1000), p.now+1))
		}
	}
	if p.pollAt > 0 && p.settings.PollsDiscovery && (at == 0 || p.pollAt < at) {
		at = p.pollAt
	}
	if at > 0 && (p.timerAt <= p.now || at < p.timerAt) {
		p.timerAt = at
		p.emit(SetTimer{OffsetUs: max(1, at-p.now), Ref: "wake"})
	}
}

// pollDiscovery asks for changes where discovery has to be asked.
func (p *Scheduler) pollDiscovery() {
	if !p.settings.PollsDiscovery || p.pollAt == 0 || p.now < p.pollAt {
		return
	}
	p.pollAttempts++
	p.pollAt = p.now + max(second, p.settings.PollWithinUs/2) + p.jitter(second)
	p.emit(WatchWorkers{Active: true})
}

// backoff is how long to leave discovery alone after a failed call.
func (p *Scheduler) backoff() int64 {
	delay := min(second/4<<min(p.pollAttempts, 5), max(second, p.settings.PollWithinUs/4))
	return delay/2 + p.jitter(delay/2)
}
