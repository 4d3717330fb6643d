package membership

// This file owns the table: the entries of all other members, and the one place where the state of an
// entry changes. It must never send anything itself: what it wants done waits in actions.

import (
	"math/rand/v2"
	"slices"
)

// Action is what a table wants done: a Send or a HandshakeProbe.
type Action interface{ action() }

// Send asks for a datagram.
type Send struct {
	Addr    string
	Message Message
}

// HandshakeProbe asks for a connection on which both sides send a hello; its result is handed to
// [Table.HandshakeProbed].
type HandshakeProbe struct{ Name, Addr string }

func (Send) action()           {}
func (HandshakeProbe) action() {}

// Table is what the local member believes of the cluster. It is not safe for concurrent use.
type Table struct {
	Config
	rng       *rand.Rand
	now       int64
	startedAt int64
	lastTick  int64
	sequence  uint64 // of the last ping sent

	joining    bool  // the local name is not agreed yet
	conflictAt int64 // when another process was last found to own the local name, 0 while none does
	departing  bool
	peerCursor int // which of Peers was pinged last

	members         map[string]*member // all but the local one
	names           []string           // of these, sorted
	liveCount       int                // of these, neither dead nor departed
	suspects        []string           // of these, with some that no longer are
	configuredAddrs map[string]string  // by name, from the settings
	lastRelays      map[string]string  // by zone, who last reached a member there that did not answer directly

	probeOrder     []string // the members that wait for their turn in this round
	urgentProbes   []string // to be probed before them
	nextProbeAt    int64
	nextDeadPingAt int64
	probes         []*probe
	relayedProbes  []*relayedProbe
	healthScore    int
	gracePeriodEnd int64 // until when silence raises no suspicion

	digests    [DigestBuckets]uint32
	broadcasts []*broadcast
	pageCursor int // which of names was sent last to a member whose digests differ

	view             View
	viewStaleSince   int64 // since when the view is to be rebuilt, 0 while it is not
	membersChangedAt int64
	events           []Event
	actions          []Action
}

// member is what is believed of another member.
type member struct {
	Update
	lastAliveAt       int64  // when it last proved to be alive, on whatever path
	lastDatagramAt    int64  // when a datagram of its own came
	lastPingSequence  uint64 // of its own pings
	rtt               int64  // smoothed
	outbound, inbound pathDirection
	suspectedAt       int64
	probedAt          int64 // when the last probe of it started
	verifiedAt        int64 // when it was last pinged because it is to be declared dead
}

// New returns a table that knows the peers of the settings by their names alone.
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

// takeActions returns the actions gathered since the last call.
func (t *Table) takeActions() []Action {
	actions := t.actions
	t.actions = nil
	return actions
}

// addressOf is where a member is reached from here, "" where that is not known.
func (t *Table) addressOf(name string) string {
	if address := t.configuredAddrs[name]; address != "" {
		return address
	}
	if m := t.members[name]; m != nil {
		return m.Addr
	}
	return ""
}

// Locate is where a member is reached, and its incarnation nonce; false where it is not in the cluster.
func (t *Table) Locate(name string) (address string, nonce uint64, ok bool) {
	m := t.members[name]
	if m == nil || m.State > Suspect {
		return "", 0, false
	}
	return t.addressOf(name), m.Nonce, true
}

// Size is how many members the cluster has, the local one counted, as far as is believed here.
func (t *Table) Size() int { return 1 + t.liveCount }

// setUpdate is the one place where the state of a member changes.
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
