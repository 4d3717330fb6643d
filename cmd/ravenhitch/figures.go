package main

// This file sends figures to Graphite and to collectd.

import (
	"time"

	"ravenhitch/internal/config"
	"ravenhitch/internal/grpcfront"
	"ravenhitch/internal/metrics"
)

// exportersWait is how long the last figures may take at the end.
const exportersWait = 200 * time.Millisecond

// startExporters sends figures to each receiver that the operators' file names.
func (p *server) startExporters(cfg config.Config, edge config.Operators) {
	if m := edge.Graphite; m.Address != "" {
		p.export("tcp", m, metrics.Graphite{Prefix: m.Prefix, Name: cfg.Name})
	}
	if m := edge.Collectd; m.Address != "" {
		p.export("unix", m, metrics.Collectd{Prefix: m.Prefix, Name: cfg.Name,
			Every: time.Duration(m.EveryMs) * time.Millisecond})
	}
}

// export sends figures to one receiver from now on.
func (p *server) export(network string, m config.Metrics, protocol metrics.Protocol) {
	e := metrics.NewExporter(network, m.Address, protocol, p.log)
	p.exporters = append(p.exporters, e)
	var again func()
	again = func() {
		e.Offer(metrics.Sample{At: time.UnixMicro(p.loop.Now()), Figures: p.figures(e)})
		p.loop.After(m.EveryMs*1000, again)
	}
	p.loop.After(m.EveryMs*1000, again)
}

// dumpedFigures is what is worth watching of the program.
func (p *server) figures(e *metrics.Exporter) []metrics.Figure {
	c := p.dispatcher.Counts()
	counter := func(name string, v int64) metrics.Figure {
		return metrics.Figure{Name: name, Value: float64(v), Counter: true}
	}
	gauge := func(name string, v int) metrics.Figure { return metrics.Figure{Name: name, Value: float64(v)} }
	s := p.dispatcher.BackpressureFigures()
	var t grpcfront.TokenCounts
	if p.grpcFront != nil {
		t = p.grpcFront.TokenCounts()
	}
	return []metrics.Figure{
		counter("tickets_good", t.Good), counter("tickets_early", t.Early), counter("tickets_expired", t.Expired),
		counter("tickets_used", t.Used), counter("tickets_bad", t.Bad),
		counter("requests", c.Requests), counter("started", c.Started), counter("refused", c.Rejected),
		counter("failed", c.Failed), counter("over", c.Completed), counter("moved", c.Migrated),
		counter("withdrawn", c.Cancelled), counter("opened", c.Adopted), counter("resumed", c.Resumed),
		counter("offers", c.Offers), counter("offers_full", c.RejectedByWorker), counter("offers_timed_out", c.TimedOut),
		counter("offers_not_connected", c.ConnectFailed), counter("offers_reset", c.Reset),
		counter("offers_held_back", c.Blocked), counter("samples_lost", e.Dropped()),
		gauge("open", p.dispatcher.OpenCount()), gauge("standing", p.dispatcher.RunningCount()), gauge("owners", p.clientFront.Connections()),
		gauge("sockets_free", p.loop.FreeDescriptors()), gauge("storm_state", int(s.State)), gauge("storm_kind", int(s.Kind)),
		{Name: "storm_pace", Value: s.Pace}, {Name: "storm_held", Value: s.Held}, {Name: "storm_booked", Value: s.Booked},
	}
}
