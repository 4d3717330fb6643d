package storm

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ravenhitch/internal/testbed"
)

// This file owns the owners: their connections, what each asks and when it comes
// again, and what was answered.

// result is what became of a job.
type result struct {
	*job
	asks    int
	refused int
	first   time.Time // its first ask
	started time.Time // when it was told that it stands
	gaveUp  bool
}

// answer is a message for a tag, or the word that its connection ended.
type answer struct {
	testbed.Line
	at   time.Time
	gone bool
}

// owners ask for jobs.
type owners struct {
	r       *rig
	honour  float64
	begin   time.Time // of the storm
	nextTag atomic.Int64
	mu      sync.Mutex
	pools   [][]*link // by orchestrator
	placed  []placed
	sends   []time.Time
	late    []time.Duration // over the owner's time
	double  int
	unheard int // set-ups without an answer
	waits   []time.Duration
}

// placed is a task that an orchestrator was the one to place.
type placed struct {
	*job
	tag  string
	orch int
}

// handOver hands an orchestrator that was started anew the tasks that it had placed
// and that still run, as their owners do.
func (o *owners) handOver(orch int) (n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, p := range o.placed {
		o.r.watch.mu.Lock()
		at, stands := o.r.watch.where[p.key]
		o.r.watch.mu.Unlock()
		if p.orch != orch || !stands || at.tag != p.tag {
			continue
		}
		blob := p.Describe()
		if _, err := o.pools[orch][n%linksEach].ask(testbed.Line{Verb: "START", Tag: p.tag, Blob: &blob, Opts: map[string]string{
			"class": p.class.name, "key": p.key, "extras": fmt.Sprintf("cores:%g;memory:%g;service:%016x;at:%s", p.Cores, p.Memory,
				p.service, at.machine)}}); err == nil {
			n++
		}
	}
	return n
}

// link is one connection to an orchestrator, dialled anew when it ended.
type link struct {
	o    *owners
	orch int
	mu   sync.Mutex
	c    *testbed.Client
	open map[string]chan answer
	over map[string]bool // tags that had their final answer
}

const linksEach = 100

func newOwners(r *rig, honour float64) *owners {
	o := &owners{r: r, honour: honour}
	for k := range r.orch {
		var pool []*link
		for range linksEach {
			pool = append(pool, &link{o: o, orch: k, open: map[string]chan answer{}, over: map[string]bool{}})
		}
		o.pools = append(o.pools, pool)
	}
	return o
}

// ask sends a set-up and returns where its answer comes.
func (l *link) ask(line testbed.Line) (chan answer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.c == nil {
		c, err := testbed.Dial(l.o.r.orch[l.orch].addr)
		if err != nil {
			return nil, err
		}
		l.c = c
		go l.read(c)
	}
	ch := make(chan answer, 4)
	l.open[line.Tag] = ch
	testbed.Send(l.c, line)
	return ch, nil
}

func (l *link) read(c *testbed.Client) {
	for line := range c.Lines {
		now := time.Now()
		l.mu.Lock()
		ch := l.open[line.Tag]
		final := line.Verb == "STARTED" || line.Verb == "FINISH"
		switch {
		case ch == nil || !final:
		case l.over[line.Tag] && line.Verb == "STARTED":
			l.o.mu.Lock()
			l.o.double++
			l.o.mu.Unlock()
		default:
			l.over[line.Tag] = true
			if line.Verb == "FINISH" {
				delete(l.open, line.Tag)
			}
			ch <- answer{Line: line, at: now}
		}
		l.mu.Unlock()
	}
	c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.c == c {
		l.c = nil
	}
	for tag, ch := range l.open {
		if !l.over[tag] {
			ch <- answer{gone: true}
		}
	}
	clear(l.open)
}

// run asks for a job until it stands, or its time is over.
func (o *owners) run(j *job) *result {
	res := &result{job: j}
	rng := rand.New(rand.NewPCG(j.from, 3))
	time.Sleep(time.Until(o.begin.Add(j.at)))
	res.first = time.Now()
	for giveUp := res.first.Add(90 * time.Second); time.Now().Before(giveUp); {
		wait := 1100*ms + time.Duration(rng.Float64()*float64(1400*ms))
		a, sent, ok := o.once(j, rng, res)
		switch {
		case !ok: // the orchestrator is away; the front tries another
			time.Sleep(100 * ms)
			continue
		case a.Verb == "STARTED":
			res.started = a.at
			return res
		case a.gone || a.Cause() != 34:
			if j.class.name == "archive-cut" { // it may have started: wait, and look
				time.Sleep(3 * time.Second)
				o.r.watch.mu.Lock()
				stands := o.r.watch.accepts[j.key] > 0
				o.r.watch.mu.Unlock()
				if stands {
					res.started = time.Now()
					return res
				}
			}
		default:
			res.refused++
			told, _ := strconv.Atoi(a.Opts["wait"])
			o.mu.Lock()
			o.waits = append(o.waits, time.Duration(told)*ms)
			o.mu.Unlock()
			wait = max(wait, time.Duration(o.honour*float64(told)*float64(ms)))
		}
		if over := a.at.Sub(sent) - j.class.patience; !a.gone && over > 0 {
			o.mu.Lock()
			o.late = append(o.late, over)
			o.mu.Unlock()
		}
		time.Sleep(wait)
	}
	res.gaveUp = true
	return res
}

// once sends one set-up and waits for its answer.
func (o *owners) once(j *job, rng *rand.Rand, res *result) (a answer, sent time.Time, ok bool) {
	l := o.pools[rng.IntN(len(o.pools))][rng.IntN(linksEach)]
	tag := testbed.RequestID(int(o.nextTag.Add(1)))
	blob := j.Describe()
	o.r.watch.history.asked(tag)
	sent = time.Now()
	ch, err := l.ask(testbed.Line{Verb: "START", Tag: tag, Blob: &blob, Opts: map[string]string{"class": j.class.name, "key": j.key,
		"left":   strconv.FormatInt(j.class.patience.Milliseconds(), 10),
		"extras": fmt.Sprintf("cores:%g;memory:%g;service:%016x", j.Cores, j.Memory, j.service)}})
	if err != nil {
		return a, sent, false
	}
	res.asks++
	o.mu.Lock()
	o.sends = append(o.sends, sent)
	o.mu.Unlock()
	select {
	case a = <-ch:
		if !a.gone {
			o.r.watch.history.add(step{tag, answered, outcome(a.Line)})
		}
		if a.Verb == "STARTED" {
			o.mu.Lock()
			o.placed = append(o.placed, placed{j, tag, l.orch})
			o.mu.Unlock()
		}
	case <-time.After(j.class.patience + 2*time.Second):
		o.mu.Lock()
		o.unheard++
		o.mu.Unlock()
		return answer{gone: true}, sent, true
	}
	return a, sent, true
}

// outcome names a final answer.
func outcome(l testbed.Line) string {
	switch {
	case l.Verb == "STARTED":
		return "stands"
	case l.Cause() == 34:
		return "refused"
	}
	return "failed"
}
