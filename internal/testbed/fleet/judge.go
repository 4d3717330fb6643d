package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// This file judges the tables of a fleet by what was done to it. It must never take a
// table's word for what was so.

// Verdict is what one play showed.
type Verdict struct {
	Faults, FalseDead, MissedDead, OneWayDetected, OneWayCuts int
	ViewChanges                                               int64           // changes of stable views, of all
	DetectionTimes                                            []time.Duration // from an end to each that found it, sorted
	Disagreement                                              time.Duration   // after the end of all faults
	TrafficRate                                               float64         // a second and member
	Why                                                       []string        // what is broken
}

func (v Verdict) String() string {
	p := func(k int) int64 {
		if len(v.DetectionTimes) == 0 {
			return -1
		}
		return v.DetectionTimes[(len(v.DetectionTimes)-1)*k/100].Milliseconds()
	}
	return fmt.Sprintf("faults=%d detect_p50_ms=%d detect_p99_ms=%d false_dead=%d missed_dead=%d one_way_found=%d of=%d disagree_s=%.1f "+
		"view_changes=%d traffic_bytes_s_member=%.0f", v.Faults, p(50), p(99), v.FalseDead, v.MissedDead, v.OneWayDetected, v.OneWayCuts,
		v.Disagreement.Seconds(), v.ViewChanges, v.TrafficRate)
}

func (v *Verdict) fault(format string, a ...any) { v.Why = append(v.Why, fmt.Sprintf(format, a...)) }

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

// Judge reads the samples.
func (r *Fleet) Judge() (v Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	const (
		excuse  = 6 * time.Second // how long a cut may still show as a death
		rebirth = 3 * time.Second // how long one that came back may
		must    = 9 * time.Second // by when an end must have shown
	)
	type couple struct{ who, whom string }
	type absence struct{ from, to time.Time }
	ends := map[string]absence{} // the last of each
	last := r.samples[len(r.samples)-1].at
	for _, a := range r.applied {
		switch a.Verb {
		case "kill", "term":
			ends[a.Where] = absence{a.at, last}
		case "start":
			if e, ok := ends[a.Where]; ok {
				ends[a.Where] = absence{e.from, a.at}
			}
		}
		if a.Verb != "heal" && a.Verb != "mend" {
			v.Faults++
		}
	}
	apart := map[couple]time.Time{} // when two were last apart, or one of them not running
	found, wrong := map[couple]time.Duration{}, map[couple]bool{}
	first, latest := map[string]int64{}, map[string]int64{}
	for _, s := range r.samples {
		for _, x := range r.Orchestrators {
			for _, o := range r.Orchestrators {
				c := couple{x.Name, o.Name}
				if x != o && !s.joined(x.Name, o.Name) {
					apart[c] = s.at
				}
			}
			t := s.told[x.Name]
			if t == nil {
				continue
			}
			if first[x.Name] == 0 {
				first[x.Name] = t.View.Number
			}
			latest[x.Name] = max(latest[x.Name], t.View.Number)
			for _, m := range t.Members[1:] {
				c, dead := couple{x.Name, m.Name}, m.State == "dead" || m.State == "left"
				ended, over := ends[m.Name]
				switch {
				case over && s.at.After(ended.from) && s.at.Before(ended.to):
					if _, ok := found[c]; dead && !ok {
						found[c] = s.at.Sub(ended.from)
					}
				case dead && !wrong[c] && s.up[m.Name] && s.at.Sub(s.born[m.Name]) > rebirth && s.at.Sub(s.born[x.Name]) > rebirth &&
					(apart[c].IsZero() || s.at.Sub(apart[c]) > excuse):
					wrong[c] = true
					v.FalseDead++
					v.fault("%.1f s: %s holds %s for dead, which lives: %s", s.at.Sub(r.begin).Seconds(), x.Name, m.Name, m.Evidence)
				}
			}
		}
	}
	end := r.samples[len(r.samples)-1]
	for who := range latest {
		v.ViewChanges += latest[who] - first[who]
	}
	for name, gone := range ends {
		for _, x := range r.Orchestrators {
			c := couple{x.Name, name}
			if !end.up[x.Name] || x.Name == name {
				continue
			}
			if d, ok := found[c]; ok {
				v.DetectionTimes = append(v.DetectionTimes, d)
			} else if gone.to.Sub(gone.from) > must {
				v.MissedDead++
				v.fault("%s never held %s for dead", x.Name, name)
			}
		}
	}
	slices.Sort(v.DetectionTimes)
	r.judgeWays(&v)
	r.judgeEnd(&v)
	return v
}

// judgeWays looks at which ways that carried in one direction only were found by either end.
func (r *Fleet) judgeWays(v *Verdict) {
	for _, a := range r.applied {
		from, to, ok := strings.Cut(a.Where, "->")
		if !ok || a.Verb != "cut" || strings.HasSuffix(from, "<") || !slices.ContainsFunc(r.samples, func(s sample) bool {
			return s.at.Sub(a.at) > 8*time.Second && !s.open[[2]string{from, to}]
		}) || r.ended(from) || r.ended(to) {
			continue
		}
		v.OneWayCuts++
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
				v.OneWayDetected++
				break
			}
		}
	}
}

func (r *Fleet) ended(name string) bool {
	return slices.ContainsFunc(r.applied, func(a appliedStep) bool {
		return a.Where == name && (a.Verb == "kill" || a.Verb == "term" || a.Verb == "restart")
	})
}

// judgeEnd looks at how long after the end of all faults the tables differed, and at what
// they cost.
func (r *Fleet) judgeEnd(v *Verdict) {
	end, sent, told := r.samples[len(r.samples)-1], int64(0), 0
	for _, t := range end.told {
		sent += t.Traffic.SentBytes
		told++
	}
	v.TrafficRate = float64(sent) / max(1, end.at.Sub(r.begin).Seconds()) / float64(max(1, told))
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
				if v.Disagreement = s.at.Sub(r.healed); s.at == end.at {
					v.fault("at the end %s sees %v, and %v are there", name, got, want)
				}
			}
		}
	}
}
