package membership

// This file is the simulated fleet: tables joined by links that fail by a schedule drawn
// from a seed, on one clock. It judges them by what the schedule did, which no table sees.

import (
	"container/heap"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
)


// timerLate is by how much any timer may be late.
const timerLate = 1000

// fault is one thing that a schedule does, from at until until.
type fault struct {
	kind      string // kill, vanish, pause, oneway, refuse, cut, loss, flap, slow, restart, empty, leave
	a, b      int
	at, until int64
	p         float64
}

func (f fault) String() string {
	return fmt.Sprintf("%.1fs-%.1fs %s %d->%d %.2f", float64(f.at)/second, float64(f.until)/second, f.kind, f.a, f.b, f.p)
}

type instance struct {
	*Table
	up, left    bool
	vanished    bool
	pausedUntil int64
	pausedFor   int64
	lives       uint64
	diedAt      int64
	kept        uint64 // the incarnation that its folder holds
	disturbed   int64  // until when it may rightly be taken for dead
	as          string // its name, where it has that of another
	tickAt      int64  // when its table is called next
	ticks       int    // calls so far
	said        map[EventKind]int
}

type event struct {
	at, n int64
	f     func()
}
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	o := *h
	e := o[len(o)-1]
	*h = o[:len(o)-1]
	return e
}

// fleet is the simulated fleet, and what it showed.
type fleet struct {
	rng     *rand.Rand
	now, n  int64
	queue   events
	all     []*instance
	byAddr  map[string]int
	zones   int
	faults  []fault
	delay   int64
	bytes   int64
	wrong   []string           // broken rules
	detect  map[string][]int64 // by kind of death
	missed  int
	oneWay  map[int]bool // faults found by either end
	changes int64
	seen    map[[2]uint64]int // who has declared which life dead
	// transcript is written whatever the members send, ask for and report; nil where nobody reads it.
	transcript io.Writer
}

func newFleet(n int, seed uint64, faults []fault) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 3)), byAddr: map[string]int{}, zones: max(1, min(4, n/3)), faults: faults,
		delay: 1000, oneWay: map[int]bool{}, seen: map[[2]uint64]int{}, detect: map[string][]int64{}}
	for i := range n {
		f.all = append(f.all, &instance{})
		f.byAddr[addrOf(i)] = i
	}
	for i := range n {
		f.start(i)
	}
	for i, x := range faults {
		f.at(x.at, func() { f.begin(i, x) })
	}
	return f
}

func name(i int) string   { return fmt.Sprintf("n%d", i) }
func addrOf(i int) string { return fmt.Sprintf("127.0.0.1:%d", 7000+i) }

func (f *fleet) zone(i int) int { return i % f.zones }

func (f *fleet) at(t int64, do func()) {
	f.n++
	heap.Push(&f.queue, event{t, f.n, do})
}

// intruder starts a further process under the name of another.
func (f *fleet) intruder(of int) *instance {
	i := len(f.all)
	f.all = append(f.all, &instance{as: name(of)})
	f.byAddr[addrOf(i)] = i
	f.start(i)
	return f.all[i]
}

func (f *fleet) start(i int) {
	x := f.all[i]
	x.lives++
	var peers []Peer
	for k := range min(len(f.all), 5) {
		j := (k * len(f.all) / 5) % len(f.all)
		peers = append(peers, Peer{name(j), addrOf(j)})
	}
	as := name(i)
	if x.as != "" {
		as = x.as
	}
	x.Table = New(f.now, Config{Self: Update{Name: as, Zone: fmt.Sprint("hall-", f.zone(i)), Addr: addrOf(i),
		Life: f.rng.Uint64(), Incarnation: x.kept + 1}, Peers: peers, Seed: f.rng.Uint64()})
	x.up, x.left, x.vanished, x.pausedUntil = true, false, false, 0
	x.tickAt = 0
	f.tickAt(i, f.now+f.rng.Int64N(tickInterval))
}

// schedule has the table called when it wants to be, unless that is due sooner already.
func (f *fleet) schedule(i int) {
	x := f.all[i]
	if at := max(x.NextTick(), f.now+1) + f.rng.Int64N(timerLate) + f.lateness(i); x.tickAt <= f.now || at < x.tickAt {
		f.tickAt(i, at)
	}
}

