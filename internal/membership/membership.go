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

// Witness is an instance that cannot reach a suspected one.
type Witness struct {
	Name, Zone string
	Refused    bool // its address answers that no process listens there
}

// Update is what is told of one instance.
type Update struct {
	Name, Zone, Addr string
	// Life is drawn anew at each start and tells two processes under one name apart.
	Life uint64
	// Incarnation grows at each start, and whenever an instance refutes what is said of it.
	Incarnation uint64
	State       State
	Witnesses   []Witness // of a suspicion
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
	Every  int64 // between two probes
	Direct int64 // how long an answer may take before others are asked
	Whole  int64 // how long a probe may take
	// A suspicion that nothing refutes is a death after SilentMost with one witness, and
	// after SilentLeast with three. SilentLeast is the longest pause of a process that is
	// no death, and what its word takes to come round.
	SilentLeast, SilentMost int64
	// Refused is the same where two witnesses were told that no process listens.
	Refused int64
}

// DefaultTiming is for links of some milliseconds within one site.
func DefaultTiming() Timing {
	return Timing{Every: 200_000, Direct: 200_000, Whole: 600_000,
		SilentLeast: 3_200_000, SilentMost: 6_000_000, Refused: 300_000}
}

const (
	// tickEvery is how often Tick wants to be called at the most, and lateTick by how much it has
	// to come late to say that this instance was held up itself.
	tickEvery = 50_000
	lateTick  = 450_000
	// proxies are asked to reach whom this instance cannot.
	proxies = 3
	// probesMost bounds the probes under way.
	probesMost = 16
	// asksMost bounds what others may have asked for at a time.
	asksMost = 64
	// joinFor is how long a starting instance waits for a word on its name.
	joinFor = 1_000_000
	// relookEvery is how often an accused member is looked at by those who accuse it.
	relookEvery = 1_000_000
	// refusalsEnough is how many witnesses of a refusal make a death that needs no more proof.
	refusalsEnough = 2
	// checksMost bounds the accused members that are asked in one turn, before they are judged.
	checksMost = 16
	// deadEvery is how often one that is taken for dead is tried.
	deadEvery = 500_000
	// membersMost bounds the names that are known: a peer that makes them up fills no memory.
	membersMost = 4096
	// deadMost bounds the dead and departed that are remembered.
	deadMost = 1024
	// healthMost bounds the doubt of this instance in itself.
	healthMost = 8
	// doubtFor is how long after being held up no death is declared here.
	doubtFor = 2_000_000
	// oneWayAfter is what looks in a row must weigh that agree that a way does not carry: one
	// weighs silent where a handshake probe was not answered either, and else one, since loss
	// alone does that.
	oneWayAfter  = 14
	silentWeighs = 2
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
	began   int64
	ticked  int64
	joining bool  // nobody has agreed to the name yet
	barred  int64 // since when another process holds the name, 0 where none does
	leaving bool
	members map[string]*member // all but itself
	names   []string           // of these, sorted
	live    int                // of these, neither dead nor gone
	accused []string           // suspected, with some that no longer are
	through map[string]string  // who last reached a zone to which the straight way failed
	pinned  map[string]string  // addresses of the settings
	ring    []string           // the order of probes
	soon    []string           // to be probed next
	probeAt int64
	deadAt  int64
	asked   int // peers of the settings that were asked last
	probes  []*probe
	asks    []*ask
	seq     uint64
	health  int
	doubt   int64 // until when no death is declared
	digests [Shelves]uint32
	queue   []*told
	page    int
	view    View
	stale   int64 // since when the view is due for a change, 0 where it is not
	moved   int64 // when the members changed last
	events  []Event
	acts    []Act
}

// member is what is believed of another instance.
type member struct {
	Update
	contact   int64 // when it last proved to live, by whatever way
	heard     int64 // when a datagram of its own came
	ping      uint64
	rtt       int64
	out, in   way
	suspectAt int64
	lookedAt  int64 // when it was last probed from here
	checkedAt int64 // when it was last asked, before it was to be judged
}

// New returns a table that knows the peers of the settings by their names alone.
func New(now int64, c Config) *Table {
	if c.Every == 0 {
		c.Timing = DefaultTiming()
	}
	t := &Table{Config: c, rng: rand.New(rand.NewPCG(c.Seed, c.Self.Life)), now: now, began: now, ticked: now, joining: true,
		members: map[string]*member{}, pinned: map[string]string{}, through: map[string]string{}}
	t.probeAt = now + t.rng.Int64N(t.Every)
	t.Self.Incarnation = max(1, t.Self.Incarnation)
	for _, p := range c.Peers {
		if p.Name != c.Self.Name {
			t.pinned[p.Name] = p.Addr
		}
	}
	t.Peers = slices.DeleteFunc(slices.Clone(c.Peers), func(p Peer) bool { return p.Name == c.Self.Name })
	t.shelve(&t.Self)
	t.reform()
	return t
}

// NextTick is when Tick wants to be called: every tickEvery while anything is in doubt, else for the next
// probe or the next answer that is overdue. It may become sooner with each call of another method.
func (t *Table) NextTick() int64 {
	if !t.calm() {
		return t.ticked + tickEvery
	}
	next := t.probeAt
	for _, p := range t.probes {
		if m := t.members[p.name]; m != nil && !p.acked {
			next = min(next, p.at+t.direct(m))
		}
	}
	return max(next, t.ticked+tickEvery)
}

// calm reports whether nobody is in doubt, and nothing waits but answers that are not overdue.
func (t *Table) calm() bool {
	switch {
	case t.joining, t.barred > 0, t.health > 0, t.stale > 0:
		return false
	case len(t.asks) > 0, len(t.accused) > 0, len(t.soon) > 0:
		return false
	}
	return true
}

// take returns the acts gathered so far.
func (t *Table) take() []Act {
	acts := t.acts
	t.acts = nil
	return acts
}

// reach is where an instance is reached from here.
func (t *Table) reach(name string) string {
	if a := t.pinned[name]; a != "" {
		return a
	}
	if m := t.members[name]; m != nil {
		return m.Addr
	}
	return ""
}

// Locate is where a member is reached and which of its lives is believed in; false where it
// is not there.
func (t *Table) Locate(name string) (addr string, life uint64, ok bool) {
	m := t.members[name]
	if m == nil || m.State > Suspect {
		return "", 0, false
	}
	return t.reach(name), m.Life, true
}

// Size is how many members there are, this one counted, as far as is believed here.
func (t *Table) Size() int { return 1 + t.live }

// become is the one place where the state of a member changes.
func (t *Table) become(m *member, r Update) {
	t.shelve(&m.Update)
	t.shelve(&r)
	t.live += truth(r.State <= Suspect) - truth(m.State <= Suspect)
	m.Update = r
	if r.State == Suspect {
		m.suspectAt = t.now
		t.accused = append(t.accused, m.Name)
	} else {
		m.suspectAt = 0
	}
}
