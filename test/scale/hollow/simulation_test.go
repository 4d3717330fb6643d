package hollow

import (
	"fmt"
	"math/rand/v2"

	"ravenhitch/internal/membership"
	"ravenhitch/internal/peer"
)

// This file owns the simulated members: their processes, the calls into their membership, and the
// datagrams and handshakes between them. It must never judge what they report.

const (
	second = 1_000_000

	clusterName = "hollow"
	// handshakeTimeout is that of package peer.
	handshakeTimeout = 300_000
	// maxSeeds is how many members the settings of each name.
	maxSeeds = 5
	// incarnationBits are the low bits of an incarnation, which count the refutations within one
	// start, as in the program.
	incarnationBits = 24
)

// member is one orchestrator of which nothing runs but its membership.
type member struct {
	*membership.Table
	name, address, zone string
	running             bool
	nonce               uint64
	starts              uint64
	startedAt           int64
	nextTickAt          int64 // when its membership is ticked next
	load, currentSecond load  // since the last sample; in the current second
}

// simulation is members joined by a network, under virtual time.
type simulation struct {
	scheduler
	network     network
	random      *rand.Rand
	members     []*member
	byAddress   map[string]int
	byName      map[string]int
	meter       meter
	falseDeaths []string // deaths reported of members that ran and were reachable
}

// newSimulation starts n members.
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

// add adds a member that does not run yet.
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

// seeds are the members that the settings of every member name.
func (s *simulation) seeds() (seeds []membership.Peer) {
	n := len(s.members)
	for k := range min(n, maxSeeds) {
		seed := s.members[k*n/min(n, maxSeeds)]
		seeds = append(seeds, membership.Peer{Name: seed.name, Addr: seed.address})
	}
	return seeds
}

// start starts the process of a member, with an incarnation nonce of its own.
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

// schedule lets the membership of a member tick when it asks for that, unless a tick is due sooner.
func (s *simulation) schedule(i int) {
	scheduled := s.members[i]
	if at := max(scheduled.NextTick(), s.now+1); scheduled.nextTickAt <= s.now || at < scheduled.nextTickAt {
		s.tickAt(i, at)
	}
}

// tickAt lets the membership of a member tick at a time, if no other time is set until then.
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

// restart stops a member after a delay and starts it again after a downtime.
func (s *simulation) restart(i int, delay, downtime int64) {
	s.after(delay, func() { s.stop(i) })
	s.after(delay+downtime, func() { s.start(i) })
}

// call calls into the membership of a member, measures that, and carries out its acts.
func (s *simulation) call(i int, into func() []membership.Action) {
	called := s.members[i]
	var acts []membership.Action
	called.load.microseconds += s.meter.measure(func() { acts = into() })
	for _, act := range acts {
		switch act := act.(type) {
		case membership.Send:
			s.send(i, act)
		case membership.HandshakeProbe:
			s.handshake(i, act)
		}
	}
	for _, e := range called.Events() {
		if e.Kind == membership.Died {
			s.judgeDeath(i, e)
		}
	}
	s.schedule(i)
}

// send carries a datagram in the form that it has on the wire.
func (s *simulation) send(from int, act membership.Send) {
	sender := s.members[from]
	var datagram []byte
	sender.load.codec += s.meter.measure(func() {
		b, err := peer.Encode(clusterName, &act.Message)
		if err != nil {
			panic(err) // the table made a message that can't be encoded
		}
		datagram = b
	})
	sender.load.bytes += float64(len(datagram))
	sender.load.messages++
	if _, _, ok := sender.Locate(act.Message.To); !ok && sender.Size() > 1 {
		sender.load.toDead++
		sender.load.toDeadBytes += float64(len(datagram))
	}
	to, ok := s.byAddress[act.Addr]
	if !ok || !s.network.carries(from, to, s.now) {
		return
	}
	s.after(s.network.delay(from, to), func() { s.deliver(to, datagram) })
}

// deliver hands a datagram to the member at its address, if that runs.
func (s *simulation) deliver(to int, datagram []byte) {
	receiver := s.members[to]
	if !receiver.running {
		return
	}
	var message *membership.Message
	receiver.load.codec += s.meter.measure(func() {
		var err error
		if message, err = peer.Decode(clusterName, datagram); err != nil {
			panic(err) // Encode made a datagram that Decode rejects
		}
	})
	s.call(to, func() []membership.Action { return receiver.Receive(s.now, message) })
}

// handshake tries a connection: a process that listens answers, the host of one that does not
// run refuses, and across a partition nothing comes back.
func (s *simulation) handshake(from int, act membership.HandshakeProbe) {
	prober := s.members[from]
	prober.load.handshakes++
	to := s.byAddress[act.Addr]
	nonce := prober.nonce
	report := func(after int64, name string, other uint64, result membership.HandshakeResult) {
		s.after(after, func() {
			if prober.running && prober.nonce == nonce {
				s.call(from, func() []membership.Action { return prober.HandshakeProbed(s.now, name, other, result) })
			}
		})
	}
	roundTrip := s.network.delay(from, to) + s.network.delay(to, from)
	switch target := s.members[to]; {
	case !s.network.carries(from, to, s.now):
		report(handshakeTimeout, act.Name, 0, membership.HandshakeTimedOut)
	case !target.running:
		report(roundTrip, act.Name, 0, membership.HandshakeRefused)
	default: // one round trip to connect, one for the answer
		report(2*roundTrip, act.Name, target.nonce, membership.HandshakeAnswered)
	}
}