// tickAt calls the table at a time, if no other time is set until then.
func (f *fleet) tickAt(i int, at int64) {
	x, life := f.all[i], f.all[i].lives
	x.tickAt = at
	f.at(at, func() {
		switch {
		case !x.up || x.lives != life || x.tickAt != at:
		case x.pausedUntil > f.now:
			f.tickAt(i, x.pausedUntil+1)
		default:
			x.ticks++
			f.do(i, x.Tick(f.now))
			f.read(i)
		}
	})
}

// lateness is what an overloaded instance adds to each of its turns.
func (f *fleet) lateness(i int) int64 {
	for _, x := range f.active("slow") {
		if x.a == i {
			return f.rng.Int64N(400_000)
		}
	}
	return 0
}

func (f *fleet) active(kind string) (out []fault) {
	for _, x := range f.faults {
		if x.kind == kind && x.at <= f.now && f.now < x.until {
			out = append(out, x)
		}
	}
	return out
}

func (f *fleet) begin(i int, x fault) {
	if x.a < 0 || x.kind == "cut" {
		return
	}
	a := f.all[x.a]
	switch x.kind {
	case "kill", "vanish":
		if a.up {
			a.up, a.vanished, a.diedAt = false, x.kind == "vanish", f.now
			a.kept = a.Self.Incarnation
			life := a.Self.Life
			f.at(f.now+12*second, func() { f.mustBeDead(x, life) })
		}
	case "pause":
		a.pausedUntil, a.pausedFor = x.until, x.until-x.at
		if a.pausedFor >= 3*second {
			a.disturbed = x.until + 2*second
		}
	case "restart", "empty":
		if a.up {
			a.kept = a.Self.Incarnation
			if a.up = false; x.kind == "empty" {
				a.kept = 0
			}
			a.disturbed = x.until + 2*second
			f.at(x.until, func() { f.start(x.a) })
		}
	case "leave":
		if a.up {
			f.do(x.a, a.Leave(f.now))
			f.at(f.now+300_000, func() { a.up, a.left = false, true })
		}
	}
}

func (f *fleet) mustBeDead(x fault, life uint64) {
	for j, o := range f.all {
		if !o.up || j == x.a || o.disturbed > f.now-6*second || o.joining {
			continue
		}
		if m := o.members[name(x.a)]; m != nil && m.Life == life && m.State <= Suspect {
			f.missed++
			f.wrong = append(f.wrong, fmt.Sprintf("%s still holds %s for %s, %s after its end", name(j), name(x.a), m.State, inMilliseconds(f.now-x.at)))
		}
	}
}

// open says whether the way from a to b carries at a time, but for chance.
func (f *fleet) open(a, b int, at int64, flaps bool) bool {
	for _, x := range f.faults {
		if x.at > at || at >= x.until {
			continue
		}
		switch x.kind {
		case "oneway", "refuse":
			if x.a == a && x.b == b {
				return false
			}
		case "flap":
			if flaps && (x.a == a || x.a == b) && (at-x.at)/700_000%2 == 0 {
				return false
			}
		case "cut": // a zone, but for the ways to and from one instance that still carry
			if (f.zone(a) == x.a) != (f.zone(b) == x.a) && !(x.b >= 0 && (a == x.b || b == x.b)) {
				return false
			}
		}
	}
	return true
}

// passes says whether a datagram gets from a to b.
func (f *fleet) passes(a, b int, datagram bool) bool {
	for _, x := range f.active("loss") {
		if datagram && (x.a < 0 || x.a == a || x.a == b) && f.rng.Float64() < x.p {
			return false
		}
	}
	return f.open(a, b, f.now, true)
}

// apart says whether at any time of late no way led from one to the other and back, by
// whatever instances that ran.
func (f *fleet) apart(i, j int) bool {
	for at := f.now; at > f.now-6*second; at -= 500_000 {
		seen, next := map[int]bool{i: true}, []int{i}
		for len(next) > 0 && !seen[j] {
			a := next[0]
			next = next[1:]
			for b, o := range f.all {
				if !seen[b] && o.up && (b == j || o.disturbed < at && o.pausedUntil <= at) && f.open(a, b, at, false) && f.open(b, a, at, false) {
					seen[b] = true
					next = append(next, b)
				}
			}
		}
		if !seen[j] {
			return true
		}
	}
	return false
}

