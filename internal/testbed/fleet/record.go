package fleet

// This file owns the record of a play: moment by moment, what was so and how many of the
// others believed what.

// Seen is one orchestrator at a moment.
type Seen struct {
	Name      string `json:"name"`
	Hall      string `json:"hall"`
	Up        bool   `json:"up"`        // runs, and does not stand still
	Alive     int    `json:"alive"`     // others that hold it for alive,
	Suspected int    `json:"suspected"` // that suspect it,
	Dead      int    `json:"dead"`      // and that hold it for dead or gone
	Sees      int    `json:"sees"`      // members of its own stable view
}

// Moment is all of them.
type Moment struct {
	At    float64 `json:"at_s"` // since the fleet was up
	Fleet []Seen  `json:"fleet"`
}

// Done is a step that was carried out.
type Done struct {
	At   float64 `json:"at_s"`
	Step string  `json:"step"`
}

// Record is what was seen so far, and what was done.
func (r *Fleet) Record() (moments []Moment, done []Done) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.samples {
		moments = append(moments, r.moment(&r.samples[i]))
	}
	for _, a := range r.applied {
		done = append(done, Done{a.at.Sub(r.begin).Seconds(), a.Step.String()})
	}
	return moments, done
}

// Last is the latest moment; false where nothing was seen yet.
func (r *Fleet) Last() (Moment, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.samples) == 0 {
		return Moment{}, false
	}
	return r.moment(&r.samples[len(r.samples)-1]), true
}

func (r *Fleet) moment(s *sample) Moment {
	m := Moment{At: s.at.Sub(r.begin).Seconds()}
	for _, x := range r.Orchestrators {
		e := Seen{Name: x.Name, Hall: x.Hall, Up: s.up[x.Name]}
		if t := s.told[x.Name]; t != nil {
			e.Sees = len(t.View.Names)
		}
		for who, t := range s.told {
			for _, o := range t.Members {
				switch {
				case who == x.Name || o.Name != x.Name:
				case o.State == "alive":
					e.Alive++
				case o.State == "suspected":
					e.Suspected++
				default:
					e.Dead++
				}
			}
		}
		m.Fleet = append(m.Fleet, e)
	}
	return m
}
