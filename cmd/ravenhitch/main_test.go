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
	conn, err := grpc.NewClient(w.grpcAddr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return edgepb.NewOrchestratorClient(conn)
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
	session := &clientSession{Orchestrator_SessionClient: st, disconnect: cancel, messages: make(chan *edgepb.ServerMessage, 1000)}
	if err := st.Send(&edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Open{
		Open: &edgepb.Open{Session: name, Seen: seen}}}); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(session.messages)
		for {
			message, err := st.Recv()
			if err != nil {
				session.err = err
				return
			}
			session.messages <- message
		}
	}()
	return session
}

func (s *clientSession) sendOffer(t *testing.T, offer *edgepb.Offer) {
	t.Helper()
	if err := s.Send(&edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Offer{Offer: offer}}); err != nil {
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
	play := func(t *testing.T, server *testServer, place func(n int, class, task string) string, next func() string) ([]string, dispatch.Counts, []int) {
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
			server.workers[0].End(testbed.RequestID([]int{1, 3}[i]), rc)
			outcomes = append(outcomes, next())
		}
		// One minion drains: what is offered from then on goes to the other only.
		server.discovery.Add(false, server.workers[0].ListEntry("draining"))
		server.discovery.WaitPolled(t)
		before := len(server.workers[0].Starts)
		for i := range 10 {
			outcomes = append(outcomes, place(100+i, "guide-web", fmt.Sprintf("ok-drain-%d", i)))
		}
		return outcomes, server.counts(t), []int{len(server.workers[0].Starts) - before, len(server.workers[1].Starts)}
	}
	// The second minion comes with the drain, so that the first takes all before it.
	prepare := func(t *testing.T) *testServer {
		server := newTestServer(t, "a")
		server.workers = append(server.workers, testbed.NewWorker(t, "b"))
		return server
	}
	var outcomes [2][]string
	var counts [2]dispatch.Counts
	var drains [2][]int
	t.Run("json lines", func(t *testing.T) {
		server := prepare(t)
		client := server.connect(t)
		outcomes[0], counts[0], drains[0] = play(t, server, func(n int, class, task string) string {
			if n == 100 {
				server.discovery.Add(false, server.workers[1].ListEntry("up"))
				server.discovery.WaitPolled(t)
			}
			testbed.Send(client, testbed.StartLine(testbed.RequestID(n), class, task, clientTimeoutMs(task)))
			line := testbed.Wait(t, task, client.Lines)
			switch {
			case line.Verb == "STARTED":
				return "bound: " + *line.Blob
			case line.Cause() == 34:
				return "refused"
			}
			return "failed"
		}, func() string {
			if line := testbed.Wait(t, "an end", client.Lines); line.Cause() == 16 {
				return line.Tag + " done"
			} else {
				return line.Tag + " lost"
			}
		})
	})
	t.Run("grpc", func(t *testing.T) {
		server := prepare(t)
		session := server.openSession(t, "s", 0)
		outcomes[1], counts[1], drains[1] = play(t, server, func(n int, class, task string) string {
			if n == 100 {
				server.discovery.Add(false, server.workers[1].ListEntry("up"))
				server.discovery.WaitPolled(t)
			}
			session.sendOffer(t, newOffer(testbed.RequestID(n), class, task, uint32(clientTimeoutMs(task))))
			message := testbed.Wait(t, task, session.messages)
			switch {
			case message.GetBinding() != nil:
				return "bound: " + message.GetBinding().GetDescription()
			case codes.Code(message.GetRejection().GetCode()) == codes.ResourceExhausted:
				return "refused"
			}
			return "failed"
		}, func() string {
			if ended := testbed.Wait(t, "an end", session.messages).GetEnded(); ended.GetHow() == edgepb.Ended_HOW_DONE {
				return ended.GetOfferId() + " done"
			} else {
				return ended.GetOfferId() + " lost"
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
	server := newTestServer(t, "a")
	first := server.openSession(t, "s", 0)
	first.sendOffer(t, newOffer(testbed.RequestID(1), "archive-cut", "ok-cut", 5000))
	binding := testbed.Wait(t, "the binding", first.messages).GetBinding()
	first.disconnect() // the client never looked at it
	for range first.messages {
	}
	again := server.openSession(t, "s", 0)
	if got := testbed.Wait(t, "the binding once more", again.messages); got.GetBinding().GetDescription() != binding.GetDescription() {
		t.Errorf("after the resume came %v", got)
	}
	// A repeat of the offer, and a new offer of the same task, are bound to the same.
	// One after the other: streams may overtake each other, and the last gets the end.
	other := server.openSession(t, "another", 0)
	for i, session := range []*clientSession{again, again, other} {
		session.sendOffer(t, newOffer(testbed.RequestID(1+i%2), "archive-cut", "ok-cut", 5000))
		if got := testbed.Wait(t, "a repeat's answer", session.messages).GetBinding(); got.GetDescription() != binding.GetDescription() ||
			got.GetNode() != "a" {
			t.Errorf("repeat %d got %v", i, got)
		}
	}
	server.workers[0].End(testbed.RequestID(1), 16)
	if ended := testbed.Wait(t, "the end", other.messages).GetEnded(); ended.GetHow() != edgepb.Ended_HOW_DONE {
		t.Errorf("the end is %v", ended)
	}
	// A repeat that comes after the end starts nothing either.
	other.sendOffer(t, newOffer(testbed.RequestID(1), "archive-cut", "ok-cut", 5000))
	if rejection := testbed.Wait(t, "the late repeat's answer", other.messages).GetRejection(); codes.Code(rejection.GetCode()) != codes.AlreadyExists {
		t.Errorf("the late repeat got %v", rejection)
	}
	if n := server.workers[0].StartCount("ok-cut"); n != 1 {
		t.Errorf("the task was started %d times", n)
	}
}

// An offer stays in while its session has no stream, and its answer is kept.
func TestResponseWhileDisconnected(t *testing.T) {
	server := newTestServer(t, "a")
	first := server.openSession(t, "s", 0)
	first.sendOffer(t, newOffer(testbed.RequestID(1), "guide-web", "silent-x", 600))
	testbed.Wait(t, "the offer", server.workers[0].Starts)
	first.disconnect()
	for range first.messages {
	}
	again := server.openSession(t, "s", 0)
	if rejection := testbed.Wait(t, "the answer", again.messages).GetRejection(); codes.Code(rejection.GetCode()) != codes.ResourceExhausted {
		t.Errorf("the answer is %v", rejection)
	}
}

// Both fronts offer tasks of one service while a minion drains: what stood there
// ends on the front that it came by, and nothing new goes there.
func TestDrainUnderBothFronts(t *testing.T) {
	server := newTestServer(t, "a")
	client, session := server.connect(t), server.openSession(t, "s", 0)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-j0", 5000))
	session.sendOffer(t, newOffer(testbed.RequestID(2), "guide-web", "ok-g0", 5000))
	testbed.Wait(t, "an answer", client.Lines)
	testbed.Wait(t, "a binding", session.messages)
	b := testbed.NewWorker(t, "b")
	server.discovery.Add(false, b.ListEntry("up"), server.workers[0].ListEntry("draining"))
	server.discovery.WaitPolled(t)
	before := len(server.workers[0].Starts)
	for i := range 8 {
		testbed.Send(client, testbed.StartLine(testbed.RequestID(10+i), "guide-web", fmt.Sprintf("ok-j%d", i+1), 5000))
		session.sendOffer(t, newOffer(testbed.RequestID(30+i), "guide-web", fmt.Sprintf("ok-g%d", i+1), 5000))
	}
	server.workers[0].End(testbed.RequestID(1), 41)
	server.workers[0].End(testbed.RequestID(2), 41)
	started, ended := 0, 0
	for started+ended < 9 {
		if line := testbed.Wait(t, "json lines", client.Lines); line.Verb == "STARTED" {
			started++
		} else if line.Tag == testbed.RequestID(1) && line.Cause() == 41 {
			ended++
		}
	}
	for started+ended < 18 {
		if message := testbed.Wait(t, "grpc", session.messages); message.GetBinding().GetNode() == "b" {
			started++
		} else if message.GetEnded().GetOfferId() == testbed.RequestID(2) && message.GetEnded().GetHow() == edgepb.Ended_HOW_LOST {
			ended++
		}
	}
	if started != 16 || ended != 2 || len(server.workers[0].Starts) != before || len(b.Starts) != 16 {
		t.Errorf("%d bound, %d ended, %d offers to the draining minion", started, ended, len(server.workers[0].Starts)-before)
	}
}

// Refusals, failures, bad offers, deadlines and cancellation are status codes.
func TestStatusCodes(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.grpcClient(t)
	long := make([]byte, 9000)
	for i := range long {
		long[i] = 'x'
	}
	edit := func(offer *edgepb.Offer, f func(offer *edgepb.Offer)) *edgepb.Offer { f(offer); return offer }
	for _, test := range []struct {
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
		{"no size", edit(newOffer(testbed.RequestID(6), "guide-web", "ok-4", 0), func(offer *edgepb.Offer) { offer.Cores, offer.Memory = 0, 0 }), codes.InvalidArgument},
		{"a negative size", edit(newOffer(testbed.RequestID(7), "guide-web", "ok-5", 0), func(offer *edgepb.Offer) { offer.Cores = -1 }), codes.InvalidArgument},
		{"bad service", edit(newOffer(testbed.RequestID(8), "guide-web", "ok-6", 0), func(offer *edgepb.Offer) { offer.Service = "x" }), codes.InvalidArgument},
		{"long description", edit(newOffer(testbed.RequestID(9), "guide-web", "ok-7", 0), func(offer *edgepb.Offer) { offer.Description = string(long) }), codes.InvalidArgument},
		{"an endless wait", edit(newOffer(testbed.RequestID(60), "guide-web", "ok-60", 0), func(offer *edgepb.Offer) { offer.WaitMs = 1<<32 - 1 }), codes.InvalidArgument},
		{"never fits", edit(newOffer(testbed.RequestID(10), "guide-web", "ok-8", 0), func(offer *edgepb.Offer) { offer.Cores = 1000 }), codes.ResourceExhausted},
		{"another task's id", newOffer(testbed.RequestID(1), "guide-web", "ok-9", 0), codes.AlreadyExists},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testbed.Patience)
			defer cancel()
			_, err := client.Place(ctx, test.o)
			if status.Code(err) != test.want {
				t.Fatalf("got %v, expected %v", err, test.want)
			}
			for _, d := range status.Convert(err).Details() {
				switch d := d.(type) {
				case *errdetails.RetryInfo:
					if d.GetRetryDelay().AsDuration() <= 0 || test.want != codes.ResourceExhausted {
						t.Errorf("the advice is %v", d)
					}
				case *errdetails.BadRequest:
					if len(d.GetFieldViolations()) != 1 || test.want != codes.InvalidArgument {
						t.Errorf("the violations are %v", d)
					}
				}
			}
			if n := len(status.Convert(err).Details()); n != 1 && (test.want == codes.InvalidArgument || test.want == codes.ResourceExhausted) {
				t.Errorf("%d details", n)
			}
		})
	}
	if n := server.workers[0].StartCount("error-1"); n != 1 {
		t.Errorf("a task that must not start twice was offered %d times after an error", n)
	}
	t.Run("deadline", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := client.Place(ctx, newOffer(testbed.RequestID(20), "archive-cut", "silent-1", 0))
		if code := status.Code(err); code != codes.Unknown && code != codes.DeadlineExceeded || time.Since(began) > 5*time.Second {
			t.Errorf("got %v", err)
		}
		waitAbandoned(t, server.workers[0], testbed.RequestID(20))
	})
	t.Run("cancelled", func(t *testing.T) {
		for len(server.workers[0].Starts) > 0 {
			<-server.workers[0].Starts
		}
		ctx, cancel := context.WithCancel(context.Background())
		errs := make(chan error, 1)
		go func() {
			_, err := client.Place(ctx, newOffer(testbed.RequestID(21), "archive-cut", "silent-2", 0))
			errs <- err
		}()
		for testbed.Wait(t, "the offer", server.workers[0].Starts).Tag != testbed.RequestID(21) {
		}
		cancel()
		if err := testbed.Wait(t, "the call's end", errs); status.Code(err) != codes.Canceled {
			t.Errorf("got %v", err)
		}
		// Nothing came on the connection since the offer: only its close gives the
		// attempt up for sure.
		// Nothing came on the connection since the offer: a release written there may
		// never arrive, and only the close gives the attempt up for sure.
		for testbed.Wait(t, "the close", server.workers[0].Cut).Tag != testbed.RequestID(21) {
		}
	})
	t.Run("release", func(t *testing.T) {
		if _, err := client.Release(context.Background(), &edgepb.ReleaseRequest{OfferId: testbed.RequestID(1)}); err != nil {
			t.Error(err)
		}
		if line := testbed.Wait(t, "the release", server.workers[0].Ends); line.Tag != testbed.RequestID(1) {
			t.Errorf("the minion got %v", line)
		}
		if _, err := client.Release(context.Background(), &edgepb.ReleaseRequest{OfferId: testbed.RequestID(99)}); status.Code(err) != codes.NotFound {
			t.Errorf("got %v", err)
		}
	})
	t.Run("no open", func(t *testing.T) {
		st, err := client.Session(context.Background())
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
	server := newTestServer(t, "a")
	session := server.openSession(t, "s", 0)
	session.sendOffer(t, newOffer("nonsense", "guide-web", "ok-0", 0))
	if rejection := testbed.Wait(t, "a bad offer's answer", session.messages).GetRejection(); codes.Code(rejection.GetCode()) != codes.InvalidArgument {
		t.Errorf("a bad offer got %v", rejection)
	}
	session.sendOffer(t, newOffer(testbed.RequestID(1), "guide-web", "full-1", 0))
	if rejection := testbed.Wait(t, "a refusal", session.messages).GetRejection(); rejection.GetRetryAfterMs() == 0 {
		t.Errorf("a refusal without advice: %v", rejection)
	}
	session.sendOffer(t, newOffer(testbed.RequestID(2), "guide-web", "silent-1", 5000))
	session.sendRelease(t, testbed.RequestID(2))
	if rejection := testbed.Wait(t, "the withdrawal", session.messages).GetRejection(); codes.Code(rejection.GetCode()) != codes.Canceled {
		t.Errorf("a withdrawn offer got %v", rejection)
	}
	session.sendOffer(t, newOffer(testbed.RequestID(3), "guide-web", "ok-1", 0))
	testbed.Wait(t, "a binding", session.messages)
	session.sendRelease(t, testbed.RequestID(3))
	if ended := testbed.Wait(t, "the end", session.messages).GetEnded(); ended.GetHow() != edgepb.Ended_HOW_RELEASED {
		t.Errorf("a released task ended with %v", ended)
	}
	session.sendOffer(t, newOffer(testbed.RequestID(4), "guide-web", "ok-2", 0))
	if err := session.CloseSend(); err != nil {
		t.Fatal(err)
	}
	if message := testbed.Wait(t, "the last answer", session.messages); message.GetBinding() == nil || message.GetNumber() != 6 {
		t.Errorf("the last answer is %v", message)
	}
	for range session.messages {
	}
	if !errors.Is(session.err, io.EOF) {
		t.Errorf("the stream ended with %v", session.err)
	}
}

// After the word to end, new owners are still served, and the program ends well
// once nothing is open.
func TestNewClientsServedDuringShutdown(t *testing.T) {
	server := newTestServer(t, "a")
	early := server.connect(t)
	testbed.Send(early, testbed.StartLine(testbed.RequestID(1), "guide-web", "silent-1", 1200))
	testbed.Wait(t, "the offer", server.workers[0].Starts)
	server.Stop()
	server.onLoop(t, func() {}) // the word was heard
	late := server.connect(t)
	testbed.Send(late, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-1", 5000))
	if line := testbed.Wait(t, "the late owner's answer", late.Lines); line.Verb != "STARTED" {
		t.Errorf("the late owner got %v", line)
	}
	if line := testbed.Wait(t, "the early owner's answer", early.Lines); line.Verb != "FINISH" || line.Tag != testbed.RequestID(1) {
		t.Errorf("the early owner got %v", line)
	}
	if err := testbed.Wait(t, "the end", server.runResult); err != nil {
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
	for listener, answer := range map[net.Listener]string{carbon: "", collectd: "0 Success\n"} {
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			for r := bufio.NewScanner(conn); r.Scan(); io.WriteString(conn, answer) {
				got <- r.Text()
			}
		}()
	}
	server := newServerWithOperators(t, config.Operators{Graphite: config.Metrics{Address: carbon.Addr().String(), Prefix: "edge", EveryMs: 100},
		Collectd: config.Metrics{Address: path, Prefix: "edge", EveryMs: 100}}, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the answer", client.Lines)
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
	server := newServerWithOperators(t, config.Operators{GRPCListen: "127.0.0.1:0", GRPCCert: filepath.Join(dir, "cert"),
		GRPCKey: filepath.Join(dir, "key")}, "a")
	creds, err := credentials.NewClientTLSFromFile(filepath.Join(dir, "cert"), "")
	if err != nil {
		t.Fatal(err)
	}
	conn, err := grpc.NewClient(server.grpcAddr, grpc.WithTransportCredentials(creds))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testbed.Patience)
	defer cancel()
	if b, err := edgepb.NewOrchestratorClient(conn).Place(ctx, newOffer(testbed.RequestID(1), "guide-web", "ok-1", 0)); err != nil || b.GetNode() != "a" {
		t.Errorf("over TLS: %v, %v", b, err)
	}
	if _, err := server.grpcClient(t).Place(ctx, newOffer(testbed.RequestID(2), "guide-web", "ok-2", 0)); status.Code(err) != codes.Unavailable {
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
	server.Stop()
	server.onLoop(t, func() {})
	if h := health(); h != healthpb.HealthCheckResponse_NOT_SERVING {
		t.Errorf("told to end: %v", h)
	}
	if _, err := edgepb.NewOrchestratorClient(conn).Place(ctx, newOffer(testbed.RequestID(3), "guide-web", "ok-3", 0)); err != nil {
		t.Errorf("an offer while it ends: %v", err)
	}
}

// Neither front ends or takes over what came by the other.
func TestFrontsAreIsolated(t *testing.T) {
	server := newTestServer(t, "a")
	client, session := server.connect(t), server.openSession(t, "s", 0)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	session.sendOffer(t, newOffer(testbed.RequestID(2), "guide-web", "ok-2", 5000))
	testbed.Wait(t, "an answer", client.Lines)
	testbed.Wait(t, "a binding", session.messages)
	testbed.Send(client, testbed.FinishLine("FINISH", testbed.RequestID(2), 16))
	if line := testbed.Wait(t, "the word that it was heard", client.Lines); line.Verb != "FINISHED" {
		t.Errorf("got %v", line)
	}
	if _, err := server.grpcClient(t).Release(context.Background(), &edgepb.ReleaseRequest{OfferId: testbed.RequestID(1)}); status.Code(err) != codes.NotFound {
		t.Errorf("a release of the other front's task: %v", err)
	}
	testbed.Send(client, testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-2", 5000))
	if line := testbed.Wait(t, "the answer", client.Lines); line.Tag != testbed.RequestID(3) || line.Cause() != 47 {
		t.Errorf("a set-up of the other front's task got %v", line)
	}
	for id, task := range map[string]string{testbed.RequestID(1): "ok-9", testbed.RequestID(4): "ok-1"} {
		session.sendOffer(t, newOffer(id, "guide-web", task, 5000))
		if rejection := testbed.Wait(t, "the answer", session.messages).GetRejection(); codes.Code(rejection.GetCode()) != codes.AlreadyExists {
			t.Errorf("an offer of the other front's task got %v", rejection)
		}
	}
	var standing int
	if server.onLoop(t, func() { standing = server.dispatcher.RunningCount() }); standing != 2 || server.workers[0].StartCount("ok-1") != 1 {
		t.Errorf("%d tasks stand", standing)
	}
}

// Whoever connects or opens a stream and says nothing holds its place for a while
// only, and a session may have so many offers open.
func TestGRPCLimits(t *testing.T) {
	server := newTestServer(t, "a")
	conn, err := net.Dial("tcp", server.grpcAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	st, err := server.grpcClient(t).Session(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	conn.SetReadDeadline(time.Now().Add(testbed.Patience))
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Errorf("the silent connection was left open: %v", err)
	}
	if _, err := st.Recv(); status.Code(err) != codes.DeadlineExceeded {
		t.Errorf("the silent stream ended with %v", err)
	}
	session := server.openSession(t, "many", 0)
	for i := range 520 {
		session.sendOffer(t, newOffer(testbed.RequestID(i+1), "guide-web", fmt.Sprint("silent-", i), 60_000))
	}
	for range 8 {
		rejection := testbed.Wait(t, "a rejection", session.messages).GetRejection()
		if codes.Code(rejection.GetCode()) != codes.ResourceExhausted || rejection.GetRetryAfterMs() == 0 {
			t.Errorf("got %v", rejection)
		}
	}
}

// waitAbandoned waits for the minion to see an attempt given up: by a release with cause
// 16, or, where nothing came from it since the offer, by the close of the connection.
func waitAbandoned(t *testing.T, worker *testbed.Worker, tag string) {
	t.Helper()
	end := time.After(10 * time.Second)
	for {
		select {
		case line := <-worker.Ends:
			if line.Tag == tag && line.Cause() == 16 {
				return
			}
		case line := <-worker.Cut:
			if line.Tag == tag {
				return
			}
		case <-end:
			t.Fatalf("%s was not given up in 10 s", tag)
		}
	}
}
