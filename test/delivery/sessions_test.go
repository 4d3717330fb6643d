package delivery

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"

	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/syscallfault"
)

// This file runs randomized scenarios in which the streams of gRPC sessions break while clients offer tasks and tasks end,
// until the orchestrator is terminated. Each offer gets one final response, and the end of each task is reported.
//
//	go test ./test/delivery -run TestSessions -v -args -sessionseeds 50 -first 1

var sessionSeedsFlag = flag.Int("sessionseeds", 8, "number of scenarios of TestSessions, each with its own seed")

const (
	sessionCount  = 4
	sessionOffers = 60 // maximum number of open offers per session
	sessionWaitMs = 1500
	// crossingLimit is the time within which an offer that is not read and the end of its stream may cross each other,
	// besides the pauses of the host.
	crossingLimit = 50 * time.Millisecond
	// streamEndLimit is the time within which a client learns that the orchestrator closed its stream, besides the pauses of
	// the host.
	streamEndLimit = 200 * time.Millisecond
	sessionsStopAt = 2500 * time.Millisecond
	// sessionsKillAfter is the time from SIGTERM to SIGKILL: 3 s, as a class has a longer deadline, and 0.7 s.
	sessionsKillAfter = 3700 * time.Millisecond
)

// sessionScenario is one run of a seed.
type sessionScenario struct {
	*orchestrator
	seed     uint64
	workers  []*testbed.Worker
	attempts *testbed.AttemptLog
	path     *testbed.Proxy // from the clients to the gRPC front
	stopped  chan struct{}  // closed before SIGTERM
	done     chan struct{}  // closed when the orchestrator has ended
	pauses   testbed.PauseMeter

	mu      sync.Mutex // guards endedAt
	endedAt map[string]time.Time
}

// TestSessions checks the responses and the ends that the clients of gRPC sessions get.
func TestSessions(t *testing.T) {
	launcher, err := syscallfault.BuildLauncher(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	slots := make(chan struct{}, *lanesFlag)
	var scenarios sync.WaitGroup
	for i := range *sessionSeedsFlag {
		slots <- struct{}{}
		scenarios.Go(func() {
			defer func() { <-slots }()
			seed := *firstFlag + uint64(i)
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSessions(t, launcher, seed) })
		})
	}
	scenarios.Wait()
}

func runSessions(t *testing.T, launcher string, seed uint64) {
	s := &sessionScenario{orchestrator: newOrchestrator(t), seed: seed, attempts: testbed.NewAttemptLog(), stopped: make(chan struct{}),
		done: make(chan struct{}), endedAt: map[string]time.Time{}}
	s.startWithWorkers(launcher)
	var group, clients sync.WaitGroup
	var users []*sessionClient
	for i := range sessionCount {
		c := &sessionClient{scenario: s, name: fmt.Sprint("session-", i), random: s.stream(uint64(100 + i)), offers: map[string]*sessionOffer{}}
		users = append(users, c)
		clients.Go(c.run)
	}
	group.Go(s.endTasks)
	group.Go(s.injectFaults)
	group.Go(func() { s.pauses.Run(s.done) })
	time.Sleep(sessionsStopAt)
	close(s.stopped)
	stoppedAt := time.Now()
	s.Signal(syscall.SIGTERM)
	select {
	case <-s.Ended():
	case <-time.After(sessionsKillAfter):
		s.End(syscall.SIGKILL)
		t.Errorf("seed %d: the process had to be killed after SIGTERM", seed)
	}
	close(s.done)
	clients.Wait()
	group.Wait()
	counts := map[string]int{}
	for _, c := range users {
		c.check(stoppedAt)
		c.count(counts)
	}
	t.Logf("seed=%d %v", seed, counts)
}

func (s *sessionScenario) stream(number uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.seed, number))
}

func (s *sessionScenario) sleep(d time.Duration) bool {
	select {
	case <-s.done:
		return false
	case <-time.After(d):
		return true
	}
}

