// Package membership is the membership table and failure detector of one orchestrator, after SWIM
// (Das, Gupta, Motivala 2002) with the extensions of Lifeguard (Dadgar, Phillips, Currey 2017). It owns
// what the local member believes of the others: who is a member, alive, suspected, dead, gone on purpose,
// or back as another incarnation; which direct paths between them work; and the stable view that the rest
// of the program may build on.
//
// It is pure: no socket, no clock, no goroutine. Time is passed in, in microseconds, and is the local
// member's alone: no other member's time is ever read, so a clock that was set wrong does no harm. All
// random draws come from one seed. What the table wants done it returns as acts; their results are handed
// to [Table.Receive] and [Table.HandshakeProbed].
//
// It must never declare a member dead on the word of one that cannot reach it while the local member can,
// nor for a silence that the local member may have caused itself.
package membership

// State is what is believed of a member.
type State uint8

// The states, in the order in which one overrides another of the same incarnation.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String is the state as the status report and the log have it.
func (s State) String() string { return [...]string{"alive", "suspected", "dead", "left"}[s&3] }

// Confirmation confirms a suspicion: one more member that cannot reach the suspect.
type Confirmation struct {
	Name, Zone string
	Refused    bool // the suspect's host refused the connection: no process listens there
}

// Update is a gossip update: the state of one member at one incarnation.
type Update struct {
	Name, Zone, Addr string
	// Nonce is the incarnation nonce: it is drawn anew at each start of a process, and tells two processes
	// under one name apart.
	Nonce uint64
	// Incarnation grows at each start, and whenever a member refutes a suspicion.
	Incarnation   uint64
	State         State
	Confirmations []Confirmation // of a suspicion
}

// overrides reports whether the update is of a later incarnation of the member than another, or of the
// process with the greater nonce where two claim the same incarnation.
func (u *Update) overrides(other *Update) bool {
	return u.Incarnation > other.Incarnation || u.Incarnation == other.Incarnation && u.Nonce > other.Nonce
}

// Peer is a member named in the settings.
type Peer struct{ Name, Addr string }

// Config is what a table begins with.
type Config struct {
	Self  Update
	Peers []Peer // who may be pinged first; their addresses take precedence over those in updates
	Seed  uint64
	Timing
}
