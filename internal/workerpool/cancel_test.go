package workerpool

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/jsonlines"
	"ravenhitch/placement"
)

// stuffing is more than the system takes for a worker that does not read.
const stuffing = 32 << 20

// An offer that is given up while it waits for its worker to read is taken back: it would
// reach the worker as soon as that reads on, long after its client has gone.
func TestGivenUpBeforeItsWorkerReads(t *testing.T) {
	const tag = "9b1f03aa5c7e2d41"
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l, n, c := newNodes(t)
	l.SetMaxBuffered(2 * stuffing)
	c.UpdateWorkers(l.Now(), placement.WorkerList{Kind: placement.ListFull, Entries: []placement.Entry{{Worker: "a", Kind: "std"}}})
	n.UpdateWorker("a", ln.Addr().String(), true)
	nc := n.links["a"].conns[0]
	worker, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer worker.Close()
	word := string(jsonlines.Append(nil, &jsonlines.Message{Verb: jsonlines.VerbNotice, Tag: tag, Opts: []jsonlines.Field{{Name: "note", Value: "up"}, {Name: "value", Value: "0"}}}))
	s := dispatch.Submission{RequestID: tag, Class: "cut", Key: "k", TimeoutUs: 5_000_000, Cores: 1, Memory: 1}
	done, gaveUp := make(chan error, 1), make(chan bool)
	step, offeredAt := 0, int64(0)
	go func() {
		done <- l.Run(func(now int64) {
			n.DeliverPending()
			switch {
			case step == 0 && nc.wasUp:
				nc.c.Write([]byte(strings.Repeat(" ", stuffing) + "\n"))
				nc.c.Flush()
				if err := c.Submit(now, nil, s); err != nil {
					t.Error(err)
				}
				n.Offer("a", dispatch.Offer{RequestID: tag, Class: s.Class, Key: s.Key, TimeoutUs: s.TimeoutUs})
				step, offeredAt = 1, now
				if _, err := io.WriteString(worker, word); err != nil { // it is there, and does not read
					t.Error(err)
				}
			case step == 1 && nc.readAt > offeredAt:
				if s := nc.open[tag]; s == nil || s.end == 0 || s.left(nc.c) {
					t.Errorf("the offer should wait for its worker: %+v", s)
				}
				n.CancelAttempt("a", tag, false)
				step = 2
				close(gaveUp)
			}
		})
	}()
	defer func() {
		l.Post(l.Stop)
		if err := <-done; err != nil {
			t.Error(err)
		}
		l.Close()
	}()
	select {
	case <-gaveUp:
	case <-time.After(10 * time.Second):
		t.Fatal("the worker's word never came")
	}
	worker.SetReadDeadline(time.Now().Add(10 * time.Second))
	got, err := io.ReadAll(worker)
	if offered := strings.Contains(string(got), jsonlines.VerbStart); offered || !errors.Is(err, unix.ECONNRESET) {
		t.Errorf("the worker read %d bytes, then %v; the offer among them: %v", len(got), err, offered)
	}
}
