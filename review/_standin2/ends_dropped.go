package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/internal/testbed"
)

const (
	tasksOfDevice = 60
	badSessions   = 300 // "by the hundred"
	badOffers     = 40  // offers of each, which are not valid
	linkLost      = 4 * time.Second
	releaseLimit  = 8*time.Second + 50*time.Millisecond
)

// device is a gRPC client with one session, which acknowledges what it reads.
type device struct {
	h    *harness
	name string

	mu    sync.Mutex
	seen  uint64
	bound map[string]bool
	ended map[string]time.Time
}

// open opens the session by a stream over an address and reads until the stream ends.
func (d *device) open(ctx context.Context, addr string) edgepb.Orchestrator_SessionClient {
	stream, err := d.h.dialGRPC(addr).Session(ctx)
	if err != nil {
		d.h.cannotRun("%v", err)
	}
	d.mu.Lock()
	seen := d.seen
	d.mu.Unlock()
	d.send(stream, &edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Open{Open: &edgepb.Open{Session: d.name, Seen: seen}}})
	d.h.note("%s opens its session, seen %d", d.name, seen)
	go func() {
		for {
			message, err := stream.Recv()
			if err != nil {
				d.h.note("%s: stream ended: %v", d.name, err)
				return
			}
			d.h.note("%s <- %v", d.name, message)
			d.mu.Lock()
			d.seen = message.GetNumber()
			if binding := message.GetBinding(); binding != nil {
				d.bound[binding.GetOfferId()] = true
			}
			if ended := message.GetEnded(); ended != nil {
				d.ended[ended.GetOfferId()] = time.Now()
			}
			d.mu.Unlock()
			d.send(stream, &edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Ack{Ack: message.GetNumber()}})
		}
	}()
	return stream
}

func (d *device) send(stream edgepb.Orchestrator_SessionClient, message *edgepb.ClientMessage) {
	if err := stream.Send(message); err != nil {
		d.h.note("%s: %v", d.name, err)
	}
}

func (d *device) counts() (bound, ended int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.bound), len(d.ended)
}

// endsDropped lets the tasks of a device end while its link is lost for some seconds, beside a bad client with hundreds of
// sessions that acknowledges nothing.
func endsDropped(h *harness) {
	minions := []*minion{h.newMinion("s-a1", "hall-a"), h.newMinion("s-b1", "hall-b"), h.newMinion("s-c1", "hall-c")}
	o := h.startGRPC(testbed.Deployment{Orchestrators: 3, MaxRetryAfter: 3 * time.Second, MemoryMB: 64}, minions...)
	link := testbed.NewProxyTo(h, o.grpc)
	d := &device{h: h, name: "device", bound: map[string]bool{}, ended: map[string]time.Time{}}
	ctx, lose := context.WithCancel(context.Background())
	defer lose()
	stream := d.open(ctx, link.Addr())
	for i := range tasksOfDevice {
		d.send(stream, &edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Offer{Offer: &edgepb.Offer{
			OfferId: testbed.RequestID(0xd000 + i), Task: fmt.Sprint("relay-", i), Class: "live-relay", Cores: 1, Memory: 2, Service: "d",
			Description: fmt.Sprint("about relay-", i)}}})
		h.sleep(50 * time.Millisecond)
	}
	h.sleep(time.Second)
	if h.trouble {
		h.playBadSessions(o.grpc)
	}
	bound, _ := d.counts()
	if bound < tasksOfDevice/2 {
		h.cannotRun("only %d tasks were bound", bound)
	}
	if h.trouble {
		h.note("the link is lost")
		link.Blackhole()
	}
	lostAt := time.Now()
	h.sleep(time.Second)
	endAt := time.Now()
	for _, m := range minions {
		m.mu.Lock()
		var tags []string
		for tag := range m.tasks {
			tags = append(tags, tag)
		}
		m.mu.Unlock()
		for _, tag := range tags {
			m.completed(tag)
		}
	}
	h.sleep(linkLost - time.Since(lostAt))
	if h.trouble {
		lose() // the device gives its connection up and comes from a new address
		h.note("the link is back")
		ctx, end := context.WithCancel(context.Background())
		defer end()
		d.open(ctx, link.Addr())
	}
	h.waitFor(time.Until(endAt.Add(releaseLimit+2*time.Second)), func() bool {
		bound, ended := d.counts()
		return ended == bound
	})
	bound, ended := d.counts()
	h.note("%d tasks were bound, the device was told of %d ends", bound, ended)
	if ended < bound {
		h.breaks("%d of %d tasks that are over were never reported to their client", bound-ended, bound)
	}
}

// playBadSessions plays a bad client that opens sessions by the hundred, offers what is not valid and acknowledges nothing.
func (h *harness) playBadSessions(addr string) {
	answers := make(chan bool, badSessions*badOffers)
	for i := range badSessions {
		if i%75 == 0 {
			h.sleep(50 * time.Millisecond)
		}
		stream, err := h.badConn(addr, i/75).Session(context.Background())
		if err != nil {
			h.cannotRun("%v", err)
		}
		if err := stream.Send(&edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Open{Open: &edgepb.Open{Session: fmt.Sprint("bad-", i)}}}); err != nil {
			h.cannotRun("%v", err)
		}
		go func() {
			for {
				if _, err := stream.Recv(); err != nil {
					return
				}
				answers <- true
			}
		}()
		go func() {
			for j := range badOffers {
				_ = stream.Send(&edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Offer{Offer: &edgepb.Offer{
					OfferId: fmt.Sprintf("%08x%08x", 0xbad, i*badOffers+j), Task: "bad", Class: "no-such-class", Cores: -1}}})
			}
		}()
	}
	h.waitFor(10*time.Second, func() bool { return len(answers) >= badSessions*badOffers })
	h.note("the bad client has %d sessions and read %d answers", badSessions, len(answers))
}

// badConns are the connections of the bad client: one carries up to 100 streams.
var badConns = map[int]edgepb.OrchestratorClient{}

func (h *harness) badConn(addr string, number int) edgepb.OrchestratorClient {
	if badConns[number] == nil {
		badConns[number] = h.dialGRPC(addr)
	}
	return badConns[number]
}
