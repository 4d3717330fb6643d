package main

// sessionterm offers tasks in gRPC sessions until SIGTERM ends their streams, and looks for offers without a response. It is a
// search tool, made for the entry TestSessions of KNOWN-RED.txt.

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"ravenhitch/internal/grpcfront/edgepb"
)

func init() { cases["sessionterm"] = playSessionTerm }

func playSessionTerm(s *scene) verdict {
	var v verdict
	const rounds = 8
	for round := range rounds {
		found, err := s.sessionRound(round)
		if err != nil {
			return verdict{failed: err}
		}
		v.breaks = append(v.breaks, found...)
	}
	return v
}

func (s *scene) sessionRound(round int) ([]string, error) {
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(s.dir, "round")
	if err != nil {
		return nil, err
	}
	orch, err := newOrchestrator(s.record, s.root, dir)
	if err != nil {
		return nil, err
	}
	orch.conf = filepath.Join(dir, "operators.conf")
	if err := os.WriteFile(orch.conf, []byte("[grpc]\nlisten "+addr+"\n"), 0o600); err != nil {
		return nil, err
	}
	c, err := newChannel(s.record, 0)
	if err != nil {
		return nil, err
	}
	var entries []string
	for i := range 4 {
		m, err := newMinion(s.record, fmt.Sprintf("s-%08x", 0xa1+i), "hall-a", i+1, 63, 117, rand.Int63())
		if err != nil {
			return nil, err
		}
		m.sizeOf = func(string) (float64, float64) { return 0.05, 0.1 }
		m.lifeOf = func(string) time.Duration { return 2 * time.Second }
		m.wait = [2]time.Duration{0, 2 * time.Millisecond}
		m.run()
		entries = append(entries, m.entry("up"))
	}
	c.add(true, entries...)
	if err := orch.start(c); err != nil {
		return nil, err
	}
	defer orch.stop()
	var mu sync.Mutex
	sent, answered := map[string]time.Time{}, map[string]bool{}
	var ends []time.Time
	var group sync.WaitGroup
	for n := range 4 {
		conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return nil, err
		}
		stream, err := edgepb.NewOrchestratorClient(conn).Session(context.Background())
		if err != nil {
			return nil, err
		}
		_ = stream.Send(&edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Open{Open: &edgepb.Open{Session: fmt.Sprint("d", n)}}})
		ended := make(chan struct{})
		group.Go(func() {
			defer close(ended)
			for {
				m, err := stream.Recv()
				mu.Lock()
				if err != nil {
					s.record.log("round %d stream %d: %v", round, n, err)
					ends = append(ends, time.Now())
					mu.Unlock()
					return
				}
				if b := m.GetBinding(); b != nil {
					answered[b.OfferId] = true
				}
				if r := m.GetRejection(); r != nil {
					answered[r.OfferId] = true
				}
				mu.Unlock()
			}
		})
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-ended:
					return
				case <-time.After(4 * time.Millisecond):
				}
				id := fmt.Sprintf("%04x%012x", n, i)
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				_ = stream.Send(&edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Offer{Offer: &edgepb.Offer{OfferId: id, Task: id, Class: "guide-web",
					Cores: 0.05, Memory: 0.1, Service: "5", Description: "d", WaitMs: 1500}}})
			}
		})
	}
	time.Sleep(2 * time.Second)
	term := time.Now()
	_ = orch.cmd.Process.Signal(syscall.SIGTERM)
	group.Wait()
	<-orch.ended
	mu.Lock()
	defer mu.Unlock()
	last := ends[len(ends)-1]
	var found []string
	unanswered, oldest, inTime := 0, time.Duration(0), 0
	for id, at := range sent {
		if answered[id] {
			continue
		}
		unanswered++
		oldest = max(oldest, last.Sub(at))
		if at.Sub(term) <= 600*time.Millisecond {
			inTime++
			found = append(found, fmt.Sprintf("offer %s, sent %v after SIGTERM, got no response", id, at.Sub(term)))
		}
	}
	text := fmt.Sprintf("round %d: %d offers, %d without a response, the oldest sent %v before the last stream's end; %d of them within 0.6 s of SIGTERM; streams ended %v after it",
		round, len(sent), unanswered, oldest, inTime, last.Sub(term))
	s.record.log("%s", text)
	fmt.Println(text)
	return found, nil
}
