package backpressure

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"ravenhitch/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "20261201") }

func settings() Settings {
	return Settings{Classes: []Class{{"guide-web", 1}, {"live-relay", 3}, {"archive-cut", 5}}, MaxRetryAfterUs: 3 * second}
}

const begin = int64(1_700_000_000_000_000)

// saturated returns a Storm that has seen rate units a second find room, while so
// many waited, and the time at which it has.
func saturated(s Settings, rate, held float64) (*Controller, int64) {
	st := New(s, 1)
	now := begin
	for i := range int(rate * 3) {
		now = begin + int64(float64(i)/rate*float64(second))
		st.SetPending(now, []float64{held, 0, 0})
		st.Started(now, Request{Key: uint64(1<<40 + i), Units: 1})
	}
	return st, now
}

// The pace is what found room while something waited, and nothing where nothing does.
func TestPace(t *testing.T) {
	st, now := saturated(settings(), 50, 100)
	if p := st.ReleaseRate(now); p < 45 || p > 55 {
		t.Errorf("at 50 a second: %.1f", p)
	}
	st.SetPending(now+second, []float64{0, 0, 0})
	if p := st.ReleaseRate(now + second); p != 0 {
		t.Errorf("with nothing waiting: %.1f", p)
	}
}

// A crowd refused at once is told to come back over the time that its room takes, and
// no slot is booked beyond the pace.
func TestReturnsSpread(t *testing.T) {
	s := settings()
	s.MaxRetryAfterUs = 60 * second
	st, now := saturated(s, 50, 100)
	slots := map[int64]int{}
	var last int64
	for i := range 1000 {
		wait := st.Rejected(now, Request{Key: uint64(i), Class: 0, Units: 1, TimeoutUs: 6 * second})
		slots[(now+wait)/slotUs]++
		last = max(last, wait)
	}
	for slot, n := range slots {
		if n > 6 && slot != now/slotUs+1 {
			t.Errorf("%d in one slot at 5 a slot", n)
		}
	}
	if want := (1100/50 - 4) * second; last < want*8/10 || last > want*12/10 {
		t.Errorf("the last comes back after %.1f s, expected about %.1f", float64(last)/1e6, float64(want)/1e6)
	}
}

// Of a line that is refused at once, the last is told a time behind the others, once.
func TestWholeLineRefused(t *testing.T) {
	s := settings()
	s.MaxRetryAfterUs = 60 * second
	st, now := saturated(s, 50, 500)
	st.SetPending(now, []float64{0, 0, 0}) // as the core tells before it refuses
	var last int64
	for i := range 500 {
		last = max(last, st.Rejected(now, Request{Key: uint64(i), Program: uint64(i % 50), Units: 1}))
	}
	if last < 9*second || last > 11*second {
		t.Errorf("500 at 50 a second: the last comes back after %.1f s", float64(last)/1e6)
	}
}

// Whoever comes too early keeps its place and loses none of it by asking often; the
// others' places stay as they were.
func TestEarlyCallers(t *testing.T) {
	s := settings()
	s.MaxRetryAfterUs = 60 * second
	st, now := saturated(s, 50, 300)
	c := Request{Key: 7, Class: 0, Units: 1, TimeoutUs: second}
	first := now + st.Rejected(now, c)
	for i := range 500 {
		st.Rejected(now, Request{Key: uint64(100 + i), Class: 0, Units: 1, TimeoutUs: second})
	}
	booked := st.calendar.reserved(0)
	for range 10 {
		now += second / 10
		st.SetPending(now, []float64{300, 0, 0})
		st.Started(now, Request{Key: uint64(now), Units: 5})
		if since := st.Requested(now, c); since > begin+4*second {
			t.Errorf("it stands in line since %.1f s", float64(since-begin)/1e6)
		}
		if again := now + st.Rejected(now, c); again > first+2*slotUs {
			t.Errorf("told to come at %.2f s, then at %.2f s", float64(first-begin)/1e6, float64(again-begin)/1e6)
		}
	}
	if now := st.calendar.reserved(0); now > booked+0.01 {
		t.Errorf("%.1f units are booked, %.1f before", now, booked)
	}
}