// startWithWorkers starts the orchestrator with a gRPC front and stand-in workers.
func (s *sessionScenario) startWithWorkers(launcher string) {
	s.t.Helper()
	var entries []string
	for i := range workerCount {
		w := testbed.NewWorker(s.t, fmt.Sprint("w-", i))
		w.Kind = "node-64"
		w.RecordAttempts(s.attempts)
		go discard(w.Offers)
		go discard(w.Cancels)
		s.workers = append(s.workers, w)
		entries = append(entries, w.ListEntry("up"))
	}
	s.discovery.Add(true, entries...)
	path := s.configure("")
	if err := os.WriteFile(path+".conf", []byte("[log]\nlevel debug\n[grpc]\nlisten 127.0.0.1:0\n"), 0o600); err != nil {
		s.t.Fatal(err)
	}
	changesCalls := s.stream(82).IntN(2) == 0
	calls := syscallfault.NewWith(launcher, s.seed, syscallfault.Changes{Fail: changesCalls, Shorten: changesCalls, StepsClock: true})
	s.StartCommand = calls.Start
	s.start()
	address, err := s.WaitForLog(" grpc=")
	if err != nil {
		s.t.Fatal(err)
	}
	s.path = testbed.NewProxyTo(s.t, address)
	go func() {
		for random := s.stream(83); s.sleep(time.Duration(random.Int64N(int64(time.Second)))); {
			calls.StepClock(syscallfault.DrawClockStep(random))
		}
	}()
}

// endTasks ends tasks at random.
func (s *sessionScenario) endTasks() {
	for random := s.stream(60); s.sleep(5 * time.Millisecond); {
		w := s.workers[random.IntN(workerCount)]
		if running := s.attempts.Running(w.Name); len(running) > 0 {
			id := running[random.IntN(len(running))]
			s.mu.Lock()
			s.endedAt[id] = time.Now()
			s.mu.Unlock()
			w.SendFinish(id, codeEnded)
		}
	}
}

// injectFaults breaks the connections of clients until the orchestrator is terminated.
func (s *sessionScenario) injectFaults() {
	random := s.stream(70)
	for s.sleep(drawDuration(random, 50*time.Millisecond, 400*time.Millisecond)) {
		select {
		case <-s.stopped:
			return
		default:
		}
		switch random.IntN(3) {
		case 0, 1:
			s.path.ResetConnections()
		case 2:
			s.path.Partition(s.t)
			s.sleep(drawDuration(random, 10*time.Millisecond, 300*time.Millisecond))
			s.path.Heal(s.t)
		}
	}
}

// sessionOffer is an offer of a client and what it has received for it.
type sessionOffer struct {
	offer     *edgepb.Offer
	sentAt    time.Time // time of the last submission that was sent
	stream    int       // number of the stream of this submission
	sends     int
	responses []string // kinds of the responses
	ends      int
}

// sessionClient is a client with one session, which it opens again when its stream breaks.
type sessionClient struct {
	scenario *sessionScenario
	name     string
	random   *rand.Rand

	mu      sync.Mutex // guards the fields below
	offers  map[string]*sessionOffer
	open    int
	lastID  int
	seen    uint64 // number of the last message
	streams int    // number of streams so far
	endedAt time.Time
	faults  []string
	// streamEnds says how the streams have ended.
	streamEnds []string
}

// run opens streams until the orchestrator has ended.
func (c *sessionClient) run() {
	for c.scenario.sleep(5 * time.Millisecond) {
		c.useStream()
	}
}

// useStream opens a connection and the session on it, and uses it until it breaks.
func (c *sessionClient) useStream() {
	dial := func(ctx context.Context, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", c.scenario.path.Addr())
	}
	conn, err := grpc.NewClient("passthrough:///front", grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(dial))
	if err != nil {
		c.scenario.t.Error(err)
		return
	}
	defer testbed.CloseQuietly(conn)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stream, err := edgepb.NewOrchestratorClient(conn).Session(ctx)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.streams++
	seen := c.seen
	c.mu.Unlock()
	if stream.Send(&edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Open{Open: &edgepb.Open{Session: c.name, Seen: seen}}}) != nil {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.receiveAll(stream)
	}()
	c.sendAll(stream, ended)
	cancel()
	<-ended
}

