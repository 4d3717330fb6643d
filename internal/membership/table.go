package membership

// This file defines the table, which holds the entries of all other members, and setUpdate, the only function
// that changes the state of an entry. The table never sends anything itself: it queues actions for the caller.

import (
	"math/rand/v2"
	"slices"
)

// Action is an operation that the table asks its caller to perform: a Send or a HandshakeProbe.
type Action interface{ action() }

// Send asks the caller to send a datagram.
type Send struct {
	Addr    string
	Message Message
}

// HandshakeProbe asks the caller to open a connection on which both sides send a hello. The caller passes the
// result to [Table.HandshakeProbeDone].
type HandshakeProbe struct{ Name, Addr string }

func (Send) action()           {}
func (HandshakeProbe) action() {}

// Table is the membership table of the local member. Its times are in microseconds. It is not safe for concurrent
// use.
type Table struct {
	Config
	rng       *rand.Rand
	now       int64
	startedAt int64
	lastTick  int64
	sequence  uint64 // sequence number of the last ping sent

	joining    bool  // whether the local member has not joined yet
	conflictAt int64 // time of the last update that reports another process with the local name, 0 without a conflict
	departing  bool  // whether Leave was called
	peerCursor int   // counter that selects the next of Peers to ping

	members         map[string]*member // all members except the local one, by name
	names           []string           // the keys of members, sorted
	liveCount       int                // number of entries in members that are neither dead nor departed
	suspects        []string           // names of suspects; may include members that are no longer suspected
	configuredAddrs map[string]string  // addresses from the settings, by name
	lastRelays      map[string]string  // by zone, the last relay that reached a member there

	probeOrder     []string // members that are still to be probed in this round
	urgentProbes   []string // members to probe soon, whatever their place in probeOrder
	nextProbeAt    int64
	nextDeadPingAt int64
	probes         []*probe
	relayedProbes  []*relayedProbe
	healthScore    int
	gracePeriodEnd int64 // end of the period in which silence raises no suspicion

	digests    [DigestBuckets]uint32
	broadcasts []*broadcast
	pageCursor int // index in names of the member that was last considered for a page

	view             View
	viewStaleSince   int64 // time of the first membership change that the view does not reflect, 0 without one
	membersChangedAt int64
	events           []Event
	actions          []Action
}

// member is the table's entry for another member. Its times are in microseconds.
type member struct {
	Update
	lastAliveAt       int64  // time of the last proof that the member is alive, direct or indirect
	lastDatagramAt    int64  // time when the last datagram from the member arrived
	lastPingSequence  uint64 // highest sequence number of the received pings that the member sent on its own behalf
	rtt               int64  // smoothed round-trip time in microseconds
	outbound, inbound pathDirection
	suspectedAt       int64 // start of the suspicion, or of its restarted timeout; 0 without a suspicion
	probedAt          int64 // start of the last probe of the member
	verifiedAt        int64 // time of the last ping that verifies a suspicion before the member is declared dead
}

// New returns a table without other members. It knows the names and addresses of the peers in the settings. If
// c.ProbeInterval is 0, the table uses DefaultTiming.
func New(now int64, c Config) *Table {
	if c.ProbeInterval == 0 {
		c.Timing = DefaultTiming()
	}
	t := &Table{
		Config:          c,
		rng:             rand.New(rand.NewPCG(c.Seed, c.Self.Nonce)),
		now:             now,
		startedAt:       now,
		lastTick:        now,
		joining:         true,
		members:         map[string]*member{},
		configuredAddrs: map[string]string{},
		lastRelays:      map[string]string{},
	}
	t.nextProbeAt = now + t.rng.Int64N(t.ProbeInterval)
	t.Self.Incarnation = max(1, t.Self.Incarnation)
	t.Peers = slices.DeleteFunc(slices.Clone(c.Peers), func(p Peer) bool { return p.Name == c.Self.Name })
	for _, p := range t.Peers {
		t.configuredAddrs[p.Name] = p.Addr
	}
	t.toggleDigest(&t.Self)
	t.rebuildView()
	return t
}

// takeActions returns the actions queued since the previous call.
func (t *Table) takeActions() []Action {
	actions := t.actions
	t.actions = nil
	return actions
}

// addressOf returns the address at which the local member reaches a member, or "" if it is unknown. An address
// from the settings takes precedence.
func (t *Table) addressOf(name string) string {
	if address := t.configuredAddrs[name]; address != "" {
		return address
	}
	if m := t.members[name]; m != nil {
		return m.Addr
	}
	return ""
}

// Locate returns the address and the incarnation nonce of another member. It returns false if the member is
// unknown, dead or departed.
func (t *Table) Locate(name string) (address string, nonce uint64, ok bool) {
	m := t.members[name]
	if m == nil || m.State > Suspect {
		return "", 0, false
	}
	return t.addressOf(name), m.Nonce, true
}

// Size returns the number of members that are alive or suspected, including the local one.
func (t *Table) Size() int { return 1 + t.liveCount }

// setUpdate replaces the update of a member, and adjusts the digests, liveCount, suspects and the start of the
// suspicion. No other function changes the state of a member.
func (t *Table) setUpdate(m *member, u Update) {
	t.toggleDigest(&m.Update)
	t.toggleDigest(&u)
	t.liveCount += boolToInt(u.State <= Suspect) - boolToInt(m.State <= Suspect)
	m.Update = u
	if u.State == Suspect {
		m.suspectedAt = t.now
		t.suspects = append(t.suspects, m.Name)
	} else {
		m.suspectedAt = 0
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
