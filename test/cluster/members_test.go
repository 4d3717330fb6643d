package cluster

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"ravenhitch/internal/standin"
)

// This file judges the table of members of real processes under a schedule of faults.

var (
	seedFlag      = flag.Uint64("seed", 7, "draws the schedule")
	processesFlag = flag.Int("processes", 7, "orchestrators")
	secondsFlag   = flag.Int("seconds", 20, "length of the schedule")
	scheduleFlag  = flag.String("schedule", "", "play this one in place of one that is drawn")
)

// verdict is what one play showed.
type verdict struct {
	faults, falseDead, missed, oneWayFound, oneWay int
	views                                          int64
	detect                                         []time.Duration
	disagree                                       time.Duration
	bytes                                          float64 // a second and member
	why                                            []string
}

func (v *verdict) fault(format string, a ...any) { v.why = append(v.why, fmt.Sprintf(format, a...)) }

// joined says whether ways led from one to the other and back in a sample, by whoever ran.
func (s *sample) joined(a, b string) bool {
	seen, next := map[string]bool{a: true}, []string{a}
	for len(next) > 0 && !seen[b] {
		x := next[0]
		next = next[1:]
		for o, up := range s.up {
			if !seen[o] && up && s.open[[2]string{x, o}] && s.open[[2]string{o, x}] {
				seen[o] = true
				next = append(next, o)
			}
		}
	}
	return seen[b]
}

// judge reads the samples.
func (r *rig) judge() (v verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	const (
		excuse = 6 * time.Second // how long a cut may still show as a death
		rebirt = 3 * time.Second // how long one that came back may
		must   = 9 * time.Second // by when an end must have shown
	)
	type couple struct{ who, whom string }
	ends := map[string]time.Time{}
	for _, a := range r.applied {
		switch a.Verb {
		case "kill", "term":
			ends[a.Where] = a.at
		}
		if a.Verb != "heal" && a.Verb != "mend" {
			v.faults++
		}
	}
	apart := map[couple]time.Time{} // when two were last apart, or one of them not running
	found, wrong := map[couple]time.Duration{}, map[couple]bool{}
	first, last := map[string]int64{}, map[string]int64{}
	for _, s := range r.samples {
		for _, x := range r.nodes {
			for _, o := range r.nodes {
				c := couple{x.name, o.name}
				if x != o && !s.joined(x.name, o.name) {
					apart[c] = s.at
				}
			}
			t := s.told[x.name]
			if t == nil {
				continue
			}
			if first[x.name] == 0 {
				first[x.name] = t.View.Number
			}
			last[x.name] = max(last[x.name], t.View.Number)
			for _, m := range t.Members[1:] {
				c, dead := couple{x.name, m.Name}, m.State == "dead" || m.State == "left"
				ended, over := ends[m.Name]
				switch {
				case over && s.at.After(ended):
					if _, ok := found[c]; dead && !ok {
						found[c] = s.at.Sub(ended)
					}
				case dead && !wrong[c] && s.up[m.Name] && s.at.Sub(s.born[m.Name]) > rebirt && s.at.Sub(s.born[x.name]) > rebirt &&
					(apart[c].IsZero() || s.at.Sub(apart[c]) > excuse):
					wrong[c] = true
					v.falseDead++
					v.fault("%.1f s: %s holds %s for dead, which lives: %s", s.at.Sub(r.begin).Seconds(), x.name, m.Name, m.Evidence)
				}
			}
		}
	}
	end := r.samples[len(r.samples)-1]
	for who := range last {
		v.views += last[who] - first[who]
	}
	for name, at := range ends {
		for _, x := range r.nodes {
			c := couple{x.name, name}
			if !end.up[x.name] {
				continue
			}
			if d, ok := found[c]; ok {
				v.detect = append(v.detect, d)
			} else if end.at.Sub(at) > must {
				v.missed++
				v.fault("%s never held %s for dead", x.name, name)
			}
		}
	}
	slices.Sort(v.detect)
	r.judgeWays(&v)
	r.judgeEnd(&v)
	return v
}

