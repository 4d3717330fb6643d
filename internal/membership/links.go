package membership

// This file owns what is known of the straight way to each member, by direction: whether
// what this instance sends arrives, and whether what the other sends does.

// pathDirection is one direction.
type pathDirection struct {
	failureWeight  int  // weight of the looks in a row that found it does not carry
	down bool // enough of them
}

func (t *Table) pathFailed(m *member, w *pathDirection, side string, silent bool) {
	w.failureWeight += 1 + (handshakeFailureWeight-1)*boolToInt(silent)
	if w.failureWeight < pathDownWeight || w.down {
		return
	}
	w.down = true
	other := &m.inbound
	if side == "in" {
		other = &m.outbound
	}
	if !other.down {
		text := "what goes there does not arrive, what comes from there does"
		if side == "in" {
			text = "what comes from there does not arrive, what goes there does"
		}
		t.report(PathDegraded, m.Name, m.Zone, text)
	}
}

func (t *Table) pathWorks(m *member, w *pathDirection) {
	if w.failureWeight = 0; w.down {
		w.down = false
		t.report(PathRecovered, m.Name, m.Zone, "")
	}
}

// heardFrom takes it that a datagram came straight from a member.
func (t *Table) heardFrom(m *member) { t.pathWorks(m, &m.inbound) }

// Path is what is known of the straight way to a member.
type Path uint8

// What a way may be.
const (
	PathUp Path = iota
	PathOutboundDown       // what this instance sends does not arrive
	PathInboundDown        // what the other sends does not
	PathDown
)

func (l Path) String() string { return [...]string{"both ways", "out shut", "in shut", "shut"}[l&3] }

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
