package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"ravenhitch/internal/grpcfront/edgepb"
)

func init() { cases["others"] = playOthers }

// playOthers looks at three suspicions once: a repeat over gRPC of an offer whose task is over, a quiet owner, and a task handed
// over at a minion that the list does not name yet.
func playOthers(s *scene) verdict {
	addr, err := freeAddress()
	if err != nil {
		return verdict{failed: err}
	}
	s.orch.conf = filepath.Join(s.dir, "operators.conf")
	if err := os.WriteFile(s.orch.conf, []byte("[grpc]\nlisten "+addr+"\n"), 0o600); err != nil {
		return verdict{failed: err}
	}
	c, err := newChannel(s.record, 0)
	if err != nil {
		return verdict{failed: err}
	}
	m, err := newMinion(s.record, "s-1", "hall-a", 1, 63, 117, 1)
	if err != nil {
		return verdict{failed: err}
	}
	m.sizeOf = func(string) (float64, float64) { return 1, 1 }
	m.lifeOf = func(key string) time.Duration {
		if key == "quiet" {
			return 40 * time.Second
		}
		return 2 * time.Second
	}
	m.run()
	c.add(true, m.entry("up"))
	if err := s.orch.start(c); err != nil {
		return verdict{failed: err}
	}
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return verdict{failed: err}
	}
	g := edgepb.NewOrchestratorClient(conn)
	place := func(id string) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		at := time.Now()
		b, err := g.Place(ctx, &edgepb.Offer{OfferId: id, Task: "k", Class: "guide-web", Cores: 1, Memory: 1, Service: "5", Description: "d"})
		s.record.log("Place %s: %v, %v after %v", id, b, err, time.Since(at))
		fmt.Println("Place", id, b, err, time.Since(at))
	}
	const a, b = "00000000000000aa", "00000000000000bb"
	place(a)
	place(b)
	place(a)
	time.Sleep(3 * time.Second)
	place(a)
	place(b)

	owner, err := dialClient(s.record, s.orch.addr, "owner")
	if err != nil {
		return verdict{failed: err}
	}
	start := time.Now()
	_ = owner.setUp("00000000000000cc", "quiet", "archive-cut", 10*time.Second, 1, 1, "")
	select {
	case <-owner.ended:
		fmt.Println("quiet owner's connection closed after", time.Since(start), owner.about("00000000000000cc"))
	case <-time.After(45 * time.Second):
		fmt.Println("quiet owner's connection kept", owner.about("00000000000000cc"))
	}
	for time.Since(start) < 60*time.Second {
		again, err := dialClient(s.record, s.orch.addr, "owner again, silent")
		if err != nil {
			break
		}
		<-again.ended
		if got := again.about("00000000000000cc"); len(got) > 0 {
			fmt.Println("got on silent connection", got, time.Since(start))
		}
	}
	return verdict{}
}
