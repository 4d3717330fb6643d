package testbed

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// This file owns the network between processes: a relay for each ordered pair, for
// datagrams and connections under one port, each direction with its own conditions. What
// a connection carries into a cut waits and arrives once that heals; a datagram is gone.
// Where no process is at the far end, its relays refuse, as its machine would.

// Conditions are those of one direction.
type Conditions struct {
	Cut                   bool          // nothing passes, and nobody is told
	Refuse                bool          // connections are refused, datagrams lost
	Delay, Jitter         time.Duration // of what passes
	Loss, Twice, Overtake float64       // shares of datagrams lost, doubled, held back behind later ones
	Bandwidth             int           // bytes a second, 0: no bound
	Flap                  time.Duration // cut for so long, open for so long, from Since on
	Since                 time.Time
}

func (c Conditions) shut(now time.Time) bool {
	return c.Cut || c.Flap > 0 && now.Sub(c.Since)/c.Flap%2 == 0
}

// ports counts the ports that were given out, of all nets of this process: each has its
// own. It begins where other processes are not likely to.
var ports atomic.Int64

func init() { ports.Store(int64(os.Getpid()) * 997) }

type pair struct{ from, to string }

// Network is the network. Its chances are drawn from one seed.
type Network struct {
	mu     sync.Mutex
	turned *sync.Cond // conditions changed, or the net is closed
	rng    *rand.Rand
	ways   map[pair]Conditions
	real   map[string]string // where each process listens, "" where none does
	relays map[pair]*relay
	healed map[pair]time.Time // when a direction last carried again
	closed bool
	// Passed and Stopped count what got through and what did not, of datagrams and of
	// pieces of connections.
	Passed, Stopped atomic.Int64
}

// NewNetwork returns a net without relays.
func NewNetwork(seed uint64) *Network {
	n := &Network{rng: rand.New(rand.NewPCG(seed, 4)), ways: map[pair]Conditions{}, real: map[string]string{},
		relays: map[pair]*relay{}, healed: map[pair]time.Time{}}
	n.turned = sync.NewCond(&n.mu)
	return n
}

type relay struct {
	pair
	n     *Network
	addr  string
	udp   *net.UDPConn
	mu    sync.Mutex
	tcp   net.Listener // nil while it refuses
	conns map[net.Conn]bool
}

// Relay opens the way from one process to another and returns where it begins.
func (n *Network) Relay(from, to string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	udp, err := n.port4()
	if err != nil {
		return "", err
	}
	r := &relay{pair: pair{from, to}, n: n, udp: udp, addr: udp.LocalAddr().String(), conns: map[net.Conn]bool{}}
	n.relays[r.pair] = r
	go r.datagrams()
	return r.addr, nil
}

// Place returns an address at which a process can listen, now and when it is started again.
func (n *Network) Place() (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	udp, err := n.port4()
	if err != nil {
		return "", err
	}
	return udp.LocalAddr().String(), udp.Close()
}

// port4 finds a port that is free for datagrams and for connections, below those that the
// system gives out by itself: one that is closed for a while is still free afterwards.
func (n *Network) port4() (*net.UDPConn, error) {
	for range 5_000 {
		port := 20_000 + int(ports.Add(1))%10_000
		udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err != nil {
			continue
		}
		tcp, err := net.Listen("tcp4", udp.LocalAddr().String())
		if err != nil {
			udp.Close()
			continue
		}
		tcp.Close()
		return udp, nil
	}
	return nil, errors.New("standin: no port is free")
}

// Point says where a process listens from now on; "" where it has ended.
func (n *Network) Point(name, addr string) error {
	n.mu.Lock()
	n.real[name] = addr
	n.mu.Unlock()
	return n.listen()
}

// Set changes the conditions of one direction.
func (n *Network) Set(from, to string, change func(*Conditions)) error {
	n.mu.Lock()
	c := n.ways[pair{from, to}]
	change(&c)
	n.ways[pair{from, to}] = c
	n.healed[pair{from, to}] = time.Now()
	n.turned.Broadcast()
	n.mu.Unlock()
	return n.listen()
}

// Heal ends all conditions.
func (n *Network) Heal() error {
	n.mu.Lock()
	for p := range n.ways {
		n.healed[p] = time.Now()
	}
	clear(n.ways)
	n.turned.Broadcast()
	n.mu.Unlock()
	return n.listen()
}

// Reset ends the connections of one ordered pair with a reset.
func (n *Network) Reset(from, to string) {
	n.mu.Lock()
	r := n.relays[pair{from, to}]
	n.mu.Unlock()
	if r != nil {
		r.reset()
	}
}

// Close ends all relays.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	clear(n.ways)
	n.turned.Broadcast()
	relays := n.relays
	n.mu.Unlock()
	for _, r := range relays {
		r.udp.Close()
		r.mu.Lock()
		if r.tcp != nil {
			r.tcp.Close()
		}
		r.mu.Unlock()
		r.reset()
	}
}

// Open says whether a direction carries, but for chance and for flapping.
func (n *Network) Open(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.ways[pair{from, to}]
	return !c.Cut && !c.Refuse
}

