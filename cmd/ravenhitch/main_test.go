package main

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"ravenhitch/internal/config"
	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/internal/testbed"
)

func (w *testServer) grpcClient(t *testing.T) edgepb.OrchestratorClient {
	c, err := grpc.NewClient(w.grpcAddr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return edgepb.NewOrchestratorClient(c)
}

func newOffer(id, class, task string, waitMs uint32) *edgepb.Offer {
	return &edgepb.Offer{OfferId: id, Task: task, Class: class, Cores: 1, Memory: 2, Service: "b4d65521",
		Description: "about " + task, WaitMs: waitMs}
}

// clientSession is a stand-in client with a stream.
type clientSession struct {
	edgepb.Orchestrator_SessionClient
	disconnect context.CancelFunc
	messages  chan *edgepb.ServerMessage
	err  error // after got is closed
}

func (w *testServer) openSession(t *testing.T, name string, seen uint64) *clientSession {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	st, err := w.grpcClient(t).Session(ctx)
	if err != nil {
		t.Fatal(err)
	}
	s := &clientSession{Orchestrator_SessionClient: st, disconnect: cancel, messages: make(chan *edgepb.ServerMessage, 1000)}
	if err := st.Send(&edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Open{
		Open: &edgepb.Open{Session: name, Seen: seen}}}); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(s.messages)
		for {
			m, err := st.Recv()
			if err != nil {
				s.err = err
				return
			}
			s.messages <- m
		}
	}()
	return s
}

func (s *clientSession) sendOffer(t *testing.T, o *edgepb.Offer) {
	t.Helper()
	if err := s.Send(&edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Offer{Offer: o}}); err != nil {
		t.Fatal(err)
	}
}

func (s *clientSession) sendRelease(t *testing.T, id string) {
	t.Helper()
	if err := s.Send(&edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Release{
		Release: &edgepb.ReleaseRequest{OfferId: id}}}); err != nil {
		t.Fatal(err)
	}
}

// onLoop runs f on the loop and waits for it.
func (w *testServer) onLoop(t *testing.T, f func()) {
	t.Helper()
	done := make(chan struct{}, 1)
	w.loop.Post(func() { f(); done <- struct{}{} })
	testbed.Wait(t, "the loop", done)
}

func (w *testServer) counts(t *testing.T) (c dispatch.Counts) {
	w.onLoop(t, func() { c = w.dispatcher.Counts() })
	return c
}

// clientTimeoutMs is how long the owner of a task waits, in milliseconds. What no node
// answers gets less than the module gives a single attempt, so that the number of
// attempts does not hang on how fast the machine is.
func clientTimeoutMs(task string) int {
	if strings.HasPrefix(task, "silent") {
		return 200
	}
	return 5000
}

