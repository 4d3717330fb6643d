package placement

// This file owns the timer, which determines when the caller calls the scheduler again if no other event
// occurs earlier. It gets the times from the queue and from discovery, and reads neither pending tasks nor
// worker lists.

// timerRef is the reference of the only timer that the scheduler sets.
const timerRef = "wake"

// timer requests the next call of the scheduler.
type timer struct {
	*environment
	queue     *queue
	discovery *discovery
	setFor    int64 // time for which the timer is set, in microseconds; 0 if it is not set
}

// fired handles the expiry of the timer, which requires a scheduling pass.
func (t *timer) fired() { t.setFor, t.needsPass = 0, true }

// set sets the timer for the next check of pending tasks or the next poll of discovery, whichever is
// earlier. It does nothing if neither is needed, or if the timer is already set for that time or an earlier
// time in the future.
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
