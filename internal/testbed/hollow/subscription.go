package hollow

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"ravenhitch/internal/shard"
	"ravenhitch/internal/testbed"
)

// This file implements the HTTP server at which one orchestrator polls discovery, and records which
// events the orchestrator has applied.

// Subscription is the command channel of one orchestrator, by which it polls discovery.
type Subscription struct {
	discovery  *Discovery
	server     *http.Server
	listener   countingListener
	goroutines sync.WaitGroup

	mutex      sync.Mutex
	base       int // revision of the initial list of the orchestrator's latest start, minus 1
	lastPolled int // revision of the last event that the orchestrator had applied at its latest poll or start
}

// Subscribe opens a command channel for one orchestrator.
func (d *Discovery) Subscribe() (*Subscription, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("hollow: command channel: %w", err)
	}
	s := &Subscription{discovery: d, listener: countingListener{Listener: listener, bytes: &ByteCounters{}}}
	s.server = &http.Server{Handler: http.HandlerFunc(s.servePoll)}
	s.goroutines.Go(s.serve)
	return s, nil
}

// serve serves polls until Close. It ignores the error of Serve: after Close, an error is expected, and if the server
// fails earlier, the test notices that polls get no answer.
func (s *Subscription) serve() { _ = s.server.Serve(s.listener) }

// Close closes the command channel and waits until its server has ended.
func (s *Subscription) Close() {
	testbed.CloseQuietly(s.server)
	s.goroutines.Wait()
}

// Address returns the address that the orchestrator polls.
func (s *Subscription) Address() string { return s.listener.Addr().String() }

// Bytes returns the byte counters of the command channel. Received is the number of bytes that the orchestrator
// sent.
func (s *Subscription) Bytes() *ByteCounters { return s.listener.bytes }

// LastAppliedRevision returns the revision of the last event that the orchestrator has applied.
func (s *Subscription) LastAppliedRevision() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lastPolled
}

// InitialList returns the complete list, as text for the configuration of an orchestrator that starts now. The events
// of that orchestrator are then numbered from 1 again.
func (s *Subscription) InitialList() string {
	s.discovery.mutex.Lock()
	defer s.discovery.mutex.Unlock()
	s.mutex.Lock()
	s.base = s.discovery.revision - 1
	s.lastPolled = s.discovery.revision
	s.mutex.Unlock()
	return answerText(1, s.discovery.completeEvent(1))
}

// servePoll answers a poll for the events that follow a cursor.
func (s *Subscription) servePoll(w http.ResponseWriter, r *http.Request) {
	p, refresh, err := parsePoll(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if refresh.Len() > 0 {
		s.discovery.publishShards(refresh)
	}
	s.mutex.Lock()
	p.base = s.base
	s.lastPolled = p.lastRevision()
	s.mutex.Unlock()
	blockMs, _ := strconv.Atoi(r.URL.Query().Get("block"))
	answer, err := s.waitForAnswer(r, p, time.Duration(blockMs)*time.Millisecond)
	if err == nil {
		_, _ = io.WriteString(w, answer) // write errors are ignored: an orchestrator whose connection ended polls again
	}
}

// parsePoll parses a poll. The result refresh holds the shards for which the orchestrator requests all current
// entries again.
func parsePoll(r *http.Request) (p *poll, refresh shard.Set, err error) {
	query := r.URL.Query()
	after, _ := strconv.Atoi(query.Get("resume"))
	shards, shardsErr := shard.Parse(query.Get("shards"))
	refresh, freshErr := shard.Parse(query.Get("fresh"))
	p = &poll{after: after, shards: shards, delayCapacity: query.Get("room") == "late" && refresh.Len() == 0}
	return p, refresh, cmp.Or(shardsErr, freshErr)
}

// waitForAnswer waits until there is an answer to a poll. After the poll's timeout, it returns the delayed
// changes of free capacity, or an answer without events. It returns an error if the orchestrator ends the
// request.
func (s *Subscription) waitForAnswer(r *http.Request, p *poll, timeout time.Duration) (string, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		answer, _, added := s.discovery.answer(p)
		if answer != "" {
			return answer, nil
		}
		select {
		case <-added:
		case <-timer.C:
			p.delayCapacity = false
			answer, cursor, _ := s.discovery.answer(p)
			if answer == "" {
				answer = answerText(cursor, "")
			}
			return answer, nil
		case <-r.Context().Done():
			return "", r.Context().Err()
		}
	}
}
