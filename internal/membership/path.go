package membership

// This file owns what is known of the direct path to each member, by direction: whether what the local
// member sends arrives, and whether what the other sends does.

// Path is what is known of the direct path to a member.
type Path uint8

// The states of a path.
const (
	PathUp           Path = iota
	PathOutboundDown      // what the local member sends does not arrive
	PathInboundDown       // what the other sends does not
	PathDown
)

// String is the path as the status report has it.
func (p Path) String() string { return [...]string{"both ways", "out shut", "in shut", "shut"}[p&3] }

// pathDirection is one direction of a path.
type pathDirection struct {
	failureWeight int // of the probes in a row that found it failing
	down          bool
}

// direction names one direction of a path.
type direction uint8

const (
	outbound direction = iota
	inbound
)

// directions are the direction that is named, and the opposite one.
func (m *member) directions(d direction) (named, opposite *pathDirection) {
	if d == inbound {
		return &m.inbound, &m.outbound
	}
	return &m.outbound, &m.inbound
}

// pathFailed takes it that a probe found a direction failing. The path is reported where only one is down.
func (t *Table) pathFailed(m *member, d direction, handshakeTimedOut bool) {
	failed, opposite := m.directions(d)
	failed.failureWeight += 1 + (handshakeFailureWeight-1)*boolToInt(handshakeTimedOut)
	if failed.failureWeight < pathDownWeight || failed.down {
		return
	}
	failed.down = true
	if opposite.down {
		return
	}
	evidence := "what goes there does not arrive, what comes from there does"
	if d == inbound {
		evidence = "what comes from there does not arrive, what goes there does"
	}
	t.report(PathDegraded, m.Name, m.Zone, evidence)
}

// pathWorks takes it that a datagram arrived in a direction.
func (t *Table) pathWorks(m *member, p *pathDirection) {
	p.failureWeight = 0
	if p.down {
		p.down = false
		t.report(PathRecovered, m.Name, m.Zone, "")
	}
}

func (m *member) path() Path {
	switch {
	case m.outbound.down && m.inbound.down:
		return PathDown
	case m.outbound.down:
		return PathOutboundDown
	case m.inbound.down:
		return PathInboundDown
	}
	return PathUp
}