// Has reports whether there is a way from one to another.
func (n *Network) Has(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.relays[pair{from, to}] != nil || n.relays[pair{to, from}] != nil
}

// WasHealthy reports whether nothing was wrong between two since a time, in either direction.
func (n *Network) WasHealthy(a, b string, since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range []pair{{a, b}, {b, a}} {
		if n.ways[p] != (Conditions{}) || n.healed[p].After(since) {
			return false
		}
	}
	return true
}

// way is the conditions of a direction and where it leads.
func (n *Network) way(from, to string) (Conditions, string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ways[pair{from, to}], n.real[to]
}

func (n *Network) chance(p float64) bool {
	if p <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < p
}

func (n *Network) delay(c Conditions, bytes int) time.Duration {
	d := c.Delay
	if c.Jitter > 0 {
		n.mu.Lock()
		d += time.Duration(n.rng.Int64N(int64(c.Jitter)))
		n.mu.Unlock()
	}
	if c.Bandwidth > 0 {
		d += time.Duration(bytes) * time.Second / time.Duration(c.Bandwidth)
	}
	return d
}

// listen has each relay take connections, or refuse them, as is so now.
func (n *Network) listen() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p, r := range n.relays {
		if err := r.listen(n.real[p.to] != "" && !n.ways[p].Refuse && !n.closed); err != nil {
			return err
		}
	}
	return nil
}

func (r *relay) listen(on bool) (err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case on && r.tcp == nil:
		// A process that is just being started holds a copy of what was closed a moment ago.
		for range 200 {
			if r.tcp, err = net.Listen("tcp4", r.addr); !errors.Is(err, syscall.EADDRINUSE) {
				break
			}
			time.Sleep(time.Millisecond)
		}
		if err != nil {
			r.tcp = nil
			return fmt.Errorf("standin: the relay from %s to %s: %w", r.from, r.to, err)
		}
		go r.accept(r.tcp)
	case !on && r.tcp != nil:
		r.tcp.Close()
		r.tcp = nil
		go r.reset()
	}
	return nil
}

func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	clear(r.conns)
}

func (r *relay) datagrams() {
	buf := make([]byte, 64<<10)
	out, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return
	}
	defer out.Close()
	for {
		k, err := r.udp.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		c, to := r.n.way(r.from, r.to)
		if to == "" || c.Refuse || c.shut(time.Now()) || r.n.chance(c.Loss) {
			r.n.Stopped.Add(1)
			continue
		}
		r.n.Passed.Add(1)
		copies := 1
		if r.n.chance(c.Twice) {
			copies = 2
		}
		addr, err := net.ResolveUDPAddr("udp4", to)
		if err != nil {
			continue
		}
		for range copies {
			d := r.n.delay(c, k)
			if r.n.chance(c.Overtake) {
				d += 2*c.Delay + 20*time.Millisecond
			}
			b := append([]byte(nil), buf[:k]...)
			if d == 0 {
				out.WriteToUDP(b, addr)
			} else {
				time.AfterFunc(d, func() { out.WriteToUDP(b, addr) })
			}
		}
	}
}

func (r *relay) accept(ln net.Listener) {
	for {
		a, err := ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[a] = true
		r.mu.Unlock()
		go r.join(a)
	}
}

// join leads a connection on, once both directions carry.
func (r *relay) join(a net.Conn) {
	defer r.drop(a)
	if !r.n.through(r.from, r.to) || !r.n.through(r.to, r.from) {
		return
	}
	_, to := r.n.way(r.from, r.to)
	b, err := net.DialTimeout("tcp4", to, time.Second)
	if err != nil {
		a.(*net.TCPConn).SetLinger(0)
		return
	}
	r.mu.Lock()
	r.conns[b] = true
	r.mu.Unlock()
	defer r.drop(b)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.carry(b, a, r.to, r.from)
	}()
	r.carry(a, b, r.from, r.to)
	<-done
}

func (r *relay) drop(c net.Conn) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	c.Close()
}

// through waits while a direction is cut; it reports whether the net is still there.
func (n *Network) through(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for !n.closed && n.ways[pair{from, to}].shut(time.Now()) {
		if n.ways[pair{from, to}].Flap > 0 { // nobody tells of its turns
			n.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			n.mu.Lock()
			continue
		}
		n.turned.Wait()
	}
	return !n.closed
}

// carry carries what one side of a connection sends, until it ends.
func (r *relay) carry(a, b net.Conn, from, to string) {
	buf := make([]byte, 16<<10)
	for {
		k, err := a.Read(buf)
		if k > 0 {
			if c, _ := r.n.way(from, to); c.shut(time.Now()) {
				r.n.Stopped.Add(1)
			}
			if !r.n.through(from, to) {
				break
			}
			c, _ := r.n.way(from, to)
			time.Sleep(r.n.delay(c, k))
			r.n.Passed.Add(1)
			if _, err := b.Write(buf[:k]); err != nil {
				break
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				b.(*net.TCPConn).SetLinger(0)
			}
			break
		}
	}
	a.Close()
	b.Close()
}
