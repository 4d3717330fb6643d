package hollow

import (
	"fmt"
	"math/rand/v2"

	"ravenhitch/internal/membership"
	"ravenhitch/internal/peer"
)

const (
	second = 1_000_000

	cluster = "hollow"
	// handshakeTimeout is that of package peer.
	handshakeTimeout = 300_000
	// seedsMost is how many other instances the settings of each name.
	seedsMost = 5
	// incarnationBits are those of an incarnation that are kept for refutations within one
	// start, as the program has it.
	incarnationBits = 24
)

// instance is one orchestrator of which nothing runs but its membership.
type instance struct {
	*membership.Table
	name, address, zone string
	running             bool
	life                uint64
	starts              uint64
	startedAt           int64
	tickDue             int64 // when its membership is called next
	load, second        load  // since the last sample; in the present second
}

// fleet is instances joined by a network, under passed time.
type fleet struct {
	scheduler
	network   network
	rng       *rand.Rand
	instances []*instance
	byAddress map[string]int
	byName    map[string]int
	meter     meter
	wrong     []string // deaths that the network does not excuse
}

func newFleet(n, regions, zones int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, uint64(n))), byAddress: map[string]int{}, byName: map[string]int{}, meter: meter{clockCost: clockCost()}}
	f.network = network{regions: regions, zones: zones, rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range n {
		f.add(i)
	}
	for i := range n {
		f.start(i)
	}
	return f
}

// add makes an instance that does not run yet.
func (f *fleet) add(i int) {
	x := &instance{name: fmt.Sprintf("orchestrator-%d", i), address: fmt.Sprintf("10.%d.%d.%d:7400", f.network.zone(i), i>>8, i&255),
		zone: fmt.Sprintf("zone-%d", f.network.zone(i))}
	f.instances = append(f.instances, x)
	f.byAddress[x.address], f.byName[x.name] = i, i
}

// seeds are the instances that the settings of every instance name.
func (f *fleet) seeds() (out []membership.Peer) {
	n := len(f.instances)
	for k := range min(n, seedsMost) {
		x := f.instances[k*n/min(n, seedsMost)]
		out = append(out, membership.Peer{Name: x.name, Addr: x.address})
	}
	return out
}

// start starts the process of an instance, with a life of its own.
func (f *fleet) start(i int) {
	x := f.instances[i]
	x.starts++
	x.running, x.life, x.startedAt = true, f.rng.Uint64(), f.now
	x.Table = membership.New(f.now, membership.Config{
		Self:  membership.Update{Name: x.name, Zone: x.zone, Addr: x.address, Life: x.life, Incarnation: x.starts << incarnationBits},
		Peers: f.seeds(), Seed: f.rng.Uint64()})
	f.tickAt(i, f.now+f.rng.Int64N(x.NextTick()-f.now))
}

// schedule has the membership of an instance called when it wants to be, unless that is due sooner.
func (f *fleet) schedule(i int) {
	x := f.instances[i]
	if at := max(x.NextTick(), f.now+1); x.tickDue <= f.now || at < x.tickDue {
		f.tickAt(i, at)
	}
}

// tickAt calls the membership of an instance at a time, if no other time is set until then.
func (f *fleet) tickAt(i int, at int64) {
	x, life := f.instances[i], f.instances[i].life
	x.tickDue = at
	f.at(at, func() {
		if x.running && x.life == life && x.tickDue == at {
			f.call(i, func() []membership.Act { return x.Tick(f.now) })
		}
	})
}

// stop ends the process of an instance without a word.
func (f *fleet) stop(i int) { f.instances[i].running = false }

// restart stops an instance after a delay and starts it again.
func (f *fleet) restart(i int, delay, away int64) {
	f.after(delay, func() { f.stop(i) })
	f.after(delay+away, func() { f.start(i) })
}

// call calls into the membership of an instance, measures that, and does what it wants done.
func (f *fleet) call(i int, into func() []membership.Act) {
	x := f.instances[i]
	var acts []membership.Act
	x.load.microseconds += f.meter.measure(func() { acts = into() })
	for _, act := range acts {
		switch act := act.(type) {
		case membership.Send:
			f.send(i, act)
		case membership.HandshakeProbe:
			f.handshake(i, act)
		}
	}
	for _, e := range x.Events() {
		if e.Kind == membership.Died {
			f.judge(i, e)
		}
	}
	f.schedule(i)
}

// send carries a datagram in the form that it has on the wire.
func (f *fleet) send(from int, act membership.Send) {
	x := f.instances[from]
	var datagram []byte
	x.load.codec += f.meter.measure(func() {
		b, err := peer.Encode(cluster, &act.Message)
		if err != nil {
			panic(err) // the table made a message that has no form
		}
		datagram = b
	})
	x.load.bytes += float64(len(datagram))
	x.load.messages++
	if _, _, ok := x.Locate(act.Message.To); !ok && x.Size() > 1 {
		x.load.toDead++
		x.load.toDeadBytes += float64(len(datagram))
	}
	to, ok := f.byAddress[act.Addr]
	if !ok || !f.network.carries(from, to, f.now) {
		return
	}
	f.after(f.network.delay(from, to), func() { f.deliver(to, datagram) })
}

// deliver hands a datagram to whoever runs at its address.
func (f *fleet) deliver(to int, datagram []byte) {
	x := f.instances[to]
	if !x.running {
		return
	}
	var m *membership.Message
	x.load.codec += f.meter.measure(func() {
		var err error
		if m, err = peer.Decode(cluster, datagram); err != nil {
			panic(err) // Encode made a datagram that Decode refuses
		}
	})
	f.call(to, func() []membership.Act { return x.Receive(f.now, m) })
}

// handshake tries a connection: the process that listens greets, the machine of one that
// does not run refuses, and over a cut nothing comes back.
func (f *fleet) handshake(from int, act membership.HandshakeProbe) {
	x := f.instances[from]
	x.load.handshakes++
	to := f.byAddress[act.Addr]
	life := x.life
	tell := func(after int64, name string, other uint64, result membership.HandshakeResult) {
		f.after(after, func() {
			if x.running && x.life == life {
				f.call(from, func() []membership.Act { return x.HandshakeProbed(f.now, name, other, result) })
			}
		})
	}
	roundTrip := f.network.delay(from, to) + f.network.delay(to, from)
	switch o := f.instances[to]; {
	case !f.network.carries(from, to, f.now):
		tell(handshakeTimeout, act.Name, 0, membership.Silent)
	case !o.running:
		tell(roundTrip, act.Name, 0, membership.Refused)
	default: // one round trip to connect, one to greet
		tell(2*roundTrip, act.Name, o.life, membership.Answered)
	}
}