// receiveAll receives until the stream ends.
func (c *sessionClient) receiveAll(stream edgepb.Orchestrator_SessionClient) {
	for {
		message, err := stream.Recv()
		c.mu.Lock()
		if err != nil {
			c.endedAt = time.Now()
			c.streamEnds = append(c.streamEnds, fmt.Sprintf("stream %d ended at %s: %v", c.streams, c.endedAt.Format("05.000"), err))
			c.mu.Unlock()
			return
		}
		c.receive(message)
		c.mu.Unlock()
	}
}

func (c *sessionClient) receive(message *edgepb.ServerMessage) {
	if message.GetNumber() != c.seen+1 {
		c.faults = append(c.faults, fmt.Sprintf("got message %d after %d", message.GetNumber(), c.seen))
	}
	c.seen = message.GetNumber()
	switch kind := message.GetKind().(type) {
	case *edgepb.ServerMessage_Binding:
		c.respond(kind.Binding.GetOfferId(), "binding")
	case *edgepb.ServerMessage_Rejection:
		c.respond(kind.Rejection.GetOfferId(), codes.Code(kind.Rejection.GetCode()).String())
	case *edgepb.ServerMessage_Ended:
		if offer := c.offers[kind.Ended.GetOfferId()]; offer != nil {
			offer.ends++
		}
	}
}

func (c *sessionClient) respond(id, kind string) {
	offer := c.offers[id]
	if offer == nil {
		c.faults = append(c.faults, "a response to the unknown offer "+id)
		return
	}
	if len(offer.responses) == 0 {
		c.open--
	}
	offer.responses = append(offer.responses, kind)
}

// sendAll repeats the offers without a response, and then sends offers and acknowledgements until the stream ends.
func (c *sessionClient) sendAll(stream edgepb.Orchestrator_SessionClient, ended <-chan struct{}) {
	c.mu.Lock()
	var repeats []*sessionOffer
	for _, offer := range c.offers {
		if len(offer.responses) == 0 {
			repeats = append(repeats, offer)
		}
	}
	c.mu.Unlock()
	for _, offer := range repeats {
		c.send(stream, offer)
	}
	for {
		select {
		case <-ended:
			return
		case <-time.After(time.Duration(c.random.Int64N(int64(20 * time.Millisecond)))):
		}
		c.mu.Lock()
		var next *sessionOffer
		if c.open < sessionOffers {
			next = c.newOffer()
		}
		seen := c.seen
		c.mu.Unlock()
		if next != nil {
			c.send(stream, next)
		}
		if c.random.IntN(5) == 0 {
			_ = stream.Send(&edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Ack{Ack: seen}}) // Recv reports the error
		}
	}
}

// newOffer adds an offer. The caller holds mu.
func (c *sessionClient) newOffer() *sessionOffer {
	c.lastID++
	c.open++
	_, number, _ := strings.Cut(c.name, "-")
	id := fmt.Sprintf("%08s%08x", number, c.lastID)
	script := []string{"ok", "ok", "ok", "full", "missed", "silent", "brief"}[c.random.IntN(7)]
	offer := &sessionOffer{offer: &edgepb.Offer{OfferId: id, Task: script + "-" + id, Class: "guide-web", Cores: 0.05, Memory: 0.1,
		Service: "00000000b4d65521", Description: "d", WaitMs: sessionWaitMs}}
	c.offers[id] = offer
	return offer
}

// send sends an offer. It counts as sent once the client's transport has taken it.
func (c *sessionClient) send(stream edgepb.Orchestrator_SessionClient, offer *sessionOffer) {
	c.mu.Lock()
	offer.sends++
	c.mu.Unlock()
	err := stream.Send(&edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Offer{Offer: offer.offer}})
	if err != nil {
		return // Recv reports the error
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	offer.sentAt, offer.stream = time.Now(), c.streams
}

// settleTime is the time before SIGTERM in which a task may end without a report: faults last until then.
const settleTime = 300 * time.Millisecond