// Callers that stay away for a third of the advice are told three times as much.
func TestHonourLearned(t *testing.T) {
	st, now := saturated(settings(), 20, 200)
	for i := range 300 {
		c := Request{Key: uint64(i), Class: 0, Units: 1, TimeoutUs: 6 * second}
		wait := st.Rejected(now, c)
		st.Requested(now+wait/3, c)
	}
	if h := st.compliance[0]; h < 0.28 || h > 0.4 {
		t.Errorf("learned %.2f of 0.33", h)
	}
	if st.compliance[1] != 1 {
		t.Error("another class learned from it")
	}
}

// Relays are told earlier times than guide-web, which still gets its floor.
func TestRanksAndFloor(t *testing.T) {
	s := settings()
	s.MaxRetryAfterUs = 90 * second
	st, now := saturated(s, 50, 100)
	for i := range 2000 {
		st.Rejected(now, Request{Key: uint64(i), Class: 1, Units: 1})
	}
	web := st.Rejected(now, Request{Key: 1 << 30, Class: 0, Units: 1})
	if web > 16*second || web < 10*second {
		t.Errorf("the first guide-web behind 2,000 relays comes after %.1f s; its floor is 7.5 a second behind 101", float64(web)/1e6)
	}
	st, now = saturated(s, 50, 100)
	for i := range 1000 {
		st.Rejected(now, Request{Key: uint64(i), Class: 0, Units: 1})
	}
	if relay := st.Rejected(now, Request{Key: 1 << 30, Class: 1, Units: 1}); relay > second/2 {
		t.Errorf("a relay behind 1,000 guide-webs comes after %.1f s", float64(relay)/1e6)
	}
}

// Memory and answers stay sound whatever comes in whatever order, also where the
// clock goes back.
func TestAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := settings()
		s.Callers = 64
		st := New(s, rapid.Uint64().Draw(t, "seed"))
		now := begin
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Int64Range(-second, 3*second).Draw(t, "time")
			c := Request{Key: rapid.Uint64Range(0, 300).Draw(t, "key"), Class: rapid.IntRange(-1, 4).Draw(t, "class"),
				Units: rapid.Float64Range(0.01, 20).Draw(t, "units"), TimeoutUs: rapid.Int64Range(0, 10*second).Draw(t, "wait")}
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				if since := st.Requested(now, c); since > now {
					t.Fatalf("it stands in line from %d on, now is %d", since, now)
				}
			case 1:
				st.Started(now, c)
			case 2, 3:
				if wait := st.Rejected(now, c); wait < 0 || wait > s.MaxRetryAfterUs {
					t.Fatalf("told to stay away %d", wait)
				}
			case 4:
				st.SetPending(now, []float64{c.Units, 0, c.Units})
			case 5:
				st.Ended(now, c)
				st.Adopted(now, c)
				st.Cancelled(now, c)
			case 6:
				st.Tick(now)
			}
			for i := range s.Classes {
				var sum float64
				for slot := range int64(calendarSlots) {
					sum += float64(*st.calendar.at(slot, i))
				}
				if d := sum - st.calendar.reserved(i); d > 0.1 || d < -0.1 {
					t.Fatalf("class %d: %.2f booked, %.2f in the slots", i, st.calendar.reserved(i), sum)
				}
			}
		}
	})
}