// judgeWays looks at which ways that carried in one direction only were found by either end.
func (r *rig) judgeWays(v *verdict) {
	for _, a := range r.applied {
		from, to, ok := strings.Cut(a.Where, "->")
		if !ok || a.Verb != "cut" || strings.HasSuffix(from, "<") || !slices.ContainsFunc(r.samples, func(s sample) bool {
			return s.at.Sub(a.at) > 8*time.Second && !s.open[[2]string{from, to}]
		}) || r.ended(from) || r.ended(to) {
			continue
		}
		v.oneWay++
		for _, s := range r.samples {
			says := func(who, whom, link string) bool {
				t := s.told[who]
				if t == nil || s.at.Before(a.at) {
					return false
				}
				for _, m := range t.Members {
					if m.Name == whom && m.Link == link {
						return true
					}
				}
				return false
			}
			if says(from, to, "out shut") || says(to, from, "in shut") {
				v.oneWayFound++
				break
			}
		}
	}
}

func (r *rig) ended(name string) bool {
	return slices.ContainsFunc(r.applied, func(a applied) bool {
		return a.Where == name && (a.Verb == "kill" || a.Verb == "term" || a.Verb == "restart")
	})
}

// judgeEnd looks at how long after the end of all faults the tables differed, and at what
// they cost.
func (r *rig) judgeEnd(v *verdict) {
	end, sent, told := r.samples[len(r.samples)-1], int64(0), 0
	for _, t := range end.told {
		sent += t.Traffic.SentBytes
		told++
	}
	v.bytes = float64(sent) / max(1, end.at.Sub(r.begin).Seconds()) / float64(max(1, told))
	for _, s := range r.samples {
		if s.at.Before(r.healed) {
			continue
		}
		var want []string
		for name, up := range s.up {
			if up {
				want = append(want, name)
			}
		}
		slices.Sort(want)
		for name, t := range s.told {
			if got := slices.Sorted(slices.Values(t.View.Names)); !slices.Equal(got, want) {
				if v.disagree = s.at.Sub(r.healed); s.at == end.at {
					v.fault("at the end %s sees %v, and %v are there", name, got, want)
				}
			}
		}
	}
}

func (r *rig) halls() map[string][]string {
	out := map[string][]string{}
	for _, x := range r.nodes {
		out[x.hall] = append(out[x.hall], x.name)
	}
	return out
}

// TestMembers plays one schedule drawn from a seed.
func TestMembers(t *testing.T) {
	n, length := *processesFlag, time.Duration(*secondsFlag)*time.Second
	calm := 3 * time.Second
	var off, on latencies
	if flag.Lookup("test.run").Value.String() != "" { // a measurement, beside the play
		t.Run("off", func(t *testing.T) { newRig(t, n, *seedFlag, false).place(&off, calm) })
	}
	r := newRig(t, n, *seedFlag, true)
	r.watch()
	r.place(&on, calm)
	steps := standin.Draw(*seedFlag, r.halls(), length)
	if *scheduleFlag != "" {
		var err error
		if steps, err = standin.ParseSchedule(*scheduleFlag); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("seed %d: %s", *seedFlag, standin.Text(steps))
	r.play(steps, length)
	v := r.judge()
	ratio := float64(on.p99()) / float64(max(1, off.p99()))
	p := func(k int) int64 {
		if len(v.detect) == 0 {
			return -1
		}
		return v.detect[(len(v.detect)-1)*k/100].Milliseconds()
	}
	fmt.Printf("members: faults=%d detect_p50_ms=%d detect_p99_ms=%d false_dead=%d missed_dead=%d one_way_found=%d of=%d disagree_s=%.1f "+
		"view_changes=%d traffic_bytes_s_member=%.0f placement_p99_ratio=%.2f\n", v.faults, p(50), p(99), v.falseDead, v.missed, v.oneWayFound,
		v.oneWay, v.disagree.Seconds(), v.views, v.bytes, ratio)
	if len(v.why) > 0 || on.failed.Load() > 0 || v.disagree > 3*time.Second {
		t.Errorf("seed %d, %d placements failed, %s\nschedule: %s", *seedFlag, on.failed.Load(), strings.Join(v.why, "\n"), standin.Text(steps))
	}
	if t.Failed() {
		for _, x := range r.nodes {
			for _, l := range x.Lines() {
				if strings.Contains(l, "msg=peers") || strings.Contains(l, "WARN") || strings.Contains(l, "ERROR") {
					t.Log(l)
				}
			}
		}
	}
}
