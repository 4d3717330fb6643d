// Package membership is the membership table and failure detector of one orchestrator, after SWIM
// (Das, Gupta, Motivala 2002) with the extensions of Lifeguard (Dadgar, Phillips, Currey 2017). It maintains
// the local member's records of the other members: the state of each (alive, suspected, dead, or left
// intentionally), its incarnation, and whether the direct path to it works. From these records it derives the
// stable view of the cluster that the rest of the program uses.
//
// The package uses no sockets, clocks or goroutines. The caller passes the current time in microseconds. Only
// the local member's time is used, so a wrong clock on another member does no harm. All random draws depend only on
// the seed and the incarnation nonce in the [Config]. Methods return the operations to perform as a list of [Action]
// values. The caller performs them, and passes received messages to [Table.Receive] and the results of handshake
// probes to [Table.HandshakeProbeDone].
//
// Invariants: the table declares a member dead only if the local member has not reached it for an entire suspicion
// timeout, whatever other members report. Silence that a stall of the local process may have caused is not evidence
// of a death.
package membership

// State tells whether a member is alive, suspected or dead, or has left, as far as the local member knows.
type State uint8

// The states of a member. For the same incarnation, a later state in this list overrides an earlier one. The exception
// is a death that another member declared: it counts only as confirmations of a suspicion.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String returns the name that the status report shows for the state.
func (s State) String() string { return [...]string{"alive", "suspected", "dead", "left"}[s&3] }

// Confirmation records that a member cannot reach a suspected member.
type Confirmation struct {
	Name, Zone string // name and zone of the member that cannot reach the suspect
	Refused    bool   // whether the suspect's host refused the handshake probe: no process listens at the address
}

// Update is a gossip update: the state of one member at one incarnation.
type Update struct {
	Name, Zone, Addr string
	// Nonce is the incarnation nonce. Each process draws one when it starts, which distinguishes two processes
	// that use the same name.
	Nonce uint64
	// Incarnation increases each time the member refutes that it is suspected, dead or departed. It also increases when
	// the member takes over its name from a process that no longer runs and whose incarnation is not lower. If the
	// settings name a directory in which the starts are counted, each start of the process increases it as well.
	Incarnation   uint64
	State         State
	Confirmations []Confirmation // confirmations of the suspicion
}

// overrides reports whether the update has a higher incarnation than the other update of the same member. If
// the incarnations are equal, the update with the greater nonce overrides the other.
func (u *Update) overrides(other *Update) bool {
	return u.Incarnation > other.Incarnation || u.Incarnation == other.Incarnation && u.Nonce > other.Nonce
}

// Peer is a member named in the settings.
type Peer struct{ Name, Addr string }

// Config is the initial configuration of a table.
type Config struct {
	Self Update
	// Peers are pinged while the local member joins, while another process owns its name, and while no other member
	// is alive or suspected. Otherwise, peers that are dead or not in the table are pinged from time to time. The
	// addresses in Peers take precedence over those in updates.
	Peers []Peer
	Seed  uint64
	Timing
}
