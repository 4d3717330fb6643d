package scale

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// This file contains the phases: the load in each phase, and the resources that each orchestrator uses.

// measurement holds the resource usage of one orchestrator at one moment, and counts of its bytes and messages so
// far.
type measurement struct {
	usage
	at time.Time
	// Bytes between the orchestrator and discovery (listIn, listOut) or the clients (clientsIn, clientsOut). In is
	// the direction to the orchestrator, Out the direction from the orchestrator.
	listIn, listOut       int64
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

// phase holds the measurements of one phase of the run.
type phase struct {
	name          string
	before, after []measurement // by orchestrator index
	dials         int64         // number of connections that all orchestrators together opened to workers
}

// runPhase runs the loads of a phase for the given time. It measures all orchestrators before the loads start and
// again before they stop.
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

// measureAll measures all orchestrators. It does so concurrently, so that an orchestrator that answers no admin
// calls does not delay the measurements of the others.
func (r *rig) measureAll() []measurement {
	all := make([]measurement, len(r.orchestrators))
	var group sync.WaitGroup
	for i, o := range r.orchestrators {
		group.Go(func() { all[i] = o.measure() })
	}
	group.Wait()
	return all
}

// maxAndMean returns the maximum and the mean of a figure over all orchestrators.
func (p phase) maxAndMean(figure func(from, until measurement, seconds float64) float64) (highest, mean float64) {
	for i := range p.before {
		value := figure(p.before[i], p.after[i], p.after[i].at.Sub(p.before[i].at).Seconds())
		highest, mean = max(highest, value), mean+value/float64(len(p.before))
	}
	return highest, mean
}

func cpuPercent(from, until measurement, seconds float64) float64 {
	return 100 * (until.cpuSeconds - from.cpuSeconds) / seconds
}

// controlKB returns the control traffic in KiB per second. This is the traffic of the worker list, its polls,
// and membership messages.
func controlKB(from, until measurement, seconds float64) float64 {
	return float64(until.listIn-from.listIn+until.listOut-from.listOut+until.peerBytes-from.peerBytes) / 1024 / seconds
}

func peersKB(from, until measurement, seconds float64) float64 {
	return float64(until.peerBytes-from.peerBytes) / 1024 / seconds
}

func clientsKB(from, until measurement, seconds float64) float64 {
	return float64(until.clientsIn-from.clientsIn+until.clientsOut-from.clientsOut) / 1024 / seconds
}

// workersKB returns the traffic with workers and of admin calls in KiB per second. It subtracts the bytes of the
// list, the clients and the log from all bytes that the process read and wrote.
func workersKB(from, until measurement, seconds float64) float64 {
	all := until.read - from.read + until.written - from.written
	other := until.listIn - from.listIn + until.listOut - from.listOut + until.clientsIn - from.clientsIn +
		until.clientsOut - from.clientsOut + until.logBytes - from.logBytes
	return float64(all-other) / 1024 / seconds
}

// String returns the line with the figures of the phase.
func (p phase) String() string {
	cpu, cpuMean := p.maxAndMean(cpuPercent)
	control, _ := p.maxAndMean(controlKB)
	peers, _ := p.maxAndMean(peersKB)
	clients, _ := p.maxAndMean(clientsKB)
	workers, _ := p.maxAndMean(workersKB)
	rss, _ := p.maxAndMean(func(_, m measurement, _ float64) float64 { return m.residentMB })
	length := p.after[0].at.Sub(p.before[0].at).Seconds()
	return fmt.Sprintf("scale-phase: name=%s seconds=%.1f cpu_pct_max=%.2f cpu_pct_mean=%.2f control_kb_s_max=%.1f peers_kb_s_max=%.1f "+
		"clients_kb_s_max=%.1f workers_kb_s_max=%.1f rss_mb_max=%.1f dials_s=%.0f", p.name, length, cpu, cpuMean,
		control, peers, clients, workers, rss, float64(p.dials)/length)
}

// catchUpInterval is the interval between the batches of calls that callAtRate makes. Each batch contains all
// calls that are due by then and were not made before.
const catchUpInterval = 5 * time.Millisecond

// callAtRate calls f at a rate per second until stop is closed.
func callAtRate(rate float64, stop <-chan struct{}, f func()) {
	ticker := time.NewTicker(catchUpInterval)
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

// For each task that starts, an orchestrator receives three messages: the submission, the acceptance and the
// completion. It also sends three messages: the offer, the response to the client and the report of the
// completion. A ping with its answer makes one message in each direction. Therefore three pings replace a start:
// clientPingsPerStart from clients and workerPingsPerStart from workers.
const (
	clientPingsPerStart = 1
	workerPingsPerStart = 2
)

// pingLikeStarts sends pings instead of submissions. The number of messages is the same as if tasks were started
// at the rate of the peak, and each ping carries the fields of a submission. The pings therefore show the cost
// of reading, parsing and writing the messages, without requests, decisions or tasks.
func (r *rig) pingLikeStarts(stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(r.options.seed, 41))
	fields := (&task{job: newDemand(r.options.seed, r.options).next(), key: "job-000001-001"}).submission("").Opts
	fields["left"] = strconv.Itoa(10_000)
	n := 0
	callAtRate(r.options.starts*(clientPingsPerStart+workerPingsPerStart), stop, func() {
		if n++; n%(clientPingsPerStart+workerPingsPerStart) == 0 {
			to := r.orchestrators[n/(clientPingsPerStart+workerPingsPerStart)%len(r.orchestrators)].clients
			conn, _ := to.pick()
			_, _ = conn.ping(fields) // an error is ignored: admit has already logged the orchestrators that answer no pings
			return
		}
		for range maxPlacementTries {
			if r.fleet.Workers[random.IntN(len(r.fleet.Workers))].Ping(fmt.Sprintf("%016x", n), fields) {
				return
			}
		}
	})
}

// changesPerStart is the number of list changes that each started task causes: one for its start and one
// for its completion.
const changesPerStart = 2

// allListChanges makes discovery send the same number of entries as at the peak, although no capacity changes.
func (r *rig) allListChanges(stop <-chan struct{}) {
	r.changeEntries(r.options.starts*changesPerStart*(1+r.options.foreignShare()), stop)
}

// foreignListChanges simulates the list changes of the orchestrators that the test does not run.
func (r *rig) foreignListChanges(stop <-chan struct{}) {
	r.changeEntries(r.options.starts*changesPerStart*r.options.foreignShare(), stop)
}

// changeEntries marks the entries of random workers as changed, at a rate per second.
func (r *rig) changeEntries(rate float64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(r.options.seed, 43))
	callAtRate(rate, stop, func() { r.fleet.RecordChange(random.IntN(len(r.fleet.Workers))) })
}

// submitJobs submits jobs so that the mean rate of tasks is the rate of the peak. It submits all tasks of a job
// at once. It then waits as long as it would take to submit these tasks one by one at this rate, and submits the
// next job.
func (r *rig) submitJobs(stop <-chan struct{}) {
	ahead := 0 // number of submitted tasks that were not due yet at the rate of the peak
	callAtRate(r.options.starts, stop, func() {
		if ahead == 0 {
			next := r.demand.next()
			r.clients.submit(next, r.demand.runTime)
			ahead = next.size
		}
		ahead--
	})
}
