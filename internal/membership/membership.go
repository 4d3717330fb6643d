// Package membership owns what one instance believes of the others: who is a member,
// alive, suspected, dead, gone on purpose, or back as another incarnation; which ways
// between them carry; and the stable view that the rest of the program may build on.
//
// It is pure: no socket, no clock, no goroutine. Time is passed in, in microseconds, and
// is that of this instance alone: no time of another one is ever read, so a clock that was
// set wrong does no harm. What is drawn comes from one seed. What it wants done it returns
// as acts; what comes of them is told by [Table.Receive] and [Table.HandshakeProbed].
//
// It must never call an instance dead on the word of one that cannot reach it while this
// one can, nor for a silence that may be this instance's own.
package membership

import (
	"math/rand/v2"
	"slices"
)

// State is what is believed of a member.
type State uint8

// The states, in the order in which one outweighs another of the same incarnation.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

func (s State) String() string { return [...]string{"alive", "suspected", "dead", "left"}[s&3] }

// Confirmation is an instance that cannot reach a suspected one.
type Confirmation struct {
	Name, Zone string
	Refused    bool // its address answers that no process listens there
}

// Update is what is told of one instance.
type Update struct {
	Name, Zone, Addr string
	// Nonce is drawn anew at each start and tells two processes under one name apart.
	Life uint64
	// Incarnation grows at each start, and whenever an instance refutes what is said of it.
	Incarnation uint64
	State       State
	Confirmations   []Confirmation // of a suspicion
}

// Peer is an instance named in the settings.
type Peer struct{ Name, Addr string }

// Config is what a table begins with.
type Config struct {
	Self  Update
	Peers []Peer // some that may be asked first; their addresses go before those that are told
	Seed  uint64
	Timing
}

// Timing is the pace of a table, in microseconds.
type Timing struct {
	ProbeInterval  int64 // between two probes
	DirectTimeout int64 // how long an answer may take before others are asked
	ProbeTimeout  int64 // how long a probe may take
	// A suspicion that nothing refutes is a death after MaxSuspicionTimeout with one witness, and
	// after MinSuspicionTimeout with three. MinSuspicionTimeout is the longest pause of a process that is
	// no death, and what its word takes to come round.
	MinSuspicionTimeout, MaxSuspicionTimeout int64
	// RefusedTimeout is the same where two witnesses were told that no process listens.
	RefusedTimeout int64
}

// DefaultTiming is for links of some milliseconds within one site.
func DefaultTiming() Timing {
	return Timing{ProbeInterval: 200_000, DirectTimeout: 200_000, ProbeTimeout: 600_000,
		MinSuspicionTimeout: 3_200_000, MaxSuspicionTimeout: 6_000_000, RefusedTimeout: 300_000}
}

const (
	// tickInterval is how often Tick wants to be called at the most, and stallThreshold by how much it has
	// to come late to say that this instance was held up itself.
	tickInterval = 50_000
	stallThreshold  = 450_000
	// chooseRelays are asked to reach whom this instance cannot.
	indirectProbeCount = 3
	// maxProbes bounds the probes under way.
	maxProbes = 16
	// maxRelayedProbes bounds what others may have asked for at a time.
	maxRelayedProbes = 64
	// joinTimeout is how long a starting instance waits for a word on its name.
	joinTimeout = 1_000_000
	// reprobeInterval is how often an accused member is looked at by those who accuse it.
	reprobeInterval = 1_000_000
	// decisiveRefusals is how many witnesses of a refusal make a death that needs no more proof.
	decisiveRefusals = 2
	// maxVerifications bounds the accused members that are asked in one turn, before they are judged.
	maxVerifications = 16
	// deadProbeInterval is how often one that is taken for dead is tried.
	deadProbeInterval = 500_000
	// maxMembers bounds the names that are known: a peer that makes them up fills no memory.
	maxMembers = 4096
	// maxDeadMembers bounds the dead and departed that are remembered.
	maxDeadMembers = 1024
	// maxHealthScore bounds the doubt of this instance in itself.
	maxHealthScore = 8
	// stallGracePeriod is how long after being held up no death is declared here.
	stallGracePeriod = 2_000_000
	// pathDownWeight is what looks in a row must weigh that agree that a way does not carry: one
	// weighs silent where a handshake probe was not answered either, and else one, since loss
	// alone does that.
	pathDownWeight  = 14
	handshakeFailureWeight = 2
)

// Act is what a table wants done: a Send or a HandshakeProbe.
type Act interface{ act() }

// Send asks for a datagram.
type Send struct {
	Addr    string
	Message Message
}

// HandshakeProbe asks for a connection on which both sides greet; its outcome is handed to
// [Table.HandshakeProbed].
type HandshakeProbe struct{ Name, Addr string }

func (Send) act()           {}
func (HandshakeProbe) act() {}

