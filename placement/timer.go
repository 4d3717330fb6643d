package placement

// This file owns the timer, which determines when the caller calls the scheduler again if no other event
// occurs earlier. It gets the times from the queue, from discovery and from the workers whose process is
// uncertain, and reads neither pending tasks nor worker lists.

// timerRef is the reference of the only timer that the scheduler sets.
const timerRef = "wake"

// timer requests the next call of the scheduler.
type timer struct {
	*environment
	queue      *queue
	discovery  *discovery
	continuity *continuity
	setFor     int64 // time for which the timer is set, in microseconds; 0 if it is not set
}

// fired handles the expiry of the timer, which requires a scheduling pass.
func (t *timer) fired() { t.setFor, t.needsPass = 0, true }

// set sets the timer for the next check of pending tasks or of workers whose process is uncertain, or the next
// poll of discovery, whichever is earliest. It does nothing if none is needed, or if the timer is already set
// for that time or an earlier time in the future.
func (t *timer) set() {
	at := t.queue.nextCheckAt()
	for _, other := range [...]int64{t.discovery.nextPollAt(), t.continuity.nextCheckAt()} {
		if other > 0 && (at == 0 || other < at) {
			at = other
		}
	}
	if at > 0 && (t.setFor <= t.now || at < t.setFor) {
		t.setFor = at
		t.emit(SetTimer{OffsetUs: max(1, at-t.now), Ref: timerRef})
	}
}
