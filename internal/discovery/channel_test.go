package discovery

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/workerpool"
	"ravenhitch/placement"
)

// A channel that is back is asked within the time in which the list is to be read, also where
// the call under way is never answered: on a connection that stays open and silent nothing
// but the time tells.
func TestSilentChannelIsAskedInTime(t *testing.T) {
	if longest := blockMs*1000 + answerSlack + againAfter; longest >= listWithin {
		t.Errorf("a silent call is given up and made again after %d us, expected less than %d", longest, listWithin)
	}
}

// newNodes returns links on a loop of their own, and the core that they serve.
func newNodes(t *testing.T) (*eventloop.Loop, *workerpool.Pool, *dispatch.Dispatcher) {
	t.Helper()
	l, err := eventloop.New(10)
	if err != nil {
		t.Fatal(err)
	}
	n := workerpool.New(l, 1_000_000, true, slog.New(slog.DiscardHandler))
	c, err := dispatch.New(placement.Settings{FleetSize: 1, CoresOvercommit: 1, MemoryOvercommit: 1,
		Classes: []placement.Class{{Name: "cut", Effect: placement.Unsafe, Kind: -1}},
		Kinds:   []placement.Kind{{Name: "std", Cores: 1, Memory: 1}}}, 1, n, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.SetDispatcher(c)
	return l, n, c
}

// A command channel that breaks off in the middle of an event, or of the answer's
// head, is asked again for the same event, which is applied once. One that answers twice is
// asked anew, and one that counts from lower on tells nothing.
func TestChannelBreaksOff(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l, n, c := newNodes(t)
	var text bytes.Buffer
	ch := NewFollower(l, c, n, ln.Addr().String(), 1_000_000, slog.New(slog.NewTextHandler(&text, nil)))
	ch.cursor = 6
	ch.Start()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := l.Run(func(now int64) { n.DeliverPending(); c.Turn(now) }); err != nil {
			t.Error(err)
		}
		l.Close()
	}()
	body := `{"cursor":7,"cmds":[{"cursor":7,"nodes":{"complete":false,"members":[{"id":"s-1","host_port":"127.0.0.1:9",` +
		`"locality":"h","flavor":"std","cell":1,"phase":"draining","size":1,"up_since_ms":0,"spare":[1,1]}]}}]}`
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	low := "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n{\"cursor\":5,\"cmds\":[]} "
	next := strings.ReplaceAll(whole, `"cursor":7`, `"cursor":8`)
	for _, x := range []struct {
		asked, answer string
		open          bool // it does not close behind that
	}{{"resume=6&", whole[:len(whole)-40], false}, {"resume=6&", whole[:12], false},
		{"resume=6&", strings.Replace(whole, `"members"`, `"members`, 1), false},
		{"resume=6&", "HTTP/1.1 100 Continue\r\n\r\n" + whole, false}, {"resume=7&", low, false},
		{"resume=7&", next + next, true}, {"resume=8&", "", false}} {
		ln.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second))
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		for r := bufio.NewReader(c); ; {
			c.SetReadDeadline(time.Now().Add(10 * time.Second))
			line, err := r.ReadString('\n')
			if err != nil || strings.HasPrefix(line, "GET") && !strings.Contains(line, x.asked) {
				t.Fatalf("asked %q (%v), expected %s", line, err, x.asked)
			}
			if line == "\r\n" {
				break
			}
		}
		io.WriteString(c, x.answer)
		if !x.open {
			c.Close()
		}
	}
	l.Post(l.Stop)
	<-done
	if !c.IsListed("s-1") {
		t.Error("the event was not applied")
	}
	if strings.Contains(text.String(), "discovery timed out") { // it was waited for in vain
		t.Error(text.String())
	}
}