// Table is what one instance believes. It is not safe for concurrent use.
type Table struct {
	Config
	rng     *rand.Rand
	now     int64
	startedAt   int64
	lastTick  int64
	joining bool  // nobody has agreed to the name yet
	conflictAt  int64 // since when another process holds the name, 0 where none does
	leaving bool
	members map[string]*member // all but itself
	names   []string           // of these, sorted
	liveCount    int                // of these, neither dead nor gone
	suspects []string           // suspected, with some that no longer are
	lastRelays map[string]string  // who last reached a zone to which the straight way failed
	configuredAddrs  map[string]string  // addresses of the settings
	probeOrder    []string           // the order of probes
	urgentProbes    []string           // to be probed next
	nextProbeAt int64
	nextDeadProbeAt  int64
	peerCursor   int // peers of the settings that were asked last
	probes  []*probe
	relayedProbes    []*relayedProbe
	sequence     uint64
	healthScore  int
	gracePeriodEnd   int64 // until when no death is declared
	digests [DigestBuckets]uint32
	broadcasts   []*broadcast
	pageCursor    int
	view    View
	viewStaleSince   int64 // since when the view is due for a change, 0 where it is not
	membersChangedAt   int64 // when the members changed last
	events  []Event
	actions    []Act
}

// member is what is believed of another instance.
type member struct {
	Update
	lastAliveAt   int64 // when it last proved to live, by whatever way
	lastDatagramAt     int64 // when a datagram of its own came
	lastPingSequence      uint64
	rtt       int64
	outbound, inbound   pathDirection
	suspectedAt int64
	probedAt  int64 // when it was last probed from here
	verifiedAt int64 // when it was last asked, before it was to be judged
}

// New returns a table that knows the peers of the settings by their names alone.
func New(now int64, c Config) *Table {
	if c.ProbeInterval == 0 {
		c.Timing = DefaultTiming()
	}
	t := &Table{Config: c, rng: rand.New(rand.NewPCG(c.Seed, c.Self.Life)), now: now, startedAt: now, lastTick: now, joining: true,
		members: map[string]*member{}, configuredAddrs: map[string]string{}, lastRelays: map[string]string{}}
	t.nextProbeAt = now + t.rng.Int64N(t.ProbeInterval)
	t.Self.Incarnation = max(1, t.Self.Incarnation)
	for _, p := range c.Peers {
		if p.Name != c.Self.Name {
			t.configuredAddrs[p.Name] = p.Addr
		}
	}
	t.Peers = slices.DeleteFunc(slices.Clone(c.Peers), func(p Peer) bool { return p.Name == c.Self.Name })
	t.toggleDigest(&t.Self)
	t.rebuildView()
	return t
}

// NextTick is when Tick wants to be called: every tickInterval while anything is in doubt, else for the next
// probe or the next answer that is overdue. It may become sooner with each call of another method.
func (t *Table) NextTick() int64 {
	if !t.calm() {
		return t.lastTick + tickInterval
	}
	next := t.nextProbeAt
	for _, p := range t.probes {
		if m := t.members[p.name]; m != nil && !p.acked {
			next = min(next, p.startedAt+t.directTimeout(m))
		}
	}
	return max(next, t.lastTick+tickInterval)
}

// calm reports whether nobody is in doubt, and nothing waits but answers that are not overdue.
func (t *Table) calm() bool {
	switch {
	case t.joining, t.conflictAt > 0, t.healthScore > 0, t.viewStaleSince > 0:
		return false
	case len(t.relayedProbes) > 0, len(t.suspects) > 0, len(t.urgentProbes) > 0:
		return false
	}
	return true
}

// takeActions returns the acts gathered so far.
func (t *Table) takeActions() []Act {
	acts := t.actions
	t.actions = nil
	return acts
}

// addressOf is where an instance is reached from here.
func (t *Table) addressOf(name string) string {
	if a := t.configuredAddrs[name]; a != "" {
		return a
	}
	if m := t.members[name]; m != nil {
		return m.Addr
	}
	return ""
}

// Locate is where a member is reached and which of its lives is believed in; false where it
// is not there.
func (t *Table) Locate(name string) (address string, nonce uint64, ok bool) {
	m := t.members[name]
	if m == nil || m.State > Suspect {
		return "", 0, false
	}
	return t.addressOf(name), m.Life, true
}

// Size is how many members there are, this one counted, as far as is believed here.
func (t *Table) Size() int { return 1 + t.liveCount }

// setUpdate is the one place where the state of a member changes.
func (t *Table) setUpdate(m *member, r Update) {
	t.toggleDigest(&m.Update)
	t.toggleDigest(&r)
	t.liveCount += boolToInt(r.State <= Suspect) - boolToInt(m.State <= Suspect)
	m.Update = r
	if r.State == Suspect {
		m.suspectedAt = t.now
		t.suspects = append(t.suspects, m.Name)
	} else {
		m.suspectedAt = 0
	}
}
