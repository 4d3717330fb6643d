package main

// This file owns the rig of tests in which connections to workers fail: a server whose workers are
// reached by proxies, one client, and a log of the attempts at all workers.

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// proxiedServer is a server whose workers are reached by proxies, with a client of its own.
type proxiedServer struct {
	*testServer
	*testbed.Client
	proxies        map[string]*testbed.Proxy
	attempts       *testbed.AttemptLog
	lastID         int
	firstResponses map[string]string // verb of the first response, by request ID
}

// newProxiedServer starts a server under these settings.
func newProxiedServer(t *testing.T, settings string, log *slog.Logger, workers ...string) *proxiedServer {
	t.Helper()
	s := &proxiedServer{proxies: map[string]*testbed.Proxy{}, attempts: testbed.NewAttemptLog(), firstResponses: map[string]string{}}
	s.testServer = startTestServer(t, serverOptions{settings: settings, log: log, onWorker: func(worker *testbed.Worker) {
		worker.Attempts = s.attempts
		s.proxies[worker.Name] = testbed.NewProxy(t, worker)
	}}, workers...)
	s.Client = s.connect(t)
	return s
}

// newWarmProxiedServer starts a server that knows its workers to answer quickly, so that later attempts
// are abandoned early and many are in flight at a time.
func newWarmProxiedServer(t *testing.T, settings string, log *slog.Logger, workers ...string) *proxiedServer {
	t.Helper()
	s := newProxiedServer(t, settings, log, workers...)
	s.waitResponses(t, s.submit("ok", 1, 5000)) // from then on the client may have many requests open
	s.expectAllStarted(t, s.submit("ok", 16*len(workers), 5000))
	return s
}

// submit submits so many requests of small tasks at once and returns their request IDs. The kind of a
// task is what a worker does with it.
func (s *proxiedServer) submit(kind string, count, timeoutMs int) (ids []string) {
	for range count {
		s.lastID++
		id := testbed.RequestID(s.lastID)
		line := testbed.StartLine(id, "guide-web", fmt.Sprintf("%s-%d", kind, s.lastID), timeoutMs)
		line.Opts["extras"] = "cores:0.05;memory:0.1;service:00000000b4d65521"
		testbed.Send(s, line)
		ids = append(ids, id)
	}
	return ids
}

// noteOnceOffered lets every worker send something once half of the offers came, and waits until
// the server has read that.
func (s *proxiedServer) noteOnceOffered(t *testing.T, ids []string) {
	t.Helper()
	s.eventually(t, "half of the offers", func() bool { return 2*len(s.attempts.Open()) >= len(ids) })
	for _, worker := range s.workers {
		proxy := s.proxies[worker.Name]
		before := proxy.Returned()
		worker.SendNotice()
		s.eventually(t, "the notice of "+worker.Name, func() bool { return proxy.Returned() > before })
	}
	s.onLoop(t, func() {}) // a turn, and another: what was handed on is read
	s.onLoop(t, func() {})
}

// waitResponses waits for the responses to all requests, and returns how many were started.
func (s *proxiedServer) waitResponses(t *testing.T, ids []string) (started int) {
	t.Helper()
	for _, id := range ids {
		for s.firstResponses[id] == "" {
			s.nextLine(t)
		}
		if s.firstResponses[id] == "STARTED" {
			started++
		}
	}
	return started
}

// expectAllStarted waits for the responses, all of which must be a start.
func (s *proxiedServer) expectAllStarted(t *testing.T, ids []string) {
	t.Helper()
	if started := s.waitResponses(t, ids); started != len(ids) {
		t.Errorf("%d of %d were started", started, len(ids))
	}
}

// nextLine takes the next line to the client. Until it comes the workers keep sending something.
func (s *proxiedServer) nextLine(t *testing.T) testbed.Line {
	t.Helper()
	for limit := time.After(testbed.Timeout); ; {
		select {
		case line := <-s.Lines:
			if s.firstResponses[line.Tag] == "" {
				s.firstResponses[line.Tag] = line.Verb
			}
			return line
		case <-time.After(20 * time.Millisecond):
			for _, worker := range s.workers {
				worker.SendNotice()
			}
		case <-limit:
			t.Fatal("a client waits in vain")
		}
	}
}

// waitCompletion takes lines until the completion of a task.
func (s *proxiedServer) waitCompletion(t *testing.T, id string) {
	t.Helper()
	for line := s.nextLine(t); line.Tag != id || line.Verb != "FINISH"; line = s.nextLine(t) {
	}
}

// waitNoOpenAttempt waits until no attempt is in flight.
func (s *proxiedServer) waitNoOpenAttempt(t *testing.T) {
	t.Helper()
	s.eventually(t, "no open attempt", func() bool { return len(s.attempts.Open()) == 0 })
}

// eventually waits until a condition holds.
func (s *proxiedServer) eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(testbed.Timeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%s: never came", what)
		}
	}
}

// waitRunningAt submits tasks until a further one runs on a worker.
func (s *proxiedServer) waitRunningAt(t *testing.T, worker string) {
	t.Helper()
	before := len(s.attempts.Running(worker))
	s.eventually(t, "a task on "+worker, func() bool {
		s.waitResponses(t, s.submit("ok", 4, 5000))
		return len(s.attempts.Running(worker)) > before
	})
}

// expectNoDuplicates fails where a worker got an offer while another attempt of its request was in flight.
func (s *proxiedServer) expectNoDuplicates(t *testing.T) {
	t.Helper()
	if duplicates := s.attempts.Duplicates(); len(duplicates) > 0 {
		t.Errorf("%d duplicate attempts, as %s", len(duplicates), duplicates[0])
	}
}
