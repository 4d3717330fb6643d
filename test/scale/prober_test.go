package scale

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// This file contains pings that measure the duration of the turns of an orchestrator's event loop. A turn is one
// iteration of the loop.

// probePeriod is the interval between two pings. Ten pings per second cost an orchestrator about 0.05% of a core. The
// measurements of the phase idle include this cost.
const probePeriod = 100 * time.Millisecond

// prober pings an orchestrator at a fixed rate on its own connection. It does not wait for the answers to
// earlier pings. The orchestrator answers a ping at the end of the turn of the event loop that reads the ping.
// The round trip is therefore an upper bound on the duration of that turn plus the rest of the previous turn.
// The longest round trip is reported as the slowest turn. A turn that falls between two pings is missed.
type prober struct {
	connection *connection
	mutex      sync.Mutex
	roundTrips *hdrhistogram.Histogram // round-trip times in microseconds
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
		return // the orchestrator is down
	}
	select {
	case <-answered:
		p.mutex.Lock()
		recordDuration(p.roundTrips, time.Since(sent))
		p.mutex.Unlock()
	case <-p.stop:
	}
}

// reset clears the recorded round trips.
func (p *prober) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.roundTrips.Reset()
}

// slowest returns the longest round trip since the last reset, and whether any was recorded.
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
