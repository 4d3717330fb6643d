package backpressure

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// retryStorm simulates an orchestrator whose clients all send their first request within one second. At the release
// rate, it takes one minute to start all their tasks. The queue of pending requests is limited to the number of tasks
// that start within six seconds at this rate. Further requests are rejected, and their clients return after
// Retry-After.
type retryStorm struct {
	controller *Controller
	rate       float64            // units that are released per second
	arrivals   [1 << 14][]arrival // requests that arrive in each slot
	queue      []uint64           // keys of pending requests
	capacity   float64            // free capacity in units
	remaining  int                // number of clients whose task has not started
	decisions  int                // number of calls of Requested and Rejected
}

// arrival is a request of a client.
type arrival struct {
	at  int64 // time in microseconds
	key uint64
}

// newRetryStorm returns a retry storm of a number of clients.
func newRetryStorm(rng *rand.Rand, clients int, seed uint64) *retryStorm {
	s := &retryStorm{
		controller: New(Settings{
			Classes:         []Class{{"guide-web", 1}, {"live-relay", 3}},
			MaxRetryAfterUs: 600 * second,
			MaxClients:      clients,
		}, seed),
		rate:      float64(clients) / 60,
		remaining: clients,
	}
	for i := range clients {
		at := int64(rng.Float64() * float64(second))
		s.arrivals[at/slotUs] = append(s.arrivals[at/slotUs], arrival{testStart + at, uint64(i)})
	}
	return s
}

// run simulates the storm until all tasks have started or all slots of arrivals have passed.
// It returns the simulated time in microseconds.
func (s *retryStorm) run() (took int64) {
	var now int64
	for slot := 0; s.remaining > 0 && slot < len(s.arrivals); slot++ {
		now = testStart + int64(slot)*slotUs
		for _, a := range s.arrivals[slot] {
			s.request(max(now, a.at), a.key)
		}
		s.start(now)
		s.controller.SetPending(now, []float64{float64(len(s.queue)), 0})
	}
	return now - testStart
}

// request makes the request of a client pending, or rejects it if the queue is full.
func (s *retryStorm) request(now int64, key uint64) {
	r := Request{Key: key, Class: int(key % 2), Units: 1, TimeoutUs: 6 * second}
	s.controller.Requested(now, r)
	s.decisions++
	if float64(len(s.queue)) < s.rate*6 {
		s.queue = append(s.queue, key)
		return
	}
	wait := s.controller.Rejected(now, r)
	s.decisions++
	slot := int(now+wait-testStart)/int(slotUs) + 1
	i := slot % len(s.arrivals)
	s.arrivals[i] = append(s.arrivals[i], arrival{testStart + int64(slot)*slotUs, key})
}

// start increases the free capacity by the units that are released in one slot, and starts
// the pending tasks that fit into it. Free capacity is limited to the units that are
// released in one second.
func (s *retryStorm) start(now int64) {
	s.capacity = min(s.capacity+s.rate*seconds(slotUs), s.rate)
	for len(s.queue) > 0 && s.capacity >= 1 {
		s.capacity--
		s.remaining--
		s.controller.Started(now, Request{Key: s.queue[0], Class: int(s.queue[0] % 2), Units: 1})
		s.queue = s.queue[1:]
	}
}

// runRetryStorms simulates clients that are distributed over 50 orchestrators. It returns
// three values. The first is the time that the slowest orchestrator took to start all its
// tasks, as a multiple of the 60 s that this takes at the release rate. The second is the
// number of calls of Requested and Rejected on all orchestrators. The third is the memory of
// the waitlists and calendars in bytes per client.
func runRetryStorms(clients int, seed uint64) (ratio float64, decisions int, bytesPerClient float64) {
	const orchestrators = 50
	rng := rand.New(rand.NewPCG(seed, 9))
	var bytes float64
	for i := range orchestrators {
		storm := newRetryStorm(rng, clients/orchestrators, seed+uint64(i))
		ratio = max(ratio, float64(storm.run())/float64(60*second))
		decisions += storm.decisions
		bytes += float64(len(storm.controller.waitlist.entries)*12 + len(storm.controller.calendar.units)*4)
	}
	return ratio, decisions, bytes / float64(clients)
}

func BenchmarkClients(b *testing.B) {
	for _, clients := range []int{100_000, 1_000_000} {
		b.Run(fmt.Sprint(clients), func(b *testing.B) {
			b.ReportAllocs()
			var ratio, bytes float64
			var decisions int
			for i := range b.N {
				ratio, decisions, bytes = runRetryStorms(clients, uint64(i))
			}
			b.ReportMetric(ratio, "settled/bound")
			b.ReportMetric(bytes, "B/caller")
			b.ReportMetric(float64(decisions)/float64(clients), "decisions/caller")
		})
	}
}

// BenchmarkDecision measures a request and its rejection. The requests come from a million
// clients in turn. The waitlist is empty at first and has room for all of them.
func BenchmarkDecision(b *testing.B) {
	s := testSettings()
	s.MaxClients = 1 << 20
	c, now := saturated(s, 1000, 1000)
	rng := rand.New(rand.NewPCG(1, 2))
	keys := make([]uint64, 1<<20)
	for i := range keys {
		keys[i] = rng.Uint64()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now++
		r := Request{Key: keys[i&(1<<20-1)], Class: i % 3, Units: 1, TimeoutUs: 6 * second}
		c.Requested(now, r)
		c.Rejected(now, r)
	}
}
