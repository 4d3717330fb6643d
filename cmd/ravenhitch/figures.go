package main

// This file exports figures of the server to Graphite and to collectd. The event loop never waits for a
// receiver: each exporter sends on its own goroutine.

import (
	"sync"
	"time"

	"ravenhitch/internal/config"
	"ravenhitch/internal/grpcfront"
	"ravenhitch/internal/metrics"
)

// exporterCloseTimeout is the maximum time that the exporters get at a shutdown to send their last figures. It ends before
// the platform kills the process (see killMarginUs).
const exporterCloseTimeout = 50 * time.Millisecond

// startExporters starts an exporter for each receiver named in the operators' file.
func (s *server) startExporters(cfg config.Config, operators config.OperatorSettings) {
	if receiver := operators.Graphite; receiver.Address != "" {
		s.startExporter("tcp", receiver, metrics.Graphite{Prefix: receiver.Prefix, Name: cfg.Name})
	}
	if receiver := operators.Collectd; receiver.Address != "" {
		s.startExporter("unix", receiver, metrics.Collectd{Prefix: receiver.Prefix, Name: cfg.Name,
			Interval: time.Duration(receiver.IntervalMs) * time.Millisecond})
	}
}

// startExporter starts an exporter that sends figures to one receiver at the configured interval.
func (s *server) startExporter(network string, receiver config.Metrics, protocol metrics.Protocol) {
	exporter := metrics.NewExporter(network, receiver.Address, protocol, s.log)
	s.exporters = append(s.exporters, exporter)
	intervalUs := receiver.IntervalMs * millisecond
	var export func()
	export = func() {
		exporter.Offer(metrics.Sample{At: time.Now(), Figures: s.figures(exporter)})
		s.loop.After(intervalUs, export)
	}
	s.loop.After(intervalUs, export)
}

// closeExporters stops the exporters at the same time. Each exporter gets exporterCloseTimeout to send the figures that are
// still queued.
func (s *server) closeExporters() {
	var closing sync.WaitGroup
	for _, exporter := range s.exporters {
		closing.Go(func() { exporter.Close(exporterCloseTimeout) })
	}
	closing.Wait()
}

// figures returns the current figures of the server, and the number of samples that the given exporter has lost.
// Dashboards refer to the figures by name, so the names must not change.
func (s *server) figures(exporter *metrics.Exporter) []metrics.Figure {
	counter := func(name string, v int64) metrics.Figure {
		return metrics.Figure{Name: name, Value: float64(v), Counter: true}
	}
	gauge := func(name string, v int) metrics.Figure { return metrics.Figure{Name: name, Value: float64(v)} }
	counts, overload := s.dispatcher.Counts(), s.dispatcher.BackpressureFigures()
	var tokens grpcfront.TokenCounts
	if s.grpcFront != nil {
		tokens = s.grpcFront.TokenCounts()
	}
	completions, connections, clients := s.clientFront.CompletionCounts(), s.pool.Counts(), s.clientFront.ConnectionCounts()
	polls := s.follower.Counts()
	return []metrics.Figure{
		counter("completions_sent", completions.Sent), counter("completions_confirmed", completions.Confirmed),
		counter("completions_repeated", completions.Repeated), counter("completions_dropped", completions.Dropped),
		counter("client_conns_evicted", clients.Evicted), counter("client_conns_stalled", clients.Stalled),
		counter("client_conns_idle", clients.Idle), counter("client_conns_malformed", clients.Malformed),
		counter("client_conns_closed", clients.ClosedByClient), counter("client_conns_broken", clients.Broken),
		counter("worker_conns_opened", connections.Opened), counter("worker_conns_aborted", connections.Aborted),
		counter("worker_conns_closed", connections.Closed), counter("worker_conns_broken", connections.Broken),
		counter("worker_conns_for_late_completions", connections.LateCompletions),
		counter("worker_conns_read_at_close", connections.ReadAtClose),
		counter("discovery_late", polls.Late), counter("discovery_invalid", polls.Invalid),
		gauge("discovery_staleness_ms", int(s.follower.Staleness()/millisecond)),
		counter("tickets_good", tokens.Good), counter("tickets_early", tokens.Early),
		counter("tickets_expired", tokens.Expired), counter("tickets_used", tokens.Used), counter("tickets_bad", tokens.Bad),
		counter("requests", counts.Requests), counter("started", counts.Started), counter("refused", counts.Rejected),
		counter("failed", counts.Failed), counter("over", counts.Completed), counter("moved", counts.Migrated),
		counter("withdrawn", counts.Cancelled), counter("opened", counts.Adopted), counter("resumed", counts.Resumed),
		counter("offers", counts.Offers), counter("offers_full", counts.RejectedByWorker),
		counter("offers_timed_out", counts.TimedOut), counter("offers_not_connected", counts.ConnectFailed),
		counter("offers_reset", counts.Reset), counter("offers_held_back", counts.Blocked),
		counter("samples_lost", exporter.Dropped()),
		gauge("open", s.dispatcher.OpenCount()), gauge("standing", s.dispatcher.RunningCount()),
		gauge("owners", s.clientFront.Connections()), gauge("sockets_free", s.loop.FreeDescriptors()),
		gauge("storm_state", int(overload.State)), gauge("storm_kind", int(overload.Kind)),
		{Name: "storm_pace", Value: overload.ReleaseRate}, {Name: "storm_held", Value: overload.PendingUnits},
		{Name: "storm_booked", Value: overload.ReservedUnits},
	}
}