// The same offers, ends and drain on either front give the same outcomes, counts
// and drain.
func TestSameOnBothFronts(t *testing.T) {
	kinds := []string{"ok-1", "full-1", "ok-2", "error-1", "ok-3", "silent-1", "reset-1", "ok-4"}
	play := func(t *testing.T, w *testServer, place func(n int, class, task string) string, next func() string) ([]string, dispatch.Counts, []int) {
		var outcomes []string
		n := 0
		for _, class := range []string{"guide-web", "archive-cut"} {
			for _, task := range kinds {
				n++
				outcomes = append(outcomes, task+" "+place(n, class, fmt.Sprintf("%s-%s", task, class)))
			}
		}
		// Every bound task comes to its end, each with its own cause.
		for i, rc := range []int{16, 41} {
			w.workers[0].End(testbed.RequestID([]int{1, 3}[i]), rc)
			outcomes = append(outcomes, next())
		}
		// One minion drains: what is offered from then on goes to the other only.
		w.discovery.Add(false, w.workers[0].ListEntry("draining"))
		w.discovery.WaitPolled(t)
		before := len(w.workers[0].Starts)
		for i := range 10 {
			outcomes = append(outcomes, place(100+i, "guide-web", fmt.Sprintf("ok-drain-%d", i)))
		}
		return outcomes, w.counts(t), []int{len(w.workers[0].Starts) - before, len(w.workers[1].Starts)}
	}
	// The second minion comes with the drain, so that the first takes all before it.
	prepare := func(t *testing.T) *testServer {
		w := newTestServer(t, "a")
		w.workers = append(w.workers, testbed.NewWorker(t, "b"))
		return w
	}
	var outcomes [2][]string
	var counts [2]dispatch.Counts
	var drains [2][]int
	t.Run("json lines", func(t *testing.T) {
		w := prepare(t)
		o := w.connect(t)
		outcomes[0], counts[0], drains[0] = play(t, w, func(n int, class, task string) string {
			if n == 100 {
				w.discovery.Add(false, w.workers[1].ListEntry("up"))
				w.discovery.WaitPolled(t)
			}
			testbed.Send(o, testbed.StartLine(testbed.RequestID(n), class, task, clientTimeoutMs(task)))
			l := testbed.Wait(t, task, o.Lines)
			switch {
			case l.Verb == "STARTED":
				return "bound: " + *l.Blob
			case l.Cause() == 34:
				return "refused"
			}
			return "failed"
		}, func() string {
			if l := testbed.Wait(t, "an end", o.Lines); l.Cause() == 16 {
				return l.Tag + " done"
			} else {
				return l.Tag + " lost"
			}
		})
	})
	t.Run("grpc", func(t *testing.T) {
		w := prepare(t)
		s := w.openSession(t, "s", 0)
		outcomes[1], counts[1], drains[1] = play(t, w, func(n int, class, task string) string {
			if n == 100 {
				w.discovery.Add(false, w.workers[1].ListEntry("up"))
				w.discovery.WaitPolled(t)
			}
			s.sendOffer(t, newOffer(testbed.RequestID(n), class, task, uint32(clientTimeoutMs(task))))
			m := testbed.Wait(t, task, s.messages)
			switch {
			case m.GetBinding() != nil:
				return "bound: " + m.GetBinding().GetDescription()
			case codes.Code(m.GetRejection().GetCode()) == codes.ResourceExhausted:
				return "refused"
			}
			return "failed"
		}, func() string {
			if e := testbed.Wait(t, "an end", s.messages).GetEnded(); e.GetHow() == edgepb.Ended_HOW_DONE {
				return e.GetOfferId() + " done"
			} else {
				return e.GetOfferId() + " lost"
			}
		})
	})
	if t.Failed() {
		return
	}
	if !slices.Equal(outcomes[0], outcomes[1]) {
		t.Errorf("outcomes differ:\n%q\n%q", outcomes[0], outcomes[1])
	}
	if counts[0] != counts[1] {
		t.Errorf("counts differ:\n%+v\n%+v", counts[0], counts[1])
	}
	if !slices.Equal(drains[0], drains[1]) || drains[0][0] != 0 || drains[0][1] != 10 {
		t.Errorf("offers to the draining minion and to the other: %v and %v", drains[0], drains[1])
	}
}

