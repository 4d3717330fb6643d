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
)

// This file owns what is seen of a fleet: every orchestrator is asked for its table, and what
// was so at that time is noted beside it. It must never judge.

// sample is what all were asked at one time, and how things were.
type sample struct {
	at   time.Time
	told map[string]*peer.StatusReport // by who was asked; nil where there was no answer
	up   map[string]bool               // runs, and is not paused
	born map[string]time.Time
	open map[[2]string]bool // ways that carry
}

const sampleEvery = 100 * time.Millisecond

// Watch asks everybody for the table, until the rig ends.
func (r *Fleet) Watch() {
	r.wait.Go(func() {
		for tick := time.NewTicker(sampleEvery); ; {
			select {
			case <-tick.C:
				s := r.look()
				r.mu.Lock()
				r.samples = append(r.samples, s)
				r.mu.Unlock()
			case <-r.stop:
				tick.Stop()
				return
			}
		}
	})
}

func (r *Fleet) look() sample {
	s := sample{at: time.Now(), told: map[string]*peer.StatusReport{}, up: map[string]bool{}, born: map[string]time.Time{}, open: map[[2]string]bool{}}
	var mu sync.Mutex
	var all sync.WaitGroup
	r.mu.Lock()
	for _, x := range r.Orchestrators {
		x.mu.Lock()
		s.up[x.Name] = x.Up() && s.at.After(x.pausedAt.Add(x.pausedFor))
		s.born[x.Name] = x.born
		x.mu.Unlock()
		for _, o := range r.Orchestrators {
			s.open[[2]string{x.Name, o.Name}] = r.net.Open(x.Name, o.Name)
		}
		if s.up[x.Name] {
			all.Go(func() {
				if t := table(x.mgmt); t != nil {
					mu.Lock()
					s.told[x.Name] = t
					mu.Unlock()
				}
			})
		}
	}
	r.mu.Unlock()
	all.Wait()
	return s
}

// table asks an orchestrator for what it believes; nil where it does not answer.
func table(mgmt string) *peer.StatusReport {
	c, err := net.DialTimeout("tcp", mgmt, sampleEvery)
	if err != nil {
		return nil
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * sampleEvery))
	fmt.Fprintln(c, "PEERS")
	b, err := io.ReadAll(c)
	line, whole := strings.CutSuffix(string(b), "\n.\n")
	var t peer.StatusReport
	if err != nil || !whole || json.Unmarshal([]byte(line), &t) != nil {
		return nil
	}
	return &t
}