// greets says whether the packets of a greeting get through in time, but for cuts. A loss
// of all datagrams is a firewall's, which lets connections by.
func (f *fleet) greets(i, j int) bool {
	for _, x := range f.active("loss") {
		if x.p < 1 && (x.a < 0 || x.a == i || x.a == j) && f.rng.Float64() > math.Pow(1-x.p, 4) {
			return false
		}
	}
	return true
}

func (f *fleet) do(i int, acts []Act) {
	for _, act := range acts {
		f.record(i, act)
		switch act := act.(type) {
		case Send:
			j, ok := f.byAddr[act.Addr]
			if !ok {
				continue
			}
			size := act.Message.Size()
			if f.bytes += int64(size); size > MaxDatagramSize {
				f.wrong = append(f.wrong, fmt.Sprintf("a datagram of %d bytes", size))
			}
			copies := 1
			if !f.passes(i, j, true) {
				copies = 0
			} else if f.rng.IntN(100) == 0 {
				copies = 2
			}
			for range copies {
				m := act.Message
				f.at(f.now+f.delay/2+f.rng.Int64N(f.delay), func() { f.deliver(j, &m) })
			}
		case HandshakeProbe:
			j := f.byAddr[act.Addr]
			life := f.all[i].lives
			tell := func(after int64, d HandshakeResult, l uint64) {
				f.at(f.now+after, func() {
					if x := f.all[i]; x.up && x.lives == life && x.pausedUntil <= f.now {
						f.do(i, x.HandshakeProbed(f.now, act.Name, l, d))
					}
				})
			}
			o := f.all[j]
			switch {
			case slices.ContainsFunc(f.active("refuse"), func(x fault) bool { return x.a == i && x.b == j }):
				tell(f.delay, Refused, 0)
			case !f.greets(i, j): // a packet of a greeting is lost, and comes again too late
				tell(300_000, Silent, 0)
			case !f.passes(i, j, false) || !f.passes(j, i, false) || o.vanished || o.up && o.pausedUntil > f.now:
				tell(300_000, Silent, 0)
			case !o.up:
				tell(f.delay, Refused, 0)
			default:
				tell(2*f.delay+f.lateness(j), Answered, o.Self.Life)
			}
		}
	}
	f.schedule(i)
}

// record writes to the transcript what a member wants done or reports.
func (f *fleet) record(i int, what any) {
	if f.transcript != nil {
		_, _ = fmt.Fprintf(f.transcript, "%d %d %v\n", f.now, i, what) // a digest takes all
	}
}

func (f *fleet) deliver(j int, m *Message) {
	x := f.all[j]
	if !x.up {
		return
	}
	if x.pausedUntil > f.now { // it waits in the system's buffer
		f.at(x.pausedUntil, func() { f.deliver(j, m) })
		return
	}
	if late := f.lateness(j); late > 0 {
		f.at(f.now+late, func() {
			if x.up {
				f.do(j, x.Receive(f.now, m))
			}
		})
		return
	}
	f.do(j, x.Receive(f.now, m))
	f.read(j)
}

// read looks at what an instance says, and judges it.
func (f *fleet) read(i int) {
	x := f.all[i]
	for _, e := range x.Events() {
		f.record(i, e)
		if x.said == nil {
			x.said = map[EventKind]int{}
		}
		x.said[e.Kind]++
		switch e.Kind {
		case ViewChanged:
			f.changes++
		case PathDegraded:
			f.blamed(i, e)
			for k, o := range f.faults {
				if o.kind == "oneway" && o.at < f.now && f.now < o.until+second && (name(o.a) == e.Name && o.b == i || name(o.b) == e.Name && o.a == i) {
					f.oneWay[k] = true
				}
			}
		case Died:
			var j int
			fmt.Sscanf(e.Name, "n%d", &j)
			f.declared(i, j, e)
		}
	}
}

// blamed takes it that i finds that a way to another carries in one direction only.
func (f *fleet) blamed(i int, e Event) {
	for _, x := range f.faults {
		if (x.kind != "loss" || x.p > 0.2) && x.at <= f.now && f.now < x.until+4*second {
			return // there is a reason, or may be one
		}
	}
	f.wrong = append(f.wrong, fmt.Sprintf("%.2f s: %s blames the way to %s: %s", float64(f.now)/second, name(i), e.Name, e.Evidence))
}

