package main

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"ravenhitch/internal/grpcfront/edgepb"
)

func init() { cases["fuzzgrpc"] = playFuzzGRPC }

func playFuzzGRPC(s *scene) verdict {
	addr, err := freeAddress()
	if err != nil {
		return verdict{failed: err}
	}
	s.orch.conf = filepath.Join(s.dir, "operators.conf")
	if err := os.WriteFile(s.orch.conf, []byte("[grpc]\nlisten "+addr+"\n"), 0o600); err != nil {
		return verdict{failed: err}
	}
	go func() {
		time.Sleep(time.Second)
		for n := range 6 {
			go fuzzDevice(addr, rand.New(rand.NewSource(time.Now().UnixNano()+int64(n))))
		}
	}()
	return playFuzz(s)
}

func fuzzDevice(addr string, r *rand.Rand) {
	offer := func() *edgepb.Offer {
		return &edgepb.Offer{OfferId: fmt.Sprintf("%016x", 100+r.Intn(20)), Task: fmt.Sprint("t", r.Intn(8)), Class: []string{"guide-web", "archive-cut"}[r.Intn(2)],
			Cores: 1, Memory: 1, Service: "5", Description: "d", WaitMs: uint32(r.Intn(2000))}
	}
	for {
		conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			panic(err)
		}
		c := edgepb.NewOrchestratorClient(conn)
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(100+r.Intn(6000))*time.Millisecond)
		if st, err := c.Session(ctx); err == nil {
			_ = st.Send(&edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Open{Open: &edgepb.Open{Session: fmt.Sprint("s", r.Intn(3)), Seen: uint64(r.Intn(50))}}})
			go func() {
				for {
					if _, err := st.Recv(); err != nil {
						return
					}
				}
			}()
			for range r.Intn(60) {
				var m *edgepb.ClientMessage
				switch r.Intn(6) {
				case 0:
					m = &edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Ack{Ack: uint64(r.Intn(100))}}
				case 1:
					m = &edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Release{Release: &edgepb.ReleaseRequest{OfferId: offer().OfferId}}}
				default:
					m = &edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Offer{Offer: offer()}}
				}
				if st.Send(m) != nil {
					break
				}
				if r.Intn(3) == 0 {
					go func(o *edgepb.Offer) { _, _ = c.Place(ctx, o) }(offer())
				}
				if r.Intn(8) == 0 {
					go func(id string) { _, _ = c.Release(ctx, &edgepb.ReleaseRequest{OfferId: id}) }(offer().OfferId)
				}
				time.Sleep(time.Duration(r.Intn(50)) * time.Millisecond)
			}
			if r.Intn(2) == 0 {
				_ = st.CloseSend()
				time.Sleep(time.Duration(r.Intn(500)) * time.Millisecond)
			}
		}
		cancel()
		_ = conn.Close()
	}
}