// A binding that was sent and never read is given again, and the task starts once.
func TestUnreadBindingIsResent(t *testing.T) {
	w := newTestServer(t, "a")
	first := w.openSession(t, "s", 0)
	first.sendOffer(t, newOffer(testbed.RequestID(1), "archive-cut", "ok-cut", 5000))
	binding := testbed.Wait(t, "the binding", first.messages).GetBinding()
	first.disconnect() // the client never looked at it
	for range first.messages {
	}
	again := w.openSession(t, "s", 0)
	if got := testbed.Wait(t, "the binding once more", again.messages); got.GetBinding().GetDescription() != binding.GetDescription() {
		t.Errorf("after the resume came %v", got)
	}
	// A repeat of the offer, and a new offer of the same task, are bound to the same.
	// One after the other: streams may overtake each other, and the last gets the end.
	other := w.openSession(t, "another", 0)
	for i, s := range []*clientSession{again, again, other} {
		s.sendOffer(t, newOffer(testbed.RequestID(1+i%2), "archive-cut", "ok-cut", 5000))
		if got := testbed.Wait(t, "a repeat's answer", s.messages).GetBinding(); got.GetDescription() != binding.GetDescription() ||
			got.GetNode() != "a" {
			t.Errorf("repeat %d got %v", i, got)
		}
	}
	w.workers[0].End(testbed.RequestID(1), 16)
	if e := testbed.Wait(t, "the end", other.messages).GetEnded(); e.GetHow() != edgepb.Ended_HOW_DONE {
		t.Errorf("the end is %v", e)
	}
	// A repeat that comes after the end starts nothing either.
	other.sendOffer(t, newOffer(testbed.RequestID(1), "archive-cut", "ok-cut", 5000))
	if r := testbed.Wait(t, "the late repeat's answer", other.messages).GetRejection(); codes.Code(r.GetCode()) != codes.AlreadyExists {
		t.Errorf("the late repeat got %v", r)
	}
	if n := w.workers[0].StartCount("ok-cut"); n != 1 {
		t.Errorf("the task was started %d times", n)
	}
}

// An offer stays in while its session has no stream, and its answer is kept.
func TestResponseWhileDisconnected(t *testing.T) {
	w := newTestServer(t, "a")
	first := w.openSession(t, "s", 0)
	first.sendOffer(t, newOffer(testbed.RequestID(1), "guide-web", "silent-x", 600))
	testbed.Wait(t, "the offer", w.workers[0].Starts)
	first.disconnect()
	for range first.messages {
	}
	again := w.openSession(t, "s", 0)
	if r := testbed.Wait(t, "the answer", again.messages).GetRejection(); codes.Code(r.GetCode()) != codes.ResourceExhausted {
		t.Errorf("the answer is %v", r)
	}
}

// Both fronts offer tasks of one service while a minion drains: what stood there
// ends on the front that it came by, and nothing new goes there.
func TestDrainUnderBothFronts(t *testing.T) {
	w := newTestServer(t, "a")
	o, s := w.connect(t), w.openSession(t, "s", 0)
	testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-j0", 5000))
	s.sendOffer(t, newOffer(testbed.RequestID(2), "guide-web", "ok-g0", 5000))
	testbed.Wait(t, "an answer", o.Lines)
	testbed.Wait(t, "a binding", s.messages)
	b := testbed.NewWorker(t, "b")
	w.discovery.Add(false, b.ListEntry("up"), w.workers[0].ListEntry("draining"))
	w.discovery.WaitPolled(t)
	before := len(w.workers[0].Starts)
	for i := range 8 {
		testbed.Send(o, testbed.StartLine(testbed.RequestID(10+i), "guide-web", fmt.Sprintf("ok-j%d", i+1), 5000))
		s.sendOffer(t, newOffer(testbed.RequestID(30+i), "guide-web", fmt.Sprintf("ok-g%d", i+1), 5000))
	}
	w.workers[0].End(testbed.RequestID(1), 41)
	w.workers[0].End(testbed.RequestID(2), 41)
	started, ended := 0, 0
	for started+ended < 9 {
		if l := testbed.Wait(t, "json lines", o.Lines); l.Verb == "STARTED" {
			started++
		} else if l.Tag == testbed.RequestID(1) && l.Cause() == 41 {
			ended++
		}
	}
	for started+ended < 18 {
		if m := testbed.Wait(t, "grpc", s.messages); m.GetBinding().GetNode() == "b" {
			started++
		} else if m.GetEnded().GetOfferId() == testbed.RequestID(2) && m.GetEnded().GetHow() == edgepb.Ended_HOW_LOST {
			ended++
		}
	}
	if started != 16 || ended != 2 || len(w.workers[0].Starts) != before || len(b.Starts) != 16 {
		t.Errorf("%d bound, %d ended, %d offers to the draining minion", started, ended, len(w.workers[0].Starts)-before)
	}
}

