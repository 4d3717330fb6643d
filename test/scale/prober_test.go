package scale

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// This file owns the pings that measure how long the turns of an orchestrator's event loop take.

// probePeriod is the time between two pings. Ten a second cost an orchestrator some 0.05% of a core,
// which is part of the phase idle.
const probePeriod = 100 * time.Millisecond

// prober pings an orchestrator at a steady rate, on a connection of its own, whether or not the ping
// before was answered. A ping is answered at the end of the turn that reads it, so that its round
// trip is an upper bound of that turn and the rest of the one before: the longest is taken for the
// slowest turn. A turn between two pings is missed.
type prober struct {
	connection *connection
	mutex      sync.Mutex
	roundTrips *hdrhistogram.Histogram
	stop       chan struct{}
	group      sync.WaitGroup
}

func newProber(o *orchestrator) *prober {
	return &prober{connection: &connection{pool: o.clients}, roundTrips: hdrhistogram.New(1, histogramMaxUs, histogramDigits), stop: make(chan struct{})}
}

func (p *prober) run() {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.group.Go(p.probe)
		case <-p.stop:
			return
		}
	}
}

func (p *prober) probe() {
	sent := time.Now()
	answered, err := p.connection.ping(map[string]string{})
	if err != nil {
		return // the orchestrator does not run
	}
	select {
	case <-answered:
		p.mutex.Lock()
		recordDuration(p.roundTrips, time.Since(sent))
		p.mutex.Unlock()
	case <-p.stop:
	}
}

// reset forgets the round trips so far.
func (p *prober) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.roundTrips.Reset()
}

// slowest is the longest round trip since reset, and whether there was any.
func (p *prober) slowest() (time.Duration, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return time.Duration(p.roundTrips.Max()) * time.Microsecond, p.roundTrips.TotalCount() > 0
}

func (p *prober) close() {
	close(p.stop)
	p.connection.close()
	p.group.Wait()
}
