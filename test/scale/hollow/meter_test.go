package hollow

// This file contains the measurements of the load on members, by phase.

// load holds the traffic that one member sent and the processor time that it used in some period. It may also hold
// a sum of loads or a rate.
type load struct {
	bytes, messages float64 // bytes (without IP and UDP headers) and datagrams sent
	// toDead and toDeadBytes are the parts of messages and bytes that went to members that are unknown, dead or
	// departed in the sender's table. Datagrams sent while the table has no other alive or suspected member are not
	// included.
	toDead, toDeadBytes float64
	handshakes          float64 // number of handshake probes started
	microseconds        float64 // processor time of calls into membership, in microseconds
	codec               float64 // processor time to encode and decode datagrams, in microseconds
}

func (l *load) add(o load) {
	l.bytes += o.bytes
	l.messages += o.messages
	l.toDead += o.toDead
	l.toDeadBytes += o.toDeadBytes
	l.handshakes += o.handshakes
	l.microseconds += o.microseconds
	l.codec += o.codec
}

// dividedBy returns the load divided by a number, such as the product of members and seconds.
func (l load) dividedBy(by float64) load {
	return load{l.bytes / by, l.messages / by, l.toDead / by, l.toDeadBytes / by, l.handshakes / by, l.microseconds / by, l.codec / by}
}

// meter measures processor time and corrects it for the cost of reading the clock.
type meter struct{ clockCost float64 }

// measure makes a call and returns its processor time in microseconds.
func (m *meter) measure(call func()) float64 {
	from := processorMicroseconds()
	call()
	return max(0, processorMicroseconds()-from-m.clockCost)
}

// phase is one part of a scenario.
type phase int

// The phases, in the order in which they run.
const (
	forming phase = iota
	calm
	cut
	healed
	tenthRestarted
	allRestarted
	phaseCount
)

func (p phase) String() string {
	return [...]string{"forming", "calm", "cut", "healed", "tenth_restarted", "all_restarted"}[p]
}

// phaseRecord holds the duration of one phase in seconds, the sum of the loads of all members, and maximum loads in
// one second.
type phaseRecord struct {
	seconds           float64
	total             load
	peak              load    // mean load per member in the second in which members sent the most bytes
	maxMemberBytes    float64 // maximum number of bytes that one member sent in one second
	maxMemberMessages float64 // maximum number of datagrams that one member sent in one second
	maxMemberUs       float64 // maximum processor time of one member in one second, in microseconds
	tail              load    // mean load per member and second in the last part of a cut, see scenario.cutRegion
}

// mean returns the mean load per second and member. A phase shorter than one second counts as one second.
func (r *phaseRecord) mean(members int) load {
	return r.total.dividedBy(max(1, r.seconds) * float64(members))
}
