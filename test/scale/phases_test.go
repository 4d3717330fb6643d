package scale

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// This file owns the phases: the load of each, and what each orchestrator used in it.

// measurement is what one orchestrator had used at a moment.
type measurement struct {
	usage
	at                    time.Time
	listIn, listOut       int64 // bytes; in is what came to the orchestrator
	clientsIn, clientsOut int64
	peerBytes, logBytes   int64
	clientMessages        int64
}

func (o *orchestrator) measure() measurement {
	list, clients := o.subscription.Bytes(), &o.clients.bytes
	m := measurement{
		at:             time.Now(),
		listIn:         list.Sent.Load(),
		listOut:        list.Received.Load(),
		clientsIn:      clients.Sent.Load(),
		clientsOut:     clients.Received.Load(),
		peerBytes:      o.peerBytes(),
		logBytes:       o.logBytes(),
		clientMessages: o.clients.messages.Load(),
	}
	used, err := processUsage(o.PID())
	if err != nil {
		o.rig.t.Error(err)
	}
	m.usage = used
	return m
}

// phase is a span of the run.
type phase struct {
	name          string
	before, after []measurement // by orchestrator
	dials         int64         // connections to workers that all orchestrators together opened
}

// runPhase runs the loads of a phase for a while, and measures before and after.
func (r *rig) runPhase(name string, length time.Duration, loads ...func(stop <-chan struct{})) phase {
	p := phase{name: name, before: r.measureAll()}
	dials := r.fleet.ConnectionsAccepted()
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, load := range loads {
		group.Go(func() { load(stop) })
	}
	<-time.After(length)
	p.after, p.dials = r.measureAll(), r.fleet.ConnectionsAccepted()-dials
	close(stop)
	group.Wait()
	r.t.Log(p)
	return p
}

// measureAll measures all orchestrators at the same time: one that answers no calls must not delay the
// others' measurements.
func (r *rig) measureAll() []measurement {
	all := make([]measurement, len(r.orchestrators))
	var group sync.WaitGroup
	for i, o := range r.orchestrators {
		group.Go(func() { all[i] = o.measure() })
	}
	group.Wait()
	return all
}

// each returns the largest and the mean of a figure over the orchestrators.
func (p phase) each(figure func(from, until measurement, seconds float64) float64) (highest, mean float64) {
	for i := range p.before {
		value := figure(p.before[i], p.after[i], p.after[i].at.Sub(p.before[i].at).Seconds())
		highest, mean = max(highest, value), mean+value/float64(len(p.before))
	}
	return highest, mean
}

func cpuPercent(from, until measurement, seconds float64) float64 {
	return 100 * (until.cpuSeconds - from.cpuSeconds) / seconds
}

// controlKB is the list with its polls, and the membership messages.
func controlKB(from, until measurement, seconds float64) float64 {
	return float64(until.listIn-from.listIn+until.listOut-from.listOut+until.peerBytes-from.peerBytes) / 1024 / seconds
}

func peersKB(from, until measurement, seconds float64) float64 {
	return float64(until.peerBytes-from.peerBytes) / 1024 / seconds
}

func clientsKB(from, until measurement, seconds float64) float64 {
	return float64(until.clientsIn-from.clientsIn+until.clientsOut-from.clientsOut) / 1024 / seconds
}

// workersKB is what remains of all that was read and written: workers and admin calls.
func workersKB(from, until measurement, seconds float64) float64 {
	all := until.read - from.read + until.written - from.written
	other := until.listIn - from.listIn + until.listOut - from.listOut + until.clientsIn - from.clientsIn +
		until.clientsOut - from.clientsOut + until.logBytes - from.logBytes
	return float64(all-other) / 1024 / seconds
}

// String is a line of the phase's figures.
func (p phase) String() string {
	cpu, cpuMean := p.each(cpuPercent)
	control, _ := p.each(controlKB)
	peers, _ := p.each(peersKB)
	clients, _ := p.each(clientsKB)
	workers, _ := p.each(workersKB)
	rss, _ := p.each(func(_, m measurement, _ float64) float64 { return m.residentMB })
	length := p.after[0].at.Sub(p.before[0].at).Seconds()
	return fmt.Sprintf("scale-phase: name=%s seconds=%.1f cpu_pct_max=%.2f cpu_pct_mean=%.2f control_kb_s_max=%.1f peers_kb_s_max=%.1f "+
		"clients_kb_s_max=%.1f workers_kb_s_max=%.1f rss_mb_max=%.1f dials_s=%.0f", p.name, length, cpu, cpuMean,
		control, peers, clients, workers, rss, float64(p.dials)/length)
}

// repeatStep is how often a rate is caught up with.
const repeatStep = 5 * time.Millisecond

// repeat calls f so many times a second until stop.
func repeat(rate float64, stop <-chan struct{}, f func()) {
	ticker := time.NewTicker(repeatStep)
	defer ticker.Stop()
	startedAt, done := time.Now(), 0.0
	for {
		select {
		case <-ticker.C:
			for ; done < rate*time.Since(startedAt).Seconds(); done++ {
				f()
			}
		case <-stop:
			return
		}
	}
}

// A start makes one message in each direction with its client, and two with its worker: offer and
// acceptance, and the completion, which is reported to the client. A ping with its answer is one in
// each direction.
const (
	clientPingsPerStart = 1
	workerPingsPerStart = 2
)

// pingLikeStarts sends pings instead of submissions, as many as the starts' messages and with the
// fields of submissions: the data path without requests, decisions or tasks.
func (r *rig) pingLikeStarts(stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(r.options.seed, 41))
	fields := (&task{job: newDemand(r.options.seed, r.options).next(), key: "job-000001-001"}).submission("").Opts
	fields["left"] = strconv.Itoa(10_000)
	n := 0
	repeat(r.options.starts*(clientPingsPerStart+workerPingsPerStart), stop, func() {
		if n++; n%(clientPingsPerStart+workerPingsPerStart) == 0 {
			to := r.orchestrators[n/(clientPingsPerStart+workerPingsPerStart)%len(r.orchestrators)].clients
			conn, _ := to.pick()
			_, _ = conn.ping(fields) // admit finds an orchestrator that takes none
			return
		}
		for range maxPlacementTries {
			if r.fleet.Workers[random.IntN(len(r.fleet.Workers))].Ping(fmt.Sprintf("%016x", n), fields) {
				return
			}
		}
	})
}

// changesPerStart is the number of changes to the list that a start makes: itself, and its completion.
const changesPerStart = 2

// allListChanges sends as many changed entries as at the peak, though nothing changes.
func (r *rig) allListChanges(stop <-chan struct{}) {
	r.changeEntries(r.options.starts*changesPerStart*(1+r.options.foreignShare()), stop)
}

// foreignListChanges sends the changes of the orchestrators that don't run.
func (r *rig) foreignListChanges(stop <-chan struct{}) {
	r.changeEntries(r.options.starts*changesPerStart*r.options.foreignShare(), stop)
}

func (r *rig) changeEntries(rate float64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(r.options.seed, 43))
	repeat(rate, stop, func() { r.fleet.RecordChange(random.IntN(len(r.fleet.Workers))) })
}

// submitJobs submits jobs at the rate of the peak: all tasks of one at once, and the next when their
// time is over.
func (r *rig) submitJobs(stop <-chan struct{}) {
	ahead := 0 // tasks that were submitted before their time
	repeat(r.options.starts, stop, func() {
		if ahead == 0 {
			next := r.demand.next()
			r.clients.submit(next, r.demand.runTime)
			ahead = next.size
		}
		ahead--
	})
}
