package membership

// This file tracks the direct path to each member by direction: outbound from the local member, and inbound to
// it.

// Path is the state of the direct path to a member.
type Path uint8

// The states of a path.
const (
	PathUp           Path = iota
	PathOutboundDown      // datagrams from the local member do not arrive
	PathInboundDown       // datagrams to the local member do not arrive
	PathDown              // neither direction works
)

// String returns the name that the status report shows for the path's state.
func (p Path) String() string { return [...]string{"both ways", "out shut", "in shut", "shut"}[p&3] }

// pathDirection is the state of one direction of a path.
type pathDirection struct {
	failureWeight int // total weight of the consecutive probes that found this direction failing
	down          bool
}

// direction selects one of the two directions of the path to another member: outbound is from the local member to
// the other one, and inbound is from the other one to the local member.
type direction uint8

const (
	outbound direction = iota
	inbound
)

// directions returns the state of direction d of the path to a member, and the state of the opposite direction.
func (m *member) directions(d direction) (named, opposite *pathDirection) {
	if d == inbound {
		return &m.inbound, &m.outbound
	}
	return &m.outbound, &m.inbound
}

// pathFailed records that a probe found a direction failing. The direction goes down when the weight of its
// consecutive failures reaches pathDownWeight. If the opposite direction is up at that time, pathFailed reports the
// path as degraded.
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

// pathWorks records that a datagram arrived in a direction of the path, and reports the path as recovered if this
// direction was down.
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