// Refusals, failures, bad offers, deadlines and cancellation are status codes.
func TestStatusCodes(t *testing.T) {
	w := newTestServer(t, "a")
	c := w.grpcClient(t)
	long := make([]byte, 9000)
	for i := range long {
		long[i] = 'x'
	}
	edit := func(o *edgepb.Offer, f func(o *edgepb.Offer)) *edgepb.Offer { f(o); return o }
	for _, x := range []struct {
		name string
		o    *edgepb.Offer
		want codes.Code
	}{
		{"bound", newOffer(testbed.RequestID(1), "guide-web", "ok-1", 0), codes.OK},
		{"refused", newOffer(testbed.RequestID(2), "guide-web", "full-1", 0), codes.ResourceExhausted},
		{"failed", newOffer(testbed.RequestID(3), "archive-cut", "error-1", 0), codes.Unknown},
		{"bad id", newOffer("12", "guide-web", "ok-2", 0), codes.InvalidArgument},
		{"no task", newOffer(testbed.RequestID(4), "guide-web", "", 0), codes.InvalidArgument},
		{"unknown class", newOffer(testbed.RequestID(5), "nightly", "ok-3", 0), codes.InvalidArgument},
		{"no size", edit(newOffer(testbed.RequestID(6), "guide-web", "ok-4", 0), func(o *edgepb.Offer) { o.Cores, o.Memory = 0, 0 }), codes.InvalidArgument},
		{"a negative size", edit(newOffer(testbed.RequestID(7), "guide-web", "ok-5", 0), func(o *edgepb.Offer) { o.Cores = -1 }), codes.InvalidArgument},
		{"bad service", edit(newOffer(testbed.RequestID(8), "guide-web", "ok-6", 0), func(o *edgepb.Offer) { o.Service = "x" }), codes.InvalidArgument},
		{"long description", edit(newOffer(testbed.RequestID(9), "guide-web", "ok-7", 0), func(o *edgepb.Offer) { o.Description = string(long) }), codes.InvalidArgument},
		{"an endless wait", edit(newOffer(testbed.RequestID(60), "guide-web", "ok-60", 0), func(o *edgepb.Offer) { o.WaitMs = 1<<32 - 1 }), codes.InvalidArgument},
		{"never fits", edit(newOffer(testbed.RequestID(10), "guide-web", "ok-8", 0), func(o *edgepb.Offer) { o.Cores = 1000 }), codes.ResourceExhausted},
		{"another task's id", newOffer(testbed.RequestID(1), "guide-web", "ok-9", 0), codes.AlreadyExists},
	} {
		t.Run(x.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testbed.Patience)
			defer cancel()
			_, err := c.Place(ctx, x.o)
			if status.Code(err) != x.want {
				t.Fatalf("got %v, expected %v", err, x.want)
			}
			for _, d := range status.Convert(err).Details() {
				switch d := d.(type) {
				case *errdetails.RetryInfo:
					if d.GetRetryDelay().AsDuration() <= 0 || x.want != codes.ResourceExhausted {
						t.Errorf("the advice is %v", d)
					}
				case *errdetails.BadRequest:
					if len(d.GetFieldViolations()) != 1 || x.want != codes.InvalidArgument {
						t.Errorf("the violations are %v", d)
					}
				}
			}
			if n := len(status.Convert(err).Details()); n != 1 && (x.want == codes.InvalidArgument || x.want == codes.ResourceExhausted) {
				t.Errorf("%d details", n)
			}
		})
	}
	if n := w.workers[0].StartCount("error-1"); n != 1 {
		t.Errorf("a task that must not start twice was offered %d times after an error", n)
	}
	t.Run("deadline", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := c.Place(ctx, newOffer(testbed.RequestID(20), "archive-cut", "silent-1", 0))
		if code := status.Code(err); code != codes.Unknown && code != codes.DeadlineExceeded || time.Since(began) > 5*time.Second {
			t.Errorf("got %v", err)
		}
		waitAbandoned(t, w.workers[0], testbed.RequestID(20))
	})
	t.Run("cancelled", func(t *testing.T) {
		for len(w.workers[0].Starts) > 0 {
			<-w.workers[0].Starts
		}
		ctx, cancel := context.WithCancel(context.Background())
		errs := make(chan error, 1)
		go func() {
			_, err := c.Place(ctx, newOffer(testbed.RequestID(21), "archive-cut", "silent-2", 0))
			errs <- err
		}()
		for testbed.Wait(t, "the offer", w.workers[0].Starts).Tag != testbed.RequestID(21) {
		}
		cancel()
		if err := testbed.Wait(t, "the call's end", errs); status.Code(err) != codes.Canceled {
			t.Errorf("got %v", err)
		}
		// Nothing came on the connection since the offer: only its close gives the
		// attempt up for sure.
		// Nothing came on the connection since the offer: a release written there may
		// never arrive, and only the close gives the attempt up for sure.
		for testbed.Wait(t, "the close", w.workers[0].Cut).Tag != testbed.RequestID(21) {
		}
	})
	t.Run("release", func(t *testing.T) {
		if _, err := c.Release(context.Background(), &edgepb.ReleaseRequest{OfferId: testbed.RequestID(1)}); err != nil {
			t.Error(err)
		}
		if l := testbed.Wait(t, "the release", w.workers[0].Ends); l.Tag != testbed.RequestID(1) {
			t.Errorf("the minion got %v", l)
		}
		if _, err := c.Release(context.Background(), &edgepb.ReleaseRequest{OfferId: testbed.RequestID(99)}); status.Code(err) != codes.NotFound {
			t.Errorf("got %v", err)
		}
	})
	t.Run("no open", func(t *testing.T) {
		st, err := c.Session(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		st.Send(&edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Ack{Ack: 1}})
		if _, err := st.Recv(); status.Code(err) != codes.InvalidArgument {
			t.Errorf("got %v", err)
		}
	})
}