// check checks what the client has received when the orchestrator has ended. stoppedAt is the time of SIGTERM.
func (c *sessionClient) check(stoppedAt time.Time) {
	t := c.scenario.t
	for _, fault := range c.faults {
		t.Errorf("%s: %s", c.name, fault)
	}
	for id, offer := range c.offers {
		if len(offer.responses) > offer.sends {
			t.Errorf("offer %s was sent %d times and got the responses %v", id, offer.sends, offer.responses)
		}
		if len(offer.responses) == 0 && offer.stream == c.streams {
			c.checkUnanswered(offer)
		}
		endedAt, hasEnded := c.scenario.endedAt[id]
		isDue := hasEnded && endedAt.Before(stoppedAt.Add(-settleTime)) && slices.Contains(offer.responses, "binding")
		if offer.ends > 1 || isDue && offer.ends == 0 {
			t.Errorf("the end of the task of offer %s was reported %d times", id, offer.ends)
		}
	}
}

// checkUnanswered checks an offer that got no response on the last stream of the session. The orchestrator must not have read
// it from that stream: an offer that crosses the end of its stream is to be offered again. The client must have sent it
// at most crossingLimit before the orchestrator closed the stream for offers, and must have learned of the end soon after.
// If the orchestrator did not close the stream, the time at which the client learned of its end stands for both.
func (c *sessionClient) checkUnanswered(offer *sessionOffer) {
	t, s, id := c.scenario.t, c.scenario, offer.offer.GetOfferId()
	last := s.lastStream(c.name, id)
	closedAt := last.closedAt
	if closedAt.IsZero() {
		closedAt = c.endedAt
	}
	sentTooEarly := closedAt.Sub(offer.sentAt) > crossingLimit+s.pauses.TotalBetween(offer.sentAt, closedAt)
	endedTooLate := c.endedAt.Sub(closedAt) > streamEndLimit+s.pauses.TotalBetween(closedAt, c.endedAt)
	if last.wasRead || sentTooEarly || endedTooLate {
		t.Errorf("offer %s got no response; it was sent at %s, read: %v, stream closed at %s, %s\n%s", id, offer.sentAt.Format("05.000"),
			last.wasRead, closedAt.Format("05.000"), c.streamEnds[len(c.streamEnds)-1], strings.Join(last.lines, "\n"))
	}
}

// streamLog is what the log of the orchestrator says of a stream and an offer.
type streamLog struct {
	number   string
	wasRead  bool      // the offer was read from the stream
	closedAt time.Time // time at which the orchestrator closed the stream for offers, zero if it did not
	lines    []string  // all lines about the offer and the ends of streams
}

// lastStream returns what the log says of the last stream of a session and an offer.
func (s *sessionScenario) lastStream(session, offerID string) (last streamLog) {
	for _, line := range s.Lines() {
		isLast := logField(line, "stream") == last.number
		switch {
		case strings.Contains(line, `msg="session stream opened"`) && logField(line, "session") == session:
			last = streamLog{number: logField(line, "stream"), lines: last.lines}
		case strings.Contains(line, `msg="session offer received"`) && logField(line, "request_id") == offerID:
			last.wasRead = last.wasRead || isLast
		case strings.Contains(line, `msg="session stream closed"`) && isLast:
			at, err := strconv.ParseInt(logField(line, "at_us"), 10, 64)
			if err != nil {
				s.t.Errorf("log line %q has no time: %v", line, err)
			}
			last.closedAt = time.UnixMicro(at)
		case !strings.Contains(line, offerID):
			continue
		}
		last.lines = append(last.lines, line)
	}
	return last
}

// logField returns the value of a field of a log line, or "" if the line does not have the field.
func logField(line, name string) string {
	_, rest, _ := strings.Cut(line, " "+name+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// count adds the offers, their responses and the reported ends to the counts.
func (c *sessionClient) count(counts map[string]int) {
	counts["offers"] += len(c.offers)
	counts["streams"] += c.streams
	for _, offer := range c.offers {
		counts["repeats"] += offer.sends - 1
		counts["ends"] += offer.ends
		for _, kind := range offer.responses {
			counts[kind]++
		}
	}
}
