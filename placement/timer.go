package placement

// This file owns the time at which the scheduler is to be called again. It must never look at a pending task or a
// list.

// timerRef is the reference of the only timer.
const timerRef = "wake"

// timer asks to be called again.
type timer struct {
	*environment
	queue     *queue
	discovery *discovery
	setFor    int64 // or 0
}

// fired takes it that the timer fired.
func (t *timer) fired() { t.setFor, t.needsPass = 0, true }

// set sets the timer for what comes next, unless it is set for an earlier time.
func (t *timer) set() {
	at := t.queue.nextCheckAt()
	if pollAt := t.discovery.nextPollAt(); pollAt > 0 && (at == 0 || pollAt < at) {
		at = pollAt
	}
	if at > 0 && (t.setFor <= t.now || at < t.setFor) {
		t.setFor = at
		t.emit(SetTimer{OffsetUs: max(1, at-t.now), Ref: timerRef})
	}
}
