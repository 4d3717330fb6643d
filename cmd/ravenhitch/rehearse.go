package main

// This file owns the rehearsal: the rig as one command, what it shows while it plays, and
// what it leaves: a record and a picture. It starts the program as processes of their own
// and must never serve itself; it ends by itself, and leaves nothing running.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/fleet"
)

// defaultSchedule is what is played where nothing else is asked for: a hall is cut off, an
// orchestrator is killed meanwhile, and both come back.
const defaultSchedule = "2s cut hall-b; 5s kill n3; 9s mend hall-b; 11s start n3; 14s pause n2 2s; 17s heal"

type rehearseCommand struct {
	Orchestrators int      `default:"5" help:"How many orchestrators, 2 to 32."`
	Nodes         int      `default:"4" help:"How many nodes, 1 to 64."`
	Seconds       int      `default:"20" help:"How long the schedule is played, 5 to 3600."`
	Schedule      string   `placeholder:"TEXT" xor:"story" help:"The faults, as '2s cut n0->n1; 6s kill n2; 9s heal'."`
	File          string   `placeholder:"FILE" xor:"story" help:"A file with the faults."`
	Seed          uint64   `placeholder:"N" xor:"story" help:"Draw the faults from a seed."`
	Program       []string `placeholder:"FILE" help:"The program to start, this one unless it is named; several are taken in turn."`
	Out           string   `default:"rehearsal" placeholder:"FOLDER" help:"Where the record and the picture go."`
}

// rehearsalHost is what the stand-ins have in place of a test.
type rehearsalHost struct {
	out     io.Writer
	mu      sync.Mutex
	cleanup []func()
	faults  []string
}

var errEndedEarly = errors.New("the rehearsal ended early")

func (s *rehearsalHost) Helper() {}

func (s *rehearsalHost) Cleanup(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cleanup = append(s.cleanup, f)
}

func (s *rehearsalHost) Logf(format string, args ...any) { fmt.Fprintf(s.out, format+"\n", args...) }

func (s *rehearsalHost) Errorf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

func (s *rehearsalHost) Fatal(args ...any) {
	s.Errorf("%s", fmt.Sprint(args...))
	panic(errEndedEarly)
}

func (s *rehearsalHost) Fatalf(format string, args ...any) { s.Fatal(fmt.Sprintf(format, args...)) }

// runCleanups gives back what was started, last first.
func (s *rehearsalHost) runCleanups() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.cleanup) - 1; i >= 0; i-- {
		s.cleanup[i]()
	}
	s.cleanup = nil
}

// recording is what a rehearsal leaves.
type recording struct {
	Program  []string       `json:"program"`
	Schedule string         `json:"schedule"`
	Verdict  string         `json:"verdict"`
	Faults   []string       `json:"faults"`
	Total    fleet.Second   `json:"total"`
	P99Ms    float64        `json:"placement_p99_ms"`
	Seconds  []fleet.Second `json:"seconds"`
	Steps    []fleet.Done   `json:"steps"`
	Moments  []fleet.Moment `json:"moments"`
}

// Run plays the rehearsal.
func (c *rehearseCommand) Run(out io.Writer) (err error) {
	for _, b := range []struct {
		name           string
		v, least, most int
	}{{"orchestrators", c.Orchestrators, 2, 32}, {"nodes", c.Nodes, 1, 64}, {"seconds", c.Seconds, 5, 3600}} {
		if b.v < b.least || b.v > b.most {
			return fmt.Errorf("--%s: expected %d to %d, got %d", b.name, b.least, b.most, b.v)
		}
	}
	if len(c.Program) == 0 {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		c.Program = []string{self}
	}
	text := c.Schedule
	if c.File != "" {
		b, err := os.ReadFile(c.File)
		if err != nil {
			return err
		}
		text = strings.ReplaceAll(strings.TrimSpace(string(b)), "\n", ";")
	} else if text == "" && c.Seed == 0 {
		text = defaultSchedule
	}
	steps, err := testbed.ParseSchedule(text)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "rehearsal")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	s := &rehearsalHost{out: out}
	defer s.runCleanups()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(stop)
	defer func() {
		if e := recover(); e == errEndedEarly {
			err = fmt.Errorf("%w: %s", errEndedEarly, strings.Join(s.faults, "; "))
		} else if e != nil {
			panic(e)
		}
	}()
	return c.play(s, dir, steps, stop)
}

