package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"ravenhitch/internal/peer"
	"ravenhitch/internal/testbed"
)

// This file takes samples: it records the state of the processes and paths and immediately afterwards requests the
// membership table of every running orchestrator. judge.go evaluates the samples.

const (
	samplePeriod  = 100 * time.Millisecond // time between two samples, and timeout of the dial for a status request
	statusTimeout = 2 * samplePeriod       // timeout of a status request once the connection is established
)

// sample holds the status reports of all orchestrators and the state of the fleet at one time.
type sample struct {
	at        time.Time
	reports   map[string]*peer.StatusReport // by orchestrator name; no entry for an orchestrator that did not answer
	running   map[string]bool               // by orchestrator name; true if the orchestrator runs and is not paused
	startedAt map[string]time.Time          // latest start of each orchestrator
	open      map[path]bool                 // true for each path between orchestrators that is neither cut nor refuses connections
}

// StartSampling takes a sample every samplePeriod until the fleet shuts down. It returns at once.
func (f *Fleet) StartSampling() {
	f.goroutines.Go(func() {
		ticker := time.NewTicker(samplePeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				s := f.takeSample()
				f.mu.Lock()
				f.samples = append(f.samples, s)
				f.mu.Unlock()
			case <-f.stop:
				return
			}
		}
	})
}

// takeSample takes a sample, with concurrent status requests to all running orchestrators.
func (f *Fleet) takeSample() sample {
	s := f.newSample()
	var mu sync.Mutex
	var requests sync.WaitGroup
	for _, o := range f.Orchestrators {
		if !s.running[o.Name] {
			continue
		}
		requests.Go(func() {
			if report := requestStatus(o.adminAddress); report != nil {
				mu.Lock()
				s.reports[o.Name] = report
				mu.Unlock()
			}
		})
	}
	requests.Wait()
	return s
}

// newSample returns a sample with the states of processes and paths but without status reports.
func (f *Fleet) newSample() sample {
	s := sample{
		at:        time.Now(),
		reports:   map[string]*peer.StatusReport{},
		running:   map[string]bool{},
		startedAt: map[string]time.Time{},
		open:      map[path]bool{},
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.Orchestrators {
		s.running[o.Name], s.startedAt[o.Name] = o.status(s.at)
		for _, other := range f.Orchestrators {
			s.open[path{o.Name, other.Name}] = f.network.Open(o.Name, other.Name)
		}
	}
	return s
}

// connected reports whether orchestrator b runs and a could reach it, directly or through other running
// orchestrators, over paths that are open in both directions.
func (s *sample) connected(a, b string) bool {
	reached, queue := map[string]bool{a: true}, []string{a}
	for len(queue) > 0 && !reached[b] {
		current := queue[0]
		queue = queue[1:]
		for next, running := range s.running {
			if !reached[next] && running && s.open[path{current, next}] && s.open[path{next, current}] {
				reached[next] = true
				queue = append(queue, next)
			}
		}
	}
	return reached[b]
}

// requestStatus requests the status report of an orchestrator. It returns nil if there is no complete
// and valid answer in time.
func requestStatus(adminAddress string) *peer.StatusReport {
	conn, err := net.DialTimeout("tcp", adminAddress, samplePeriod)
	if err != nil {
		return nil
	}
	defer testbed.CloseQuietly(conn)
	if err := conn.SetDeadline(time.Now().Add(statusTimeout)); err != nil {
		return nil
	}
	if _, err := fmt.Fprintln(conn, "PEERS"); err != nil {
		return nil
	}
	answer, err := io.ReadAll(conn)
	text, complete := strings.CutSuffix(string(answer), "\n.\n")
	var report peer.StatusReport
	if err != nil || !complete || json.Unmarshal([]byte(text), &report) != nil {
		return nil
	}
	return &report
}
