package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/internal/testbed"
)

const (
	linkDelay      = 100 * time.Millisecond // of the poor link, towards the orchestrator
	callDeadline   = 2 * time.Second
	withdrawnAtOne = 400                    // "hundreds of requests withdrawn at once"
	withdrawPause  = 150 * time.Millisecond // and the same again
)

// dialGRPC connects a gRPC client.
func (h *harness) dialGRPC(addr string) edgepb.OrchestratorClient {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		h.cannotRun("%v", err)
	}
	h.Cleanup(func() { testbed.CloseQuietly(conn) })
	return edgepb.NewOrchestratorClient(conn)
}

// startGRPC starts one orchestrator of a small deployment with the gRPC front, before the given minions.
func (h *harness) startGRPC(deployment testbed.Deployment, minions ...*minion) *orchestrator {
	discovery := testbed.NewDiscovery(h)
	var entries []string
	for _, m := range minions {
		entries = append(entries, m.entry(m.listen("n0"), "up"))
	}
	discovery.Add(true, entries...)
	listen, grpcListen := h.freeAddress(), h.freeAddress()
	config := deployment.Config(0, listen, "", discovery.Server.Listener.Addr().String(), 7, discovery)
	o := h.start("n0", listen, config, "[grpc]\nlisten "+grpcListen+"\n")
	o.grpc = grpcListen
	h.sleep(500 * time.Millisecond)
	return o
}

// secondStart offers an archive cut whose answer does not come, and repeats the offer by the same id after the caller's
// deadline, as the pages of the front say. Meanwhile another client withdraws offers by the hundred.
func secondStart(h *harness) {
	minions := []*minion{h.newMinion("s-a1", "hall-a"), h.newMinion("s-b1", "hall-b"), h.newMinion("s-c1", "hall-c")}
	for _, m := range minions {
		m.answers = func(line testbed.Line) bool { return !h.trouble || !strings.HasPrefix(line.Opts["key"], "cut") }
	}
	o := h.startGRPC(testbed.Deployment{Orchestrators: 3, MaxRetryAfter: 3 * time.Second}, minions...)
	link := testbed.NewProxyTo(h, o.grpc)
	link.Delay(linkDelay)
	device := h.dialGRPC(link.Addr())
	offer := &edgepb.Offer{OfferId: "00000000000cafe1", Task: "cut-1", Class: "archive-cut", Cores: 4, Memory: 6, Service: "b4d65521",
		Description: "about cut-1"}
	place := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
		defer cancel()
		h.note("device -> Place %s, task %s, class %s", offer.GetOfferId(), offer.GetTask(), offer.GetClass())
		binding, err := device.Place(ctx, offer)
		h.note("device <- binding %v, error %v", binding, err)
		return err
	}
	bad, endBad := context.WithCancel(context.Background())
	badEnded := make(chan struct{})
	go func() {
		defer close(badEnded)
		if h.trouble && os.Getenv("TROUBLE") != "answers" {
			h.withdrawHundreds(bad, o.grpc)
		}
	}()
	err := place()
	h.sleep(checkTime)
	endBad()
	<-badEnded
	for range 3 {
		if code := status.Code(err); err == nil || code != codes.DeadlineExceeded && code != codes.Canceled {
			break
		}
		err = place() // "repeat the same offer to learn its fate"
	}
	h.sleep(time.Second)
	starts, offers := 0, 0
	for _, m := range minions {
		starts += m.ranKey("cut-1")
		offers += m.startsOf(offer.GetOfferId())
	}
	h.note("the archive cut was offered %d times and started %d times", offers, starts)
	if starts > 1 {
		h.breaks("the archive cut cut-1 was started %d times for one offer id", starts)
	}
	if starts == 0 {
		h.cannotRun("the archive cut was never started")
	}
}

// withdrawHundreds plays a bad client: hundreds of offers, withdrawn at once, again and again.
func (h *harness) withdrawHundreds(ctx context.Context, addr string) {
	stream, err := h.dialGRPC(addr).Session(ctx)
	if err != nil {
		h.note("bad client: %v", err)
		return
	}
	send := func(message *edgepb.ClientMessage) {
		if err := stream.Send(message); err != nil && ctx.Err() == nil {
			h.note("bad client: %v", err)
		}
	}
	var read atomic.Uint64
	go func() {
		for {
			message, err := stream.Recv()
			if err != nil {
				return
			}
			read.Store(message.GetNumber())
		}
	}()
	send(&edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Open{Open: &edgepb.Open{Session: "bad"}}})
	round := 0
	for ; ctx.Err() == nil; round++ {
		for i := range withdrawnAtOne {
			send(&edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Offer{Offer: &edgepb.Offer{
				OfferId: fmt.Sprintf("%08x%08x", 0xbad, round*withdrawnAtOne+i), Task: fmt.Sprint("bad-", round, "-", i),
				Class: "guide-web", Cores: 1000, Memory: 1000, Service: "bad", Description: "bad"}}})
		}
		for i := range withdrawnAtOne {
			send(&edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Release{Release: &edgepb.ReleaseRequest{
				OfferId: fmt.Sprintf("%08x%08x", 0xbad, round*withdrawnAtOne+i)}}})
		}
		h.waitFor(time.Second, func() bool { return read.Load() >= uint64((round+1)*withdrawnAtOne) })
		send(&edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Ack{Ack: read.Load()}})
		h.sleep(withdrawPause)
	}
	h.note("the bad client offered and withdrew %d tasks and read %d answers", round*withdrawnAtOne, read.Load())
}