// declared takes it that i holds j for dead.
func (f *fleet) declared(i, j int, e Event) {
	o := f.all[j]
	if !o.up && !o.left && o.Self.Life == e.Life {
		key := [2]uint64{uint64(j), o.lives}
		if f.seen[key]++; f.seen[key] == 1 && o.diedAt > 0 {
			kind := "killed"
			if o.vanished {
				kind = "vanished"
			}
			f.detect[kind] = append(f.detect[kind], f.now-o.diedAt)
		}
		return
	}
	if o.up && o.Self.Life == e.Life && o.disturbed < f.now && f.all[i].disturbed < f.now && !f.apart(i, j) && !o.joining {
		f.wrong = append(f.wrong, fmt.Sprintf("%.2f s: %s holds %s for dead, which lives: %s", float64(f.now)/second, name(i), name(j), e.Evidence))
	}
}

func (f *fleet) run(until int64) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.f()
	}
	f.now = until
}

// same says how the tables of those who live differ from what is so, "" where they do not.
func (f *fleet) same() string {
	var want []string
	for i, x := range f.all {
		if x.up {
			want = append(want, name(i))
		}
	}
	slices.Sort(want)
	for i, x := range f.all {
		if !x.up {
			continue
		}
		got := []string{}
		for _, m := range x.Members() {
			if m.State <= Suspect {
				got = append(got, m.Name)
			}
		}
		slices.Sort(got)
		if !slices.Equal(got, want) {
			return fmt.Sprintf("%s believes in %v of %v", name(i), got, want)
		}
	}
	return ""
}

// formed is when a fleet that starts at once is whole.
func formed(n int) int64 {
	if n > 100 {
		return 30 * second
	}
	return 5 * second
}

// draw makes a schedule: a few faults, all over by the end.
func draw(n int, seed uint64) (faults []fault, end int64) {
	r := rand.New(rand.NewPCG(seed, 9))
	busy := map[int]bool{0: true}
	pick := func() int {
		for range 20 {
			if i := r.IntN(n); !busy[i] {
				busy[i] = true
				return i
			}
		}
		return -1
	}
	kinds := []string{"kill", "vanish", "pause", "longpause", "oneway", "refuse", "cut", "bridge", "loss", "flap", "slow", "restart", "empty", "leave", "crowd"}
	at := formed(n)
	for range 1 + r.IntN(4) {
		x := fault{kind: kinds[r.IntN(len(kinds))], at: at + r.Int64N(2*second), b: -1}
		x.until = x.at + 2*second + r.Int64N(6*second)
		switch x.kind {
		case "cut":
			x.a = r.IntN(max(1, min(4, n/3)))
		case "bridge":
			if n < 6 || n > 16 { // one bridge does not carry the refutations of a zone of 25 in time
				continue
			}
			x.kind, x.a, x.b = "cut", r.IntN(min(4, n/3)), r.IntN(n)
		case "loss":
			x.a, x.p = -1, 0.05+0.15*r.Float64()
		case "crowd": // nine of ten restart within a second
			for i := 1; i < n; i++ {
				if !busy[i] && r.IntN(10) > 0 {
					busy[i] = true
					t := x.at + r.Int64N(second)
					faults = append(faults, fault{kind: "restart", a: i, at: t, until: t + 300_000 + r.Int64N(second)})
				}
			}
			at += 4 * second
			continue
		default:
			if x.a = pick(); x.a < 0 {
				continue
			}
		}
		switch x.kind {
		case "pause":
			x.until = x.at + r.Int64N(2_900_000)
		case "longpause":
			x.kind, x.until = "pause", x.at+10*second
		case "oneway", "refuse":
			if x.b = pick(); x.b < 0 {
				continue
			}
			x.until = x.at + 12*second
		case "restart", "empty":
			x.until = x.at + 200_000 + r.Int64N(3*second)
		}
		faults = append(faults, x)
		at += r.Int64N(3 * second)
		end = max(end, x.until)
	}
	for _, x := range faults {
		end = max(end, x.until, x.at+13*second)
	}
	return faults, max(end, formed(n)+3*second)
}
