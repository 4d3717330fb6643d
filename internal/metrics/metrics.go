// Package metrics sends figures to Graphite, in its plaintext protocol, and to
// collectd, in the plain text protocol of its unixsock plugin. It owns one
// connection and one goroutine for each of them. It must never make the caller
// wait: a sample that comes while the last one is still under way is left out,
// and a receiver that is away or slow costs samples and nothing else.
package metrics

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	dialWait  = 2 * time.Second
	writeWait = 2 * time.Second
	// quiet is how long a receiver that failed is left alone at least.
	quiet = time.Second
)

// Figure is one value. A counter only grows while the program runs.
type Figure struct {
	Name    string
	Value   float64
	Counter bool
}

// Sample is what is sent at a time.
type Sample struct {
	At      time.Time
	Figures []Figure
}

// Protocol is a way to write samples.
type Protocol interface {
	// Append writes a sample as text.
	Append(dst []byte, s Sample) []byte
	// Confirm reads what the receiver says to that, if it says anything.
	Confirm(r *bufio.Reader, s Sample) error
}

// clean makes a name safe in both protocols.
func clean(name string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_', r == '-':
			return r
		}
		return '_'
	}, name)
}

func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// Graphite is the plaintext protocol: a line "path value timestamp" for each
// figure, and no answer.
type Graphite struct{ Prefix, Name string }

// Append implements Protocol.
func (g Graphite) Append(dst []byte, s Sample) []byte {
	for _, f := range s.Figures {
		dst = fmt.Appendf(dst, "%s.%s.%s %s %d\n", g.Prefix, clean(g.Name), clean(f.Name), number(f.Value), s.At.Unix())
	}
	return dst
}

// Confirm implements Protocol.
func (Graphite) Confirm(*bufio.Reader, Sample) error { return nil }

// Collectd is the plain text protocol: a PUTVAL for each figure, and a status
// line for each of them, which is below 0 where the value was not taken.
type Collectd struct {
	Prefix, Name string
	Every        time.Duration
}

// Append implements Protocol.
func (c Collectd) Append(dst []byte, s Sample) []byte {
	for _, f := range s.Figures {
		kind := "gauge"
		if f.Counter {
			kind = "derive"
		}
		dst = fmt.Appendf(dst, "PUTVAL \"%s/%s/%s-%s\" interval=%s %d:%s\n", clean(c.Name), c.Prefix, kind, clean(f.Name),
			number(c.Every.Seconds()), s.At.Unix(), number(f.Value))
	}
	return dst
}

// Confirm implements Protocol.
func (c Collectd) Confirm(r *bufio.Reader, s Sample) error {
	var bad string
	for range s.Figures {
		line, err := r.ReadString('\n')
		if err != nil {
			return err
		}
		code, text, _ := strings.Cut(strings.TrimSpace(line), " ")
		n, err := strconv.Atoi(code)
		if err != nil {
			return fmt.Errorf("metrics: not a status line: %.60q", line)
		}
		if n < 0 {
			bad = text
		}
		for range n {
			if _, err := r.ReadString('\n'); err != nil {
				return err
			}
		}
	}
	if bad != "" {
		return fmt.Errorf("metrics: not taken: %.60q", bad)
	}
	return nil
}

// Exporter sends samples to one receiver.
type Exporter struct {
	network, addr string
	p             Protocol
	log           *slog.Logger
	samples       chan Sample
	done          chan struct{}
	dropped       atomic.Int64
}

// NewExporter starts to send to addr; the network is as for net.Dial.
func NewExporter(network, addr string, p Protocol, log *slog.Logger) *Exporter {
	e := &Exporter{network: network, addr: addr, p: p, log: log, samples: make(chan Sample, 1), done: make(chan struct{})}
	go e.run()
	return e
}

// Offer takes a sample, unless one still waits. It never blocks.
func (e *Exporter) Offer(s Sample) bool {
	select {
	case e.samples <- s:
		return true
	default:
		e.dropped.Add(1)
		return false
	}
}

// Dropped is how many samples were left out or lost.
func (e *Exporter) Dropped() int64 { return e.dropped.Load() }

// Close ends the exporter once the sample under way is sent or lost, and waits
// for that as long as it is told. Offer must not be called after it.
func (e *Exporter) Close(wait time.Duration) {
	close(e.samples)
	select {
	case <-e.done:
	case <-time.After(wait):
	}
}

func (e *Exporter) run() {
	defer close(e.done)
	var c net.Conn
	var r *bufio.Reader
	var failed time.Time
	failing := false
	for s := range e.samples {
		if !failed.IsZero() && time.Since(failed) < quiet {
			e.dropped.Add(1)
			continue
		}
		var err error
		if c == nil {
			if c, err = net.DialTimeout(e.network, e.addr, dialWait); err == nil {
				r = bufio.NewReader(c)
			}
		}
		if err == nil {
			if err = c.SetDeadline(time.Now().Add(writeWait)); err == nil {
				_, err = c.Write(e.p.Append(nil, s))
			}
			if err == nil {
				err = e.p.Confirm(r, s)
			}
		}
		if err == nil {
			failing, failed = false, time.Time{}
			continue
		}
		e.dropped.Add(1)
		failed = time.Now()
		if !failing {
			failing = true
			e.log.Warn("metrics export failed", "to", e.addr, "err", err)
		}
		if c != nil {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}
