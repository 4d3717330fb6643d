package scale

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// This file owns the phases: what is on in each, and what each orchestrator used in it.

// mark is what one orchestrator had used at a moment.
type mark struct {
	usage
	at                    time.Time
	listIn, listOut       int64 // bytes; in is what came to the orchestrator
	clientsIn, clientsOut int64
	peers, log            int64
	clientMessages        int64
}

func (o *orchestrator) mark() mark {
	m := mark{at: time.Now(), listIn: o.list.Bytes().Sent.Load(), listOut: o.list.Bytes().Received.Load(), clientsIn: o.clients.bytes.Sent.Load(),
		clientsOut: o.clients.bytes.Received.Load(), peers: o.peerBytes(), log: o.logBytes(), clientMessages: o.clients.messages.Load()}
	used, err := processUsage(o.PID())
	if err != nil {
		o.rig.t.Error(err)
	}
	m.usage = used
	return m
}

// phase is a span of the run.
type phase struct {
	name        string
	from, until []mark // by orchestrator
	dials       int64  // connections to workers that all orchestrators together opened
}

// play runs what is on for a while, and marks both ends.
func (r *rig) play(name string, length time.Duration, on ...func(stop <-chan struct{})) phase {
	p := phase{name: name, from: r.marks()}
	dials := r.fleet.ConnectionsAccepted()
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, f := range on {
		group.Go(func() { f(stop) })
	}
	<-time.After(length)
	p.until, p.dials = r.marks(), r.fleet.ConnectionsAccepted()-dials
	close(stop)
	group.Wait()
	r.t.Log(p)
	return p
}

// marks are taken at the same time: an orchestrator that answers no calls must not put the others'
// marks off.
func (r *rig) marks() []mark {
	all := make([]mark, len(r.orchestrators))
	var group sync.WaitGroup
	for i, o := range r.orchestrators {
		group.Go(func() { all[i] = o.mark() })
	}
	group.Wait()
	return all
}

// each returns the largest and the mean of a figure over the orchestrators.
func (p phase) each(figure func(from, until mark, seconds float64) float64) (most, mean float64) {
	for i := range p.from {
		v := figure(p.from[i], p.until[i], p.until[i].at.Sub(p.from[i].at).Seconds())
		most, mean = max(most, v), mean+v/float64(len(p.from))
	}
	return most, mean
}

func cpuPercent(from, until mark, s float64) float64 {
	return 100 * (until.cpuSeconds - from.cpuSeconds) / s
}

// controlKB is the list with its calls, and the messages of peers.
func controlKB(from, until mark, s float64) float64 {
	return float64(until.listIn-from.listIn+until.listOut-from.listOut+until.peers-from.peers) / 1024 / s
}

func peersKB(from, until mark, s float64) float64 {
	return float64(until.peers-from.peers) / 1024 / s
}

func clientsKB(from, until mark, s float64) float64 {
	return float64(until.clientsIn-from.clientsIn+until.clientsOut-from.clientsOut) / 1024 / s
}

// workersKB is what is left of all that was read and written: the workers', and operators' calls.
func workersKB(from, until mark, s float64) float64 {
	all := until.read - from.read + until.written - from.written
	other := until.listIn - from.listIn + until.listOut - from.listOut + until.clientsIn - from.clientsIn +
		until.clientsOut - from.clientsOut + until.log - from.log
	return float64(all-other) / 1024 / s
}

// String is a line of the phase's figures.
func (p phase) String() string {
	cpu, cpuMean := p.each(cpuPercent)
	control, _ := p.each(controlKB)
	peers, _ := p.each(peersKB)
	clients, _ := p.each(clientsKB)
	workers, _ := p.each(workersKB)
	rss, _ := p.each(func(_, m mark, _ float64) float64 { return m.residentMB })
	length := p.until[0].at.Sub(p.from[0].at).Seconds()
	return fmt.Sprintf("scale-phase: name=%s seconds=%.1f cpu_pct_max=%.2f cpu_pct_mean=%.2f control_kb_s_max=%.1f peers_kb_s_max=%.1f "+
		"clients_kb_s_max=%.1f workers_kb_s_max=%.1f rss_mb_max=%.1f dials_s=%.0f", p.name, length, cpu, cpuMean,
		control, peers, clients, workers, rss, float64(p.dials)/length)
}

// paceStep is how often a paced generator looks how much is due.
const paceStep = 5 * time.Millisecond

// pace calls f so many times a second until stop.
func pace(rate float64, stop <-chan struct{}, f func()) {
	ticker := time.NewTicker(paceStep)
	defer ticker.Stop()
	began, done := time.Now(), 0.0
	for {
		select {
		case <-ticker.C:
			for ; done < rate*time.Since(began).Seconds(); done++ {
				f()
			}
		case <-stop:
			return
		}
	}
}

// messagesOfStart are, for each start, the messages of a client (one each way) and of a worker (two
// each way: set-up and answer, end and nothing; and the client is told the end). A test with its
// answer is one each way.
const (
	clientTestsPerStart = 1
	workerTestsPerStart = 2
)

// testMessages sends tests instead of set-ups, as many as the starts' messages and with the fields
// of set-ups: the data path without requests, decisions or tasks.
func (r *rig) testMessages(stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(r.options.seed, 41))
	fields := (&task{job: newDemand(r.options.seed, r.options).next(), key: "job-000001-001"}).setUp("").Opts
	fields["left"] = strconv.Itoa(10_000)
	n := 0
	pace(r.options.starts*(clientTestsPerStart+workerTestsPerStart), stop, func() {
		if n++; n%(clientTestsPerStart+workerTestsPerStart) == 0 {
			to := r.orchestrators[n/(clientTestsPerStart+workerTestsPerStart)%len(r.orchestrators)].clients
			link, _ := to.pick()
			_, _ = link.test(fields) // an orchestrator that takes none is found by admit
			return
		}
		for range putTries {
			if r.fleet.Workers[random.IntN(len(r.fleet.Workers))].Ping(fmt.Sprintf("%016x", n), fields) {
				return
			}
		}
	})
}

// changesPerStart are a list's changes for each start: that and an end.
const changesPerStart = 2

// listChanges lets the list tell as many changed entries as at the peak, with nothing different.
func (r *rig) listChanges(stop <-chan struct{}) {
	r.touch(r.options.starts*changesPerStart*(1+r.options.othersShare()), stop)
}

// othersChanges lets the list tell the changes that orchestrators make which don't run.
func (r *rig) othersChanges(stop <-chan struct{}) {
	r.touch(r.options.starts*changesPerStart*r.options.othersShare(), stop)
}

func (r *rig) touch(rate float64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(r.options.seed, 43))
	pace(rate, stop, func() { r.fleet.RecordChange(random.IntN(len(r.fleet.Workers))) })
}

// starts asks for jobs at the pace of the peak: one at once, and the next when its tasks' time is over.
func (r *rig) starts(stop <-chan struct{}) {
	ahead := 0 // tasks that were asked for before they were due
	pace(r.options.starts, stop, func() {
		if ahead == 0 {
			next := r.demand.next()
			r.clients.submit(next, r.demand.run)
			ahead = next.size
		}
		ahead--
	})
}