// Offers, releases and the end of a session over its stream.
func TestSession(t *testing.T) {
	w := newTestServer(t, "a")
	s := w.openSession(t, "s", 0)
	s.sendOffer(t, newOffer("nonsense", "guide-web", "ok-0", 0))
	if r := testbed.Wait(t, "a bad offer's answer", s.messages).GetRejection(); codes.Code(r.GetCode()) != codes.InvalidArgument {
		t.Errorf("a bad offer got %v", r)
	}
	s.sendOffer(t, newOffer(testbed.RequestID(1), "guide-web", "full-1", 0))
	if r := testbed.Wait(t, "a refusal", s.messages).GetRejection(); r.GetRetryAfterMs() == 0 {
		t.Errorf("a refusal without advice: %v", r)
	}
	s.sendOffer(t, newOffer(testbed.RequestID(2), "guide-web", "silent-1", 5000))
	s.sendRelease(t, testbed.RequestID(2))
	if r := testbed.Wait(t, "the withdrawal", s.messages).GetRejection(); codes.Code(r.GetCode()) != codes.Canceled {
		t.Errorf("a withdrawn offer got %v", r)
	}
	s.sendOffer(t, newOffer(testbed.RequestID(3), "guide-web", "ok-1", 0))
	testbed.Wait(t, "a binding", s.messages)
	s.sendRelease(t, testbed.RequestID(3))
	if e := testbed.Wait(t, "the end", s.messages).GetEnded(); e.GetHow() != edgepb.Ended_HOW_RELEASED {
		t.Errorf("a released task ended with %v", e)
	}
	s.sendOffer(t, newOffer(testbed.RequestID(4), "guide-web", "ok-2", 0))
	if err := s.CloseSend(); err != nil {
		t.Fatal(err)
	}
	if m := testbed.Wait(t, "the last answer", s.messages); m.GetBinding() == nil || m.GetNumber() != 6 {
		t.Errorf("the last answer is %v", m)
	}
	for range s.messages {
	}
	if !errors.Is(s.err, io.EOF) {
		t.Errorf("the stream ended with %v", s.err)
	}
}

