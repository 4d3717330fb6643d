package hollow

import (
	"fmt"
	"math/rand/v2"

	"ravenhitch/internal/membership"
	"ravenhitch/internal/peer"
)

// This file contains the simulated members: their processes, the calls into their membership, and the
// datagrams and handshakes between them. The reports of the members must be checked in judge_test.go, not here.

const (
	second = 1_000_000 // microseconds

	clusterName = "hollow"
	// handshakeTimeout is the timeout of a handshake in package peer, in microseconds.
	handshakeTimeout = 300_000
	// maxSeeds is the maximum number of members that are named in the settings of each member.
	maxSeeds = 5
	// incarnationBits is the number of low bits of an incarnation that count refutations since the start of the
	// process. The program uses the same number.
	incarnationBits = 24
)

// member is an orchestrator that runs nothing but its membership.
type member struct {
	*membership.Table
	name, address, zone string
	running             bool
	nonce               uint64 // incarnation nonce
	starts              uint64 // number of starts so far
	startedAt           int64  // virtual time of the last start, in microseconds
	nextTickAt          int64  // virtual time of the next tick of its membership, in microseconds
	// load holds the costs since the last sample. currentSecond holds the costs from the start of the current second
	// to the last sample.
	load, currentSecond load
}

// simulation connects members by a simulated network under virtual time.
type simulation struct {
	scheduler
	network     network
	random      *rand.Rand
	members     []*member
	byAddress   map[string]int // index in members
	byName      map[string]int // index in members
	meter       meter
	falseDeaths []string // descriptions of false reports of death: the member ran and was reachable
}

// newSimulation returns a simulation with n running members.
func newSimulation(n, regions, zones int, seed uint64) *simulation {
	s := &simulation{
		network:   network{regions: regions, zones: zones, random: rand.New(rand.NewPCG(seed, 1))},
		random:    rand.New(rand.NewPCG(seed, uint64(n))),
		byAddress: map[string]int{},
		byName:    map[string]int{},
		meter:     meter{clockCost: clockCost()},
	}
	for i := range n {
		s.add(i)
	}
	for i := range n {
		s.start(i)
	}
	return s
}

// add adds member i, which does not run yet.
func (s *simulation) add(i int) {
	zone := s.network.zone(i)
	added := &member{
		name:    fmt.Sprintf("orchestrator-%d", i),
		address: fmt.Sprintf("10.%d.%d.%d:7400", zone, i>>8, i&255),
		zone:    fmt.Sprintf("zone-%d", zone),
	}
	s.members = append(s.members, added)
	s.byAddress[added.address], s.byName[added.name] = i, i
}

// seeds returns the members that are named in the settings of a member that starts now: at most maxSeeds, evenly
// spread over the members.
func (s *simulation) seeds() (seeds []membership.Peer) {
	n := len(s.members)
	for k := range min(n, maxSeeds) {
		seed := s.members[k*n/min(n, maxSeeds)]
		seeds = append(seeds, membership.Peer{Name: seed.name, Addr: seed.address})
	}
	return seeds
}

// start starts the process of a member with a new incarnation nonce.
func (s *simulation) start(i int) {
	started := s.members[i]
	started.starts++
	started.running, started.nonce, started.startedAt = true, s.random.Uint64(), s.now
	started.Table = membership.New(s.now, membership.Config{
		Self: membership.Update{
			Name:        started.name,
			Zone:        started.zone,
			Addr:        started.address,
			Nonce:       started.nonce,
			Incarnation: started.starts << incarnationBits,
		},
		Peers: s.seeds(),
		Seed:  s.random.Uint64(),
	})
	s.tickAt(i, s.now+s.random.Int64N(started.NextTick()-s.now))
}

// schedule schedules the next tick that the membership of member i requests. It does nothing if a tick at the
// same or an earlier time is pending.
func (s *simulation) schedule(i int) {
	scheduled := s.members[i]
	if at := max(scheduled.NextTick(), s.now+1); scheduled.nextTickAt <= s.now || at < scheduled.nextTickAt {
		s.tickAt(i, at)
	}
}