// play starts the fleet, plays the schedule and writes what was seen.
func (c *rehearseCommand) play(s *rehearsalHost, dir string, steps []testbed.Step, stop <-chan os.Signal) error {
	fmt.Fprintf(s.out, "starting %d orchestrators and %d nodes\n", c.Orchestrators, c.Nodes)
	f := fleet.New(s, fleet.Options{Programs: c.Program, Dir: dir, Orchestrators: c.Orchestrators, Nodes: c.Nodes, Seed: max(1, c.Seed)})
	length := time.Duration(c.Seconds) * time.Second
	if len(steps) == 0 {
		steps = f.Draw(c.Seed, length)
	}
	if err := f.Check(steps); err != nil {
		return err
	}
	fmt.Fprintf(s.out, "playing for %s: %s\n", length, testbed.Text(steps))
	f.Watch()
	placed := f.Demand(length)
	over := make(chan struct{})
	go func() {
		f.Play(steps, length)
		placed.Wait()
		close(over)
	}()
	for tick, shown := time.NewTicker(time.Second), 0; ; {
		select {
		case <-tick.C:
			if m, ok := f.Last(); ok {
				shown = show(s.out, m, placed.Seconds(), shown)
			}
			continue
		case <-stop:
			return fmt.Errorf("%w: told to end", errEndedEarly)
		case <-over:
			tick.Stop()
		}
		break
	}
	return c.leave(s, f, placed, steps)
}

// beginShutdown writes the record and the picture, and says what came of it.
func (c *rehearseCommand) leave(s *rehearsalHost, f *fleet.Fleet, placed *fleet.Placed, steps []testbed.Step) error {
	v := f.Judge()
	faults := append(s.faults, v.Why...)
	if n := len(placed.Silent()); n > 0 {
		faults = append(faults, fmt.Sprintf("%d set-ups without an answer", n))
	}
	r := recording{Program: c.Program, Schedule: testbed.Text(steps), Verdict: v.String(), Faults: faults, Total: placed.Total(),
		P99Ms: float64(placed.P99().Microseconds()) / 1000, Seconds: placed.Seconds()}
	r.Moments, r.Steps = f.Record()
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	b, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.Out, "record.json"), b, 0o644); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.Out, "picture.svg"), r.picture(), 0o644); err != nil {
		return err
	}
	t := r.Total
	fmt.Fprintf(s.out, "\n%s\nplaced %d tasks, 99 of 100 within %.1f ms; %d refused, %d failed, %d lost with their orchestrator\nrecord and picture: %s\n",
		v, t.Started, r.P99Ms, t.Refused, t.Failed, t.Lost, c.Out)
	if len(faults) > 0 {
		return fmt.Errorf("%d rules broken, as %s", len(faults), faults[0])
	}
	return nil
}

// statusLabel says how an orchestrator is, and is seen.
func statusLabel(x fleet.Seen) string {
	return map[string]string{"up": "up", "doubted": "suspected", "dead": "cut off", "down": "down", "ghost": "gone"}[statusOf(x)]
}

// show prints how things stand: a table that is drawn over itself on a terminal, else a
// line. It returns how many lines the next table has to go back.
func show(out io.Writer, m fleet.Moment, seconds []fleet.Second, back int) int {
	var last fleet.Second
	if n := len(seconds); n > 1 {
		last = seconds[n-2]
	}
	file, _ := out.(*os.File)
	info, err := os.Stdout.Stat()
	if file != os.Stdout || err != nil || info.Mode()&os.ModeCharDevice == 0 {
		var words []string
		for _, x := range m.Fleet {
			words = append(words, x.Name+" "+statusLabel(x))
		}
		fmt.Fprintf(out, "%5.1f s  %4d started, %d refused  %s\n", m.At, last.Started, last.Refused, strings.Join(words, ", "))
		return 0
	}
	if back > 0 {
		fmt.Fprintf(out, "\x1b[%dA", back)
	}
	fmt.Fprintf(out, "%5.1f s  %4d started in the last second, %d refused, %d failed, %d lost\x1b[K\n", m.At, last.Started, last.Refused, last.Failed, last.Lost)
	for _, x := range m.Fleet {
		fmt.Fprintf(out, "  %-4s %-8s %-8s seen alive by %d, suspected by %d, dead by %d; sees %d\x1b[K\n", x.Name, x.Hall, statusLabel(x), x.Alive,
			x.Suspected, x.Dead, x.Sees)
	}
	return len(m.Fleet) + 1
}
