package testbed

import (
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// This file owns the network between processes: the relays, one for each path from one process to
// another, and the conditions of each direction. It must never forward data itself; the relays do.

const (
	firstPort    = 20_000 // lowest port used; all ports used are below the range of ephemeral ports
	portCount    = 10_000
	portAttempts = 5_000
)

// portsUsed counts the ports tried by all networks of this process, so that two networks use different ports.
// Its initial value depends on the process ID, so that other processes most likely try other ports.
var portsUsed atomic.Int64

func init() { portsUsed.Store(int64(os.Getpid()) * 997) }

var errNoPort = errors.New(errorPrefix + ": no port is free")

// direction is an ordered pair of processes: the sender and the receiver.
type direction struct{ from, to string }

func (d direction) reverse() direction { return direction{d.to, d.from} }

// Network is the network between processes. All its random decisions are drawn from one seed.
type Network struct {
	mu         sync.Mutex
	changed    *sync.Cond // signalled when conditions change or the network is closed
	random     *rand.Rand
	conditions map[direction]Conditions
	addresses  map[string]string // listen address of each process, by name; "" for a process that has ended
	relays     map[direction]*relay
	changedAt  map[direction]time.Time // when the conditions of a direction last changed
	closed     bool
	// Passed is the number of forwarded datagrams and of forwarded reads from connections. Stopped is the number of
	// dropped datagrams and of reads whose data was held back by a cut.
	Passed, Stopped atomic.Int64
}

// NewNetwork returns a network without relays.
func NewNetwork(seed uint64) *Network {
	n := &Network{
		random:     rand.New(rand.NewPCG(seed, 4)),
		conditions: map[direction]Conditions{},
		addresses:  map[string]string{},
		relays:     map[direction]*relay{},
		changedAt:  map[direction]time.Time{},
	}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// Relay opens the path from one process to another. It returns the address that the sending process uses for the
// receiving process, both for connections and for datagrams. If the receiving process already has a listen address,
// datagrams pass at once, but connections are refused until the next call of SetAddress, Set or Heal.
func (n *Network) Relay(from, to string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	datagrams, err := listenFreePort()
	if err != nil {
		return "", err
	}
	r := newRelay(n, direction{from, to}, datagrams)
	n.relays[r.direction] = r
	go r.relayDatagrams()
	return r.address, nil
}

// ReserveAddress returns an address at which a process can listen now and after each restart.
func (n *Network) ReserveAddress() (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	datagrams, err := listenFreePort()
	if err != nil {
		return "", err
	}
	return datagrams.LocalAddr().String(), datagrams.Close()
}

// listenFreePort listens for datagrams on a port that is also free for connections. The port is below the range
// of ephemeral ports, so the kernel does not assign the port to another socket while no process listens on it.
func listenFreePort() (*net.UDPConn, error) {
	for range portAttempts {
		port := firstPort + int(portsUsed.Add(1))%portCount
		datagrams, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err != nil {
			continue
		}
		connections, err := net.Listen("tcp4", datagrams.LocalAddr().String())
		if err != nil {
			CloseQuietly(datagrams)
			continue
		}
		CloseQuietly(connections)
		return datagrams, nil
	}
	return nil, errNoPort
}

// SetAddress sets the listen address of a process, or "" for a process that has ended.
func (n *Network) SetAddress(name, addr string) error {
	n.mu.Lock()
	n.addresses[name] = addr
	n.mu.Unlock()
	return n.updateListeners()
}

// Set changes the conditions of one direction.
func (n *Network) Set(from, to string, change func(*Conditions)) error {
	n.mu.Lock()
	d := direction{from, to}
	conditions := n.conditions[d]
	change(&conditions)
	n.conditions[d] = conditions
	n.changedAt[d] = time.Now()
	n.changed.Broadcast()
	n.mu.Unlock()
	return n.updateListeners()
}

// Heal restores healthy conditions in all directions.
func (n *Network) Heal() error {
	n.mu.Lock()
	for d := range n.conditions {
		n.changedAt[d] = time.Now()
	}
	clear(n.conditions)
	n.changed.Broadcast()
	n.mu.Unlock()
	return n.updateListeners()
}

// Reset resets the open connections from one process to another.
func (n *Network) Reset(from, to string) {
	n.mu.Lock()
	r := n.relays[direction{from, to}]
	n.mu.Unlock()
	if r != nil {
		r.resetConnections()
	}
}

// Close closes all relays.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	clear(n.conditions)
	n.changed.Broadcast()
	relays := n.relays
	n.mu.Unlock()
	for _, r := range relays {
		r.close()
	}
}

// Open reports whether a direction is neither cut nor set to refuse connections. Flapping and random loss don't count
// as a cut.
func (n *Network) Open(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	conditions := n.conditions[direction{from, to}]
	return !conditions.Cut && !conditions.Refuse
}

// Has reports whether there is a path between two processes in at least one direction.
func (n *Network) Has(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := direction{from, to}
	return n.relays[d] != nil || n.relays[d.reverse()] != nil
}

// WasHealthy reports whether neither direction between two processes has had a fault since the given time.
func (n *Network) WasHealthy(a, b string, since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := direction{a, b}
	for _, d := range []direction{d, d.reverse()} {
		if n.conditions[d] != (Conditions{}) || n.changedAt[d].After(since) {
			return false
		}
	}
	return true
}

// path returns the conditions of a direction and the listen address of its receiver.
func (n *Network) path(d direction) (conditions Conditions, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conditions[d], n.addresses[d.to]
}

// drawEvent decides at random, with the given probability, whether an event happens.
func (n *Network) drawEvent(probability float64) bool {
	if probability <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64() < probability
}

// delay returns the time that a number of bytes takes to arrive: the constant delay, a random jitter, and the
// time that the bandwidth requires.
func (n *Network) delay(c Conditions, bytes int) time.Duration {
	d := c.Delay
	if c.Jitter > 0 {
		n.mu.Lock()
		d += time.Duration(n.random.Int64N(int64(c.Jitter)))
		n.mu.Unlock()
	}
	if c.Bandwidth > 0 {
		d += time.Duration(bytes) * time.Second / time.Duration(c.Bandwidth)
	}
	return d
}

// updateListeners makes each relay accept or refuse connections according to the current
// conditions and listen addresses.
func (n *Network) updateListeners() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for d, r := range n.relays {
		if err := r.setListening(n.addresses[d.to] != "" && !n.conditions[d].Refuse && !n.closed); err != nil {
			return err
		}
	}
	return nil
}

// flapPoll is the interval at which waitOpen checks a flapping direction.
const flapPoll = 10 * time.Millisecond

// waitOpen waits while a direction is cut. It returns false if the network is closed.
func (n *Network) waitOpen(d direction) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for !n.closed && n.conditions[d].isCut(time.Now()) {
		if n.conditions[d].Flap > 0 { // no signal announces the start of an open period, so poll
			n.mu.Unlock()
			time.Sleep(flapPoll)
			n.mu.Lock()
			continue
		}
		n.changed.Wait()
	}
	return !n.closed
}
