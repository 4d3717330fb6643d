package main

// grpckill kills the orchestrator while a task that was offered in a gRPC session stands, starts it again, and repeats the offer
// 3 s later, as README.md says of sessions whose stream broke. It is a search tool.

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

func init() { cases["grpckill"] = playGRPCKill }

func playGRPCKill(s *scene) verdict {
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
	starts := make(chan string, 10)
	var entries []string
	for i := range 3 {
		m, err := newMinion(s.record, fmt.Sprint("s-", i+1), "hall-a", i+1, 63, 117, s.seed+int64(i))
		if err != nil {
			return verdict{failed: err}
		}
		m.sizeOf = func(string) (float64, float64) { return 4, 6 }
		m.lifeOf = func(string) time.Duration { return 40 * time.Second }
		m.onStarted = func(m *minion, _, _ string) { starts <- m.id }
		m.run()
		entries = append(entries, m.entry("up"))
	}
	c.add(true, entries...)
	if err := s.orch.start(c); err != nil {
		return verdict{failed: err}
	}
	offer := func(read bool) error {
		conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return err
		}
		stream, err := edgepb.NewOrchestratorClient(conn).Session(context.Background())
		if err != nil {
			return err
		}
		_ = stream.Send(&edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Open{Open: &edgepb.Open{Session: "device"}}})
		_ = stream.Send(&edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Offer{Offer: &edgepb.Offer{OfferId: "00000000000000aa", Task: "k",
			Class: "archive-cut", Cores: 4, Memory: 6, Service: "5", Description: "d", WaitMs: 10000}}})
		if read {
			m, err := stream.Recv()
			fmt.Println("got", m, err)
		}
		return nil
	}
	if err := offer(false); err != nil {
		return verdict{failed: err}
	}
	fmt.Println("started at", <-starts)
	s.orch.kill()
	if err := s.orch.start(c); err != nil {
		return verdict{failed: err}
	}
	time.Sleep(3 * time.Second)
	if err := offer(true); err != nil {
		return verdict{failed: err}
	}
	select {
	case id := <-starts:
		fmt.Println("started again at", id)
	case <-time.After(2 * time.Second):
		fmt.Println("not started again")
	}
	return verdict{}
}
