package hollow

// This file owns the measurements: the load of members, by phase.

// load is what one member caused since that was last read.
type load struct {
	bytes, messages     float64 // sent, as on the wire
	toDead, toDeadBytes float64 // of these, to members that the sender does not have for alive
	handshakes          float64
	microseconds        float64 // of the processor, in calls into membership
	codec               float64 // the same, to encode and decode datagrams
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

// dividedBy is a load divided among members and seconds.
func (l load) dividedBy(by float64) load {
	return load{l.bytes / by, l.messages / by, l.toDead / by, l.toDeadBytes / by, l.handshakes / by, l.microseconds / by, l.codec / by}
}

// meter measures processor time.
type meter struct{ clockCost float64 }

// measure returns the processor microseconds of a call.
func (m *meter) measure(call func()) float64 {
	from := processorMicroseconds()
	call()
	return max(0, processorMicroseconds()-from-m.clockCost)
}

// phase is a part of a scenario.
type phase int

// The phases, in their order.
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

// phaseRecord is what the members caused in one phase, second by second.
type phaseRecord struct {
	seconds           float64
	total             load
	peak              load // of the second with the most bytes, a member
	maxMemberBytes    float64
	maxMemberMessages float64
	maxMemberUs       float64 // of any one member in any one second
	tail              load    // of the last seconds of a cut, a member and second
}

// mean is the load a second and member.
func (r *phaseRecord) mean(members int) load {
	return r.total.dividedBy(max(1, r.seconds) * float64(members))
}
