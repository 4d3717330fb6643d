package membership

// This file defines the times and limits of the membership table and its failure detector. Times are in
// microseconds.

const (
	millisecond = 1_000
	second      = 1_000 * millisecond
)

// Timing holds the intervals and timeouts of a table, in microseconds.
type Timing struct {
	ProbeInterval int64 // interval at which the next probe in order and the next urgent probe, if any, start
	DirectTimeout int64 // time to wait for an ack before indirect probes are sent; directTimeout may lengthen it
	ProbeTimeout  int64 // duration of an unanswered probe, including its indirect probes; a bad health score lengthens it
	// A suspect that does not refute the suspicion is declared dead after MaxSuspicionTimeout if the suspicion has
	// one confirmation, and after MinSuspicionTimeout if it has at least three (in a cluster of up to three
	// members, at least two). A bad local health score lengthens both timeouts. MinSuspicionTimeout covers the
	// longest process pause that must not count as a death, plus the time that the refutation then takes to reach
	// the other members.
	MinSuspicionTimeout, MaxSuspicionTimeout int64
	// RefusedTimeout replaces both suspicion timeouts if at least two members found that no process listens at the
	// suspect's address. In a cluster of two, one such finding is enough, but the timeout is 5*RefusedTimeout.
	RefusedTimeout int64
}

// DefaultTiming returns the timing for one site with round-trip times of a few milliseconds.
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
	// tickInterval is the minimum time that the table requests between two calls of Tick.
	tickInterval = 50 * millisecond
	// stallThreshold is the maximum delay of a call of Tick after the time that NextTick returned. If a call is
	// later, the local process counts as stalled.
	stallThreshold = 450 * millisecond
	// stallGracePeriod is the time after a stall during which the local member suspects nobody for silence.
	stallGracePeriod = 2 * second
	// joinTimeout is the maximum time that a starting member waits for objections to its name. The ack of a member
	// that has joined ends the wait early.
	joinTimeout = 1 * second
	// reprobeInterval is the interval at which each member that confirmed a suspicion probes the suspect.
	reprobeInterval = 1 * second
	// deadPingInterval is the interval between pings to dead members and to configured peers that are not in the table.
	// Each ping goes to one of them.
	deadPingInterval = 500 * millisecond
	// viewSettleTime is the time without membership changes after which the stable view is rebuilt.
	viewSettleTime = 400 * millisecond
	// maxViewDelay is the maximum time from a membership change until the stable view is rebuilt.
	maxViewDelay = 2 * second
)

const (
	// indirectProbeCount is the maximum number of relays that are asked to ping a member that does not answer. It
	// is the parameter k of SWIM.
	indirectProbeCount = 3
	// maxProbes is the maximum number of the local member's own probes in flight, and of queued urgent probes.
	maxProbes = 16
	// maxRelayedProbes is the maximum number of probes in flight on behalf of other members.
	maxRelayedProbes = 64
	// decisiveRefusals is the number of members that must find that no process listens at a suspect's address, so
	// that the suspect is declared dead after RefusedTimeout and without verification.
	decisiveRefusals = 2
	// maxVerifications is the maximum number of suspects that are pinged for verification in one tick.
	maxVerifications = 16
	// maxMembers is the maximum number of names in the table, so that a peer that invents names cannot exhaust
	// memory.
	maxMembers = 4096
	// maxDeadMembers is the number of dead and departed members above which the table starts to remove them.
	maxDeadMembers = 1024
	// maxHealthScore is the worst local health score. The best is 0.
	maxHealthScore = 8
	// pathDownWeight is the sum of probe weights at which one direction of a path counts as down. A probe adds its
	// weight if it found this direction failing while a relay reached the member. A datagram that arrives in this
	// direction resets the sum.
	pathDownWeight = 14
	// handshakeFailureWeight is the weight of a probe whose handshake timed out too. Any other probe has weight 1,
	// because the loss of one datagram can explain its failure.
	handshakeFailureWeight = 2
)