// One service with nine tenths of the returns does not put the others behind all of
// its own, and still gets what they leave.
func TestFairness(t *testing.T) {
	s := settings()
	s.MaxRetryAfterUs = 90 * second
	st, now := saturated(s, 50, 100)
	var heavy, light int64
	for i := range 1000 {
		service := uint64(1)
		if i%10 == 0 {
			service = uint64(2 + i/10%20)
		}
		wait := st.Rejected(now, Request{Key: uint64(i), Program: service, Units: 1, TimeoutUs: second})
		if service == 1 {
			heavy = max(heavy, wait)
		} else {
			light = max(light, wait)
		}
	}
	if light > heavy/2 || heavy > 26*second {
		t.Errorf("the last of the heavy service comes after %.1f s, of the others after %.1f s", float64(heavy)/1e6, float64(light)/1e6)
	}
}

// With every slot booked, advice stays within its bound and memory as it is.
func TestEverySlotBooked(t *testing.T) {
	st, now := saturated(settings(), 10, 100)
	for i := range 50_000 {
		if wait := st.Rejected(now, Request{Key: uint64(i), Program: uint64(i), Units: 4, TimeoutUs: second}); wait < 0 || wait > 3*second {
			t.Fatalf("told to stay away %.1f s", float64(wait)/1e6)
		}
	}
	if f := st.Figures(now); f.Booked < 100_000 {
		t.Errorf("%.0f units are booked", f.Booked)
	}
	now += 200 * second
	st.SetPending(now, nil)
	if f := st.Figures(now); f.Booked != 0 {
		t.Errorf("%.0f units are booked long afterwards", f.Booked)
	}
}

// A second storm amid the first finds its place behind it.
func TestTwoStorms(t *testing.T) {
	s := settings()
	s.MaxRetryAfterUs = 90 * second
	st, now := saturated(s, 50, 100)
	var first, later int64
	for i := range 500 {
		first = max(first, now+st.Rejected(now, Request{Key: uint64(i), Program: uint64(i % 50), Units: 1, TimeoutUs: second}))
	}
	for i := range 100 { // the first goes on finding room
		now += second / 50
		st.SetPending(now, []float64{100, 0, 0})
		st.Started(now, Request{Key: uint64(1<<41 + i), Units: 1})
	}
	for i := range 500 {
		later = max(later, now+st.Rejected(now, Request{Key: uint64(1000 + i), Program: uint64(i % 50), Units: 1, TimeoutUs: second}))
	}
	if d := later - first; d < 7*second || d > 15*second {
		t.Errorf("the second ends %.1f s after the first, expected about 10", float64(d)/1e6)
	}
}

// A hall returns with its tasks still running: what is handed in as running is no
// retry, and the crowd is taken for what it is.
func TestOpenAndRetriesMixed(t *testing.T) {
	st := New(settings(), 1)
	now := begin
	for i := range 200 {
		now += second / 10
		st.Requested(now, Request{Key: uint64(i), Program: uint64(i), Units: 1})
		st.Tick(now)
	}
	var kind Kind
	for i := range 400 {
		now += second / 400
		if i%2 == 0 {
			st.Adopted(now, Request{Key: uint64(1000 + i), Program: uint64(i), Units: 1})
		} else {
			st.Requested(now, Request{Key: uint64(2000 + i), Program: uint64(i), Units: 1})
		}
		st.SetPending(now, []float64{float64(i), 0, 0})
		if ch, ok := st.Tick(now); ok {
			kind = ch.Kind
		}
	}
	if kind != Reconnect || st.ReleaseRate(now) > 1 {
		t.Errorf("taken for %s, with room at %.1f a second though nothing started", kind, st.ReleaseRate(now))
	}
}