// tickAt schedules a tick of the membership of member i. When the tick is due, it is dropped if the process has
// ended or a tick at another time has been scheduled since.
func (s *simulation) tickAt(i int, at int64) {
	ticked, nonce := s.members[i], s.members[i].nonce
	ticked.nextTickAt = at
	s.at(at, func() {
		if ticked.running && ticked.nonce == nonce && ticked.nextTickAt == at {
			s.call(i, func() []membership.Action { return ticked.Tick(s.now) })
		}
	})
}

// stop kills the process of a member.
func (s *simulation) stop(i int) { s.members[i].running = false }

// restart stops a member after a delay and starts it again after a downtime, both in microseconds.
func (s *simulation) restart(i int, delay, downtime int64) {
	s.after(delay, func() { s.stop(i) })
	s.after(delay+downtime, func() { s.start(i) })
}

// call makes a call into the membership of a member, measures its processor time, executes the returned
// actions, and checks the deaths that the member reports.
func (s *simulation) call(i int, operation func() []membership.Action) {
	called := s.members[i]
	var actions []membership.Action
	called.load.microseconds += s.meter.measure(func() { actions = operation() })
	for _, action := range actions {
		switch action := action.(type) {
		case membership.Send:
			s.send(i, action)
		case membership.HandshakeProbe:
			s.handshake(i, action)
		}
	}
	for _, e := range called.Events() {
		if e.Kind == membership.Died {
			s.checkDeath(i, e)
		}
	}
	s.schedule(i)
}

// send encodes a message as on the wire, adds the datagram to the sender's load, and delivers it after the delay of
// the network. The datagram is lost if no member has the address or if a cut separates the two members.
func (s *simulation) send(from int, action membership.Send) {
	sender := s.members[from]
	var datagram []byte
	sender.load.codec += s.meter.measure(func() {
		b, err := peer.Encode(clusterName, &action.Message)
		if err != nil {
			panic(err) // the member's table produced a message that cannot be encoded
		}
		datagram = b
	})
	sender.load.bytes += float64(len(datagram))
	sender.load.messages++
	if _, _, ok := sender.Locate(action.Message.To); !ok && sender.Size() > 1 {
		sender.load.toDead++
		sender.load.toDeadBytes += float64(len(datagram))
	}
	to, ok := s.byAddress[action.Addr]
	if !ok || !s.network.delivers(from, to, s.now) {
		return
	}
	s.after(s.network.delay(from, to), func() { s.deliver(to, datagram) })
}

// deliver passes a datagram to the membership of a member, if its process runs.
func (s *simulation) deliver(to int, datagram []byte) {
	receiver := s.members[to]
	if !receiver.running {
		return
	}
	var message *membership.Message
	receiver.load.codec += s.meter.measure(func() {
		var err error
		if message, err = peer.Decode(clusterName, datagram); err != nil {
			panic(err) // Encode produced a datagram that Decode rejects
		}
	})
	s.call(to, func() []membership.Action { return receiver.Receive(s.now, message) })
}

// handshake simulates a connection attempt and reports its result to the prober. A running process answers,
// the host of a process that does not run refuses the connection, and an attempt across a cut times out.
func (s *simulation) handshake(from int, action membership.HandshakeProbe) {
	prober := s.members[from]
	prober.load.handshakes++
	to := s.byAddress[action.Addr]
	nonce := prober.nonce
	report := func(after int64, name string, other uint64, result membership.HandshakeResult) {
		s.after(after, func() {
			if prober.running && prober.nonce == nonce {
				s.call(from, func() []membership.Action { return prober.HandshakeProbeDone(s.now, name, other, result) })
			}
		})
	}
	roundTrip := s.network.delay(from, to) + s.network.delay(to, from)
	switch target := s.members[to]; {
	case !s.network.delivers(from, to, s.now):
		report(handshakeTimeout, action.Name, 0, membership.HandshakeTimedOut)
	case !target.running:
		report(roundTrip, action.Name, 0, membership.HandshakeRefused)
	default:
		// The connection takes one round trip, and the answer takes another round trip.
		report(2*roundTrip, action.Name, target.nonce, membership.HandshakeAnswered)
	}
}
