// Package metrics sends figures to Graphite in its plaintext protocol, and to collectd in
// the plain text protocol of its unixsock plugin. Each exporter owns one connection and one
// goroutine.
//
// The package must never make its caller wait, except in Close for at most the given timeout. A
// sample that is offered while an earlier one is still queued is dropped. If a receiver is down
// or slow, samples are lost, and the rest of the program is not affected.
package metrics

// This file owns the exporter: its goroutine, its connection, and the count of dropped samples.

import (
	"bufio"
	"log/slog"
	"net"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	sendTimeout = 2 * time.Second // maximum time to write a sample and read its confirmation
	// retryInterval is the time after a failure during which samples are dropped without an
	// attempt to send them.
	retryInterval = time.Second
)

// Figure is one named value. It is a counter, which never decreases while the program runs, or
// a gauge.
type Figure struct {
	Name    string
	Value   float64
	Counter bool
}

// Sample holds the values of all figures at one time.
type Sample struct {
	At      time.Time
	Figures []Figure
}

// Exporter sends samples to one receiver until Close is called.
type Exporter struct {
	network, addr string
	protocol      Protocol
	log           *slog.Logger
	samples       chan Sample
	done          chan struct{} // closed when the goroutine ends
	dropped       atomic.Int64
}

// NewExporter starts an exporter that sends samples to addr. network and addr are passed to
// net.DialTimeout.
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

// Offer queues a sample and returns true. If another sample is still queued, Offer drops the new
// one and returns false. It never blocks.
func (e *Exporter) Offer(s Sample) bool {
	select {
	case e.samples <- s:
		return true
	default:
		e.dropped.Add(1)
		return false
	}
}

// Dropped returns the number of samples that were dropped or could not be sent, or for which
// Protocol.Confirm returned an error.
func (e *Exporter) Dropped() int64 { return e.dropped.Load() }

// Close ends the exporter after the queued sample, if any, is sent or lost. It waits at most timeout for the exporter
// to end. Offer must not be called after Close.
func (e *Exporter) Close(timeout time.Duration) {
	close(e.samples)
	select {
	case <-e.done:
	case <-time.After(timeout):
	}
}

// run sends the queued samples until Close is called.
func (e *Exporter) run() {
	defer close(e.done)
	r := receiver{network: e.network, addr: e.addr, protocol: e.protocol}
	defer r.close()
	var failedAt time.Time // time of the last failure, zero if the last attempt to send succeeded
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
		if failedAt.IsZero() { // of several failures in a row, only the first is logged
			e.log.Warn("metrics export failed", "to", e.addr, "err", err)
		}
		failedAt = time.Now()
	}
}

// receiver holds the connection to the receiver of the samples. The connection is opened when a
// sample is to be sent.
type receiver struct {
	network, addr string
	protocol      Protocol
	conn          net.Conn // nil while the connection is closed
	reader        *bufio.Reader
}

// send sends a sample and reads its confirmation. It closes the connection after an error.
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

// open opens the connection unless it is still open from an earlier sample.
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

// exchange writes a sample and reads its confirmation, both together within sendTimeout. Close waits for the
// exporter's goroutine, and the limit bounds how long a slow receiver can delay the end of this goroutine.
func (r *receiver) exchange(s Sample) error {
	if err := r.conn.SetDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	if _, err := r.conn.Write(r.protocol.Append(nil, s)); err != nil {
		return err
	}
	return r.protocol.Confirm(r.reader, s)
}

// close closes the connection, so that the next sample opens a new one. It does nothing if the
// connection is closed.
func (r *receiver) close() {
	if r.conn == nil {
		return
	}
	_ = r.conn.Close() // all data was sent or is lost, so an error does not matter
	r.conn = nil
}