// After the word to end, new owners are still served, and the program ends well
// once nothing is open.
func TestNewClientsServedDuringShutdown(t *testing.T) {
	w := newTestServer(t, "a")
	early := w.connect(t)
	testbed.Send(early, testbed.StartLine(testbed.RequestID(1), "guide-web", "silent-1", 1200))
	testbed.Wait(t, "the offer", w.workers[0].Starts)
	w.Stop()
	w.onLoop(t, func() {}) // the word was heard
	late := w.connect(t)
	testbed.Send(late, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-1", 5000))
	if l := testbed.Wait(t, "the late owner's answer", late.Lines); l.Verb != "STARTED" {
		t.Errorf("the late owner got %v", l)
	}
	if l := testbed.Wait(t, "the early owner's answer", early.Lines); l.Verb != "FINISH" || l.Tag != testbed.RequestID(1) {
		t.Errorf("the early owner got %v", l)
	}
	if err := testbed.Wait(t, "the end", w.runResult); err != nil {
		t.Error(err)
	}
}

// Figures reach a stand-in for Graphite and one for collectd, and tell what the
// core counted.
func TestExportedFigures(t *testing.T) {
	carbon, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer carbon.Close()
	path := filepath.Join(t.TempDir(), "collectd.sock")
	collectd, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer collectd.Close()
	got := make(chan string, 10_000)
	for ln, answer := range map[net.Listener]string{carbon: "", collectd: "0 Success\n"} {
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			for r := bufio.NewScanner(c); r.Scan(); io.WriteString(c, answer) {
				got <- r.Text()
			}
		}()
	}
	w := newServerWithOperators(t, config.Operators{Graphite: config.Metrics{Address: carbon.Addr().String(), Prefix: "edge", EveryMs: 100},
		Collectd: config.Metrics{Address: path, Prefix: "edge", EveryMs: 100}}, "a")
	o := w.connect(t)
	testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the answer", o.Lines)
	for _, want := range []string{"edge.n1.started 1 ", "edge.n1.standing 1 ", `PUTVAL "n1/edge/derive-started" interval=0.1 `,
		`PUTVAL "n1/edge/gauge-standing" interval=0.1 `} {
		for {
			line := testbed.Wait(t, want, got)
			if strings.HasPrefix(line, want) && (strings.HasPrefix(line, "edge") || strings.HasSuffix(line, ":1")) {
				break
			}
		}
	}
}

// With a certificate the front speaks TLS only, and tells its health until it is
// to end.
func TestTLSAndHealth(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for name, b := range map[string]*pem.Block{"cert": {Type: "CERTIFICATE", Bytes: cert}, "key": {Type: "PRIVATE KEY", Bytes: private}} {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(b), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	w := newServerWithOperators(t, config.Operators{GRPCListen: "127.0.0.1:0", GRPCCert: filepath.Join(dir, "cert"),
		GRPCKey: filepath.Join(dir, "key")}, "a")
	creds, err := credentials.NewClientTLSFromFile(filepath.Join(dir, "cert"), "")
	if err != nil {
		t.Fatal(err)
	}
	conn, err := grpc.NewClient(w.grpcAddr, grpc.WithTransportCredentials(creds))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testbed.Patience)
	defer cancel()
	if b, err := edgepb.NewOrchestratorClient(conn).Place(ctx, newOffer(testbed.RequestID(1), "guide-web", "ok-1", 0)); err != nil || b.GetNode() != "a" {
		t.Errorf("over TLS: %v, %v", b, err)
	}
	if _, err := w.grpcClient(t).Place(ctx, newOffer(testbed.RequestID(2), "guide-web", "ok-2", 0)); status.Code(err) != codes.Unavailable {
		t.Errorf("without TLS: %v", err)
	}
	health := func() healthpb.HealthCheckResponse_ServingStatus {
		r, err := healthpb.NewHealthClient(conn).Check(ctx, &healthpb.HealthCheckRequest{})
		if err != nil {
			t.Error(err)
		}
		return r.GetStatus()
	}
	if h := health(); h != healthpb.HealthCheckResponse_SERVING {
		t.Errorf("at first: %v", h)
	}
	w.Stop()
	w.onLoop(t, func() {})
	if h := health(); h != healthpb.HealthCheckResponse_NOT_SERVING {
		t.Errorf("told to end: %v", h)
	}
	if _, err := edgepb.NewOrchestratorClient(conn).Place(ctx, newOffer(testbed.RequestID(3), "guide-web", "ok-3", 0)); err != nil {
		t.Errorf("an offer while it ends: %v", err)
	}
}

