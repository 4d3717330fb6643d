// Package metrics sends figures to Graphite, in its plaintext protocol, and to collectd, in
// the plain text protocol of its unixsock plugin. It owns one connection and one goroutine
// for each of them. It must never make the caller wait: a sample that comes while the last
// one is still being sent is dropped, and a receiver that is down or slow costs samples and
// nothing else.
package metrics

// This file owns the exporter: its goroutine, its connection, and what is dropped.

import (
	"bufio"
	"log/slog"
	"net"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	sendTimeout = 2 * time.Second // for a sample and its confirmation
	// retryInterval is for how long a receiver is not tried again after a failure.
	retryInterval = time.Second
)

// Figure is one value. A counter only grows while the program runs.
type Figure struct {
	Name    string
	Value   float64
	Counter bool
}

// Sample holds the figures at one time.
type Sample struct {
	At      time.Time
	Figures []Figure
}

// Exporter sends samples to one receiver. Close ends it.
type Exporter struct {
	network, addr string
	protocol      Protocol
	log           *slog.Logger
	samples       chan Sample
	done          chan struct{} // closed when the goroutine ends
	dropped       atomic.Int64
}

// NewExporter starts to send to addr; the network is as for net.Dial.
func NewExporter(network, addr string, protocol Protocol, log *slog.Logger) *Exporter {
	e := &Exporter{
		network:  network,
		addr:     addr,
		protocol: protocol,
		log:      log,
		samples:  make(chan Sample, 1),
		done:     make(chan struct{}),
	}
	go e.run()
	return e
}

// Offer takes a sample, and reports false if it drops it because one is still queued. It
// never blocks.
func (e *Exporter) Offer(s Sample) bool {
	select {
	case e.samples <- s:
		return true
	default:
		e.dropped.Add(1)
		return false
	}
}

// Dropped returns how many samples were dropped or lost.
func (e *Exporter) Dropped() int64 { return e.dropped.Load() }

// Close ends the exporter once the queued sample is sent or lost, and waits for that until
// the timeout. Offer must not be called after it.
func (e *Exporter) Close(timeout time.Duration) {
	close(e.samples)
	select {
	case <-e.done:
	case <-time.After(timeout):
	}
}

// run sends the samples until there are no more.
func (e *Exporter) run() {
	defer close(e.done)
	r := receiver{network: e.network, addr: e.addr, protocol: e.protocol}
	defer r.close()
	var failedAt time.Time // zero while the receiver works
	for s := range e.samples {
		if !failedAt.IsZero() && time.Since(failedAt) < retryInterval {
			e.dropped.Add(1)
			continue
		}
		err := r.send(s)
		if err == nil {
			failedAt = time.Time{}
			continue
		}
		e.dropped.Add(1)
		if failedAt.IsZero() { // the first failure alone is logged
			e.log.Warn("metrics export failed", "to", e.addr, "err", err)
		}
		failedAt = time.Now()
	}
}

// receiver is the connection to a receiver, which is opened when a sample needs it.
type receiver struct {
	network, addr string
	protocol      Protocol
	conn          net.Conn // nil while closed
	reader        *bufio.Reader
}

// send sends a sample and reads its confirmation. After an error the connection is closed.
func (r *receiver) send(s Sample) error {
	err := r.open()
	if err == nil {
		err = r.exchange(s)
	}
	if err != nil {
		r.close()
	}
	return err
}

// open opens a connection where the last sample left none: it is kept from sample to sample.
func (r *receiver) open() error {
	if r.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout(r.network, r.addr, dialTimeout)
	if err != nil {
		return err
	}
	r.conn, r.reader = conn, bufio.NewReader(conn)
	return nil
}

// exchange writes a sample and reads its confirmation, both within sendTimeout: a slow receiver must
// not hold up the goroutine that Close waits for.
func (r *receiver) exchange(s Sample) error {
	if err := r.conn.SetDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	if _, err := r.conn.Write(r.protocol.Append(nil, s)); err != nil {
		return err
	}
	return r.protocol.Confirm(r.reader, s)
}

// close has the next sample open a new connection. It may be called twice.
func (r *receiver) close() {
	if r.conn == nil {
		return
	}
	_ = r.conn.Close() // nothing is left to be sent
	r.conn = nil
}
