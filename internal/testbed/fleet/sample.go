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

// This file owns the samples: every orchestrator is asked for its membership table, and the
// state of processes and paths at that time is recorded beside it. It must never judge.

const (
	samplePeriod  = 100 * time.Millisecond
	statusTimeout = 2 * samplePeriod
)

// sample is what all orchestrators reported at one time, and the state of the rig then.
type sample struct {
	at        time.Time
	reports   map[string]*peer.StatusReport // by orchestrator; none where it did not answer
	running   map[string]bool               // and not paused
	startedAt map[string]time.Time
	open      map[path]bool // paths that carry
}

// Watch takes samples until the rig ends.
func (f *Fleet) Watch() {
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

// takeSample asks all orchestrators that run at once.
func (f *Fleet) takeSample() sample {
	s := f.stateOfRig()
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

// stateOfRig is a sample without reports.
func (f *Fleet) stateOfRig() sample {
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

// connected reports whether two orchestrators could reach each other, directly or through
// others that ran, with both directions of each path open.
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

// requestStatus asks an orchestrator for its membership table; nil where it does not answer.
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