// Neither front ends or takes over what came by the other.
func TestFrontsAreIsolated(t *testing.T) {
	w := newTestServer(t, "a")
	o, s := w.connect(t), w.openSession(t, "s", 0)
	testbed.Send(o, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	s.sendOffer(t, newOffer(testbed.RequestID(2), "guide-web", "ok-2", 5000))
	testbed.Wait(t, "an answer", o.Lines)
	testbed.Wait(t, "a binding", s.messages)
	testbed.Send(o, testbed.FinishLine("FINISH", testbed.RequestID(2), 16))
	if l := testbed.Wait(t, "the word that it was heard", o.Lines); l.Verb != "FINISHED" {
		t.Errorf("got %v", l)
	}
	if _, err := w.grpcClient(t).Release(context.Background(), &edgepb.ReleaseRequest{OfferId: testbed.RequestID(1)}); status.Code(err) != codes.NotFound {
		t.Errorf("a release of the other front's task: %v", err)
	}
	testbed.Send(o, testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-2", 5000))
	if l := testbed.Wait(t, "the answer", o.Lines); l.Tag != testbed.RequestID(3) || l.Cause() != 47 {
		t.Errorf("a set-up of the other front's task got %v", l)
	}
	for id, task := range map[string]string{testbed.RequestID(1): "ok-9", testbed.RequestID(4): "ok-1"} {
		s.sendOffer(t, newOffer(id, "guide-web", task, 5000))
		if r := testbed.Wait(t, "the answer", s.messages).GetRejection(); codes.Code(r.GetCode()) != codes.AlreadyExists {
			t.Errorf("an offer of the other front's task got %v", r)
		}
	}
	var standing int
	if w.onLoop(t, func() { standing = w.dispatcher.RunningCount() }); standing != 2 || w.workers[0].StartCount("ok-1") != 1 {
		t.Errorf("%d tasks stand", standing)
	}
}

// Whoever connects or opens a stream and says nothing holds its place for a while
// only, and a session may have so many offers open.
func TestGRPCLimits(t *testing.T) {
	w := newTestServer(t, "a")
	c, err := net.Dial("tcp", w.grpcAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	st, err := w.grpcClient(t).Session(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	c.SetReadDeadline(time.Now().Add(testbed.Patience))
	if _, err := io.Copy(io.Discard, c); err != nil {
		t.Errorf("the silent connection was left open: %v", err)
	}
	if _, err := st.Recv(); status.Code(err) != codes.DeadlineExceeded {
		t.Errorf("the silent stream ended with %v", err)
	}
	s := w.openSession(t, "many", 0)
	for i := range 520 {
		s.sendOffer(t, newOffer(testbed.RequestID(i+1), "guide-web", fmt.Sprint("silent-", i), 60_000))
	}
	for range 8 {
		r := testbed.Wait(t, "a rejection", s.messages).GetRejection()
		if codes.Code(r.GetCode()) != codes.ResourceExhausted || r.GetRetryAfterMs() == 0 {
			t.Errorf("got %v", r)
		}
	}
}

// waitAbandoned waits for the minion to see an attempt given up: by a release with cause
// 16, or, where nothing came from it since the offer, by the close of the connection.
func waitAbandoned(t *testing.T, m *testbed.Worker, tag string) {
	t.Helper()
	end := time.After(10 * time.Second)
	for {
		select {
		case l := <-m.Ends:
			if l.Tag == tag && l.Cause() == 16 {
				return
			}
		case l := <-m.Cut:
			if l.Tag == tag {
				return
			}
		case <-end:
			t.Fatalf("%s was not given up in 10 s", tag)
		}
	}
}
