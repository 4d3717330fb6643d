package membership

// This file owns the time constants and bounds of the failure detector. Times are in microseconds.

const (
	millisecond = 1_000
	second      = 1_000 * millisecond
)

// Timing is the pace of a table, in microseconds.
type Timing struct {
	ProbeInterval int64 // between two probes
	DirectTimeout int64 // how long an ack may take before indirect probes are sent
	ProbeTimeout  int64 // how long a probe may take, indirect probes included
	// A suspicion that is not refuted becomes a death after MaxSuspicionTimeout with one confirmation, and
	// after MinSuspicionTimeout with three. The minimum is the longest pause of a process that is no death,
	// and what its refutation takes to reach the others.
	MinSuspicionTimeout, MaxSuspicionTimeout int64
	// RefusedTimeout is the same where two members found that no process listens at the suspect's address.
	RefusedTimeout int64
}

// DefaultTiming is for round trips of some milliseconds within one site.
func DefaultTiming() Timing {
	return Timing{
		ProbeInterval:       200 * millisecond,
		DirectTimeout:       200 * millisecond,
		ProbeTimeout:        600 * millisecond,
		MinSuspicionTimeout: 3_200 * millisecond,
		MaxSuspicionTimeout: 6 * second,
		RefusedTimeout:      300 * millisecond,
	}
}

const (
	// tickInterval is the shortest time between two calls of Tick that the table asks for.
	tickInterval = 50 * millisecond
	// stallThreshold is how late Tick has to come to show that the local member stalled.
	stallThreshold = 450 * millisecond
	// stallGracePeriod is how long after a stall the local member raises no suspicion for silence.
	stallGracePeriod = 2 * second
	// joinTimeout is how long a starting member waits for an objection to its name.
	joinTimeout = 1 * second
	// reprobeInterval is how often a suspect is probed by those who confirm the suspicion.
	reprobeInterval = 1 * second
	// deadPingInterval is how often one of the dead is pinged.
	deadPingInterval = 500 * millisecond
	// viewSettleTime is how long the members must not change before the stable view does.
	viewSettleTime = 400 * millisecond
	// maxViewDelay is how long the stable view waits for that at most.
	maxViewDelay = 2 * second
)

const (
	// indirectProbeCount is how many members are asked to ping one that does not answer: SWIM's k.
	indirectProbeCount = 3
	// maxProbes bounds the probes in flight.
	maxProbes = 16
	// maxRelayedProbes bounds the probes in flight on behalf of other members.
	maxRelayedProbes = 64
	// decisiveRefusals is how many refused confirmations make a death that needs no verification.
	decisiveRefusals = 2
	// maxVerifications bounds the suspects that are pinged in one tick before they are declared dead.
	maxVerifications = 16
	// maxMembers bounds the names in the table: a peer that invents names fills no memory.
	maxMembers = 4096
	// maxDeadMembers bounds the dead and departed members that are remembered.
	maxDeadMembers = 1024
	// maxHealthScore bounds the local health score.
	maxHealthScore = 8
	// pathDownWeight is what failures in a row must weigh before one direction of a path counts as down: one
	// weighs handshakeFailureWeight where a handshake probe got no answer either, and else one, since packet
	// loss alone does that.
	pathDownWeight         = 14
	handshakeFailureWeight = 2
)