// The kinds of crowd are told apart, and a state ends where its crowd does.
func TestDetection(t *testing.T) {
	for _, x := range []struct {
		name string
		feed func(st *Controller, now int64, i int)
		want Kind
	}{
		{"new demand", func(st *Controller, now int64, i int) {
			st.Requested(now, Request{Key: uint64(i), Program: uint64(i / 10), Units: 1})
		}, Burst},
		{"retries", func(st *Controller, now int64, i int) {
			c := Request{Key: uint64(i % 40), Program: uint64(i % 40), Units: 1}
			st.Requested(now, c)
			st.Rejected(now, c)
		}, Retries},
		{"one service", func(st *Controller, now int64, i int) {
			service := uint64(1)
			if i%10 == 0 {
				service = uint64(i)
			}
			st.Requested(now, Request{Key: uint64(i), Program: service, Units: 1})
		}, Reconnect},
		{"a start", func(st *Controller, now int64, i int) {
			st.Adopted(now, Request{Key: uint64(i), Program: uint64(i / 10), Units: 1})
		}, Restart},
	} {
		t.Run(x.name, func(t *testing.T) {
			st := New(settings(), 1)
			now := begin
			calm := func(seconds int) (last Change) {
				for range seconds * 10 {
					now += second / 10
					st.Requested(now, Request{Key: uint64(now), Program: uint64(now), Units: 1})
					if ch, ok := st.Tick(now); ok {
						last = ch
					}
				}
				return last
			}
			if x.want != Restart {
				calm(5)
			}
			var kind Kind
			for i := range 600 {
				now += second / 300
				x.feed(st, now, i)
				st.SetPending(now, []float64{float64(i), 0, 0})
				st.Tick(now)
				if st.detector.state == Overloaded {
					kind = st.detector.kind
				}
			}
			if kind != x.want {
				t.Errorf("it was taken for %s", kind)
			}
			st.SetPending(now, nil)
			if last := calm(8); last.To != Calm || last.Why == "" || st.detector.state != Calm {
				t.Errorf("afterwards it is %s by %+v", st.detector.state, last)
			}
		})
	}
}

// A crowd keeps room for what goes first of it; a busy second keeps none.
func TestKeep(t *testing.T) {
	st := New(settings(), 1)
	now := begin
	for i := range 100 {
		now += second / 10
		st.Requested(now, Request{Key: uint64(i), Class: i % 2, Units: 1})
		st.Tick(now)
	}
	if k := st.Reserved(now); k[0] != 0 {
		t.Errorf("at ten a second %v is kept", k)
	}
	for i := range 100 {
		now += second / 400
		st.Requested(now, Request{Key: uint64(1000 + i), Class: i % 2, Units: 1})
	}
	if k := st.Reserved(now); k[0] < 60 || k[0] > 160 || k[2] != 0 {
		t.Errorf("with 200 relays a second on their way %v is kept", k)
	}
	if k := st.Reserved(now + second); k[0] != 0 {
		t.Errorf("a second later %v is kept", k)
	}
	now += second
	for i := range 300 {
		st.Requested(now, Request{Key: uint64(2000 + i), Class: 1, Units: 1, Connection: 5})
	}
	for i := range 300 { // and from a few
		st.Requested(now, Request{Key: uint64(3000 + i), Class: 1, Units: 1, Connection: uint64(6 + i%5)})
	}
	for range 10 {
		now += second / 50
		if k := st.Reserved(now); k[0] != 0 {
			t.Errorf("after hundreds at once from one source %v is kept", k)
		}
	}
}

// Memory is flat, whatever comes: the book and the calendar are of fixed size.
func TestMillionKeys(t *testing.T) {
	s := settings()
	s.Callers = 4096
	st, now := saturated(s, 100, 10)
	entries := len(st.waitlist.entries)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 1_000_000 {
		now += 20
		c := Request{Key: rng.Uint64(), Class: rng.IntN(3), Units: 1, TimeoutUs: 6 * second}
		st.Requested(now, c)
		if wait := st.Rejected(now, c); wait > s.MaxRetryAfterUs {
			t.Fatalf("told %d", wait)
		}
	}
	if len(st.waitlist.entries) != entries {
		t.Error("the book grew")
	}
}

// callers plays so many callers against 50 orchestrators, and returns how long all
// took against the work over the pace.
func callers(n int, seed uint64) (ratio float64, decisions int, bytes float64) {
	const orchestrators = 50
	rng := rand.New(rand.NewPCG(seed, 9))
	each := n / orchestrators
	var worst float64
	for k := range orchestrators {
		s := Settings{Classes: []Class{{"guide-web", 1}, {"live-relay", 3}}, MaxRetryAfterUs: 600 * second, Callers: each}
		st := New(s, seed+uint64(k))
		rate := float64(each) / 60 // a minute's work
		type event struct {
			at  int64
			key uint64
		}
		var wheel [1 << 14][]event // 100 ms each
		for i := range each {
			at := int64(rng.Float64() * float64(second))
			wheel[at/slotUs] = append(wheel[at/slotUs], event{begin + at, uint64(i)})
		}
		var queue []uint64
		room, left := 0.0, each
		var now int64
		for slot := 0; left > 0 && slot < len(wheel); slot++ {
			now = begin + int64(slot)*slotUs
			for _, e := range wheel[slot] {
				c := Request{Key: e.key, Class: int(e.key % 2), Units: 1, TimeoutUs: 6 * second}
				st.Requested(max(now, e.at), c)
				decisions++
				if float64(len(queue)) < rate*6 {
					queue = append(queue, e.key)
					continue
				}
				wait := st.Rejected(max(now, e.at), c)
				decisions++
				back := int(max(now, e.at)+wait-begin)/int(slotUs) + 1
				wheel[back%len(wheel)] = append(wheel[back%len(wheel)], event{begin + int64(back)*slotUs, e.key})
			}
			room = min(room+rate*0.1, rate)
			for len(queue) > 0 && room >= 1 {
				room--
				left--
				st.Started(now, Request{Key: queue[0], Class: int(queue[0] % 2), Units: 1})
				queue = queue[1:]
			}
			st.SetPending(now, []float64{float64(len(queue)), 0})
		}
		worst = max(worst, float64(now-begin)/float64(60*second))
		bytes += float64(len(st.waitlist.entries)*12 + len(st.calendar.units)*4)
	}
	return worst, decisions, bytes / float64(n)
}

func BenchmarkCallers(b *testing.B) {
	for _, n := range []int{100_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			var ratio, bytes float64
			var decisions int
			for i := range b.N {
				ratio, decisions, bytes = callers(n, uint64(i))
			}
			b.ReportMetric(ratio, "settled/bound")
			b.ReportMetric(bytes, "B/caller")
			b.ReportMetric(float64(decisions)/float64(n), "decisions/caller")
		})
	}
}

// BenchmarkDecision is what one ask and its refusal cost, amid a million others.
func BenchmarkDecision(b *testing.B) {
	s := settings()
	s.Callers = 1 << 20
	st, now := saturated(s, 1000, 1000)
	rng := rand.New(rand.NewPCG(1, 2))
	keys := make([]uint64, 1<<20)
	for i := range keys {
		keys[i] = rng.Uint64()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += 1
		c := Request{Key: keys[i&(1<<20-1)], Class: i % 3, Units: 1, TimeoutUs: 6 * second}
		st.Requested(now, c)
		st.Rejected(now, c)
	}
}

// A caller that nobody here has heard of stands in line since when it proves, and
// keeps that when it is refused again; one that claims the future gains nothing.
func TestProvedPlace(t *testing.T) {
	st, now := saturated(settings(), 50, 300)
	since := now - 4*second
	c := Request{Key: 9, Units: 1, TimeoutUs: 6 * second, QueuedSinceUs: since}
	if at := st.Requested(now, c); at != since {
		t.Errorf("it stands in line since %d us later than it proves", at-since)
	}
	st.Rejected(now, c)
	if at := st.Requested(now+second, Request{Key: 9, Units: 1}); at > since+tickUs {
		t.Errorf("refused again, it stands in line since %d us later", at-since)
	}
	if at := st.Requested(now, Request{Key: 10, Units: 1, QueuedSinceUs: now + second}); at != now {
		t.Errorf("claiming the future it stands in line %d us from now", at-now)
	}
}
