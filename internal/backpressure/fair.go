package backpressure

// This file owns the shares of services among the returns that are booked: one that
// asks for most of the room must not put the others behind all of it. Services are
// counted in cells by a hash; two that share a cell share a part.

const (
	cells = 256
	// lightOver is by how much a slot may be overbooked for a service with few returns
	// booked, beside those of one with many.
	lightOver = 1.25
)

// fadeEvery is how often what was booked counts for less: half is left after three
// seconds, by when callers have come back, or others stand where they would.
const (
	fadeEvery = second / 10
	fadeLeft  = 0.977
)

// fair counts booked units by service.
type fair struct {
	at     int64
	units  [cells]float32
	active int // cells with something booked
	all    float64
}

// advance lets what was booked count for less.
func (f *fair) advance(now int64) {
	if f.at == 0 || now < f.at {
		f.at = now
	}
	for n := 0; now-f.at >= fadeEvery; n++ {
		if n > 1000 || f.active == 0 {
			*f = fair{at: now}
			return
		}
		f.at += fadeEvery
		for i := range f.units {
			if f.units[i] > 0 {
				f.add(i, -float64(f.units[i])*(1-fadeLeft))
			}
		}
	}
}

func cellOf(service uint64) int { return int(mix(service) % cells) }

func (f *fair) add(cell int, units float64) {
	was := f.units[cell]
	f.units[cell] = max(0, was+float32(units))
	if f.units[cell] < 1.0/unitScale/2 {
		f.units[cell] = 0
	}
	f.all += float64(f.units[cell] - was)
	switch {
	case was == 0 && f.units[cell] > 0:
		f.active++
	case was > 0 && f.units[cell] == 0:
		f.active--
	}
}

// ahead is how many of the units that are ahead of a caller count for its service,
// whose own are booked already: were each service to have its turn, only as many of
// each as are its own.
func (f *fair) ahead(cell int, ahead float64) float64 {
	return min(ahead, float64(f.units[cell])*float64(max(1, f.active)))
}

// light reports whether a service has less booked than the services have in the mean.
func (f *fair) light(cell int) bool {
	return f.active > 1 && float64(f.units[cell])*float64(f.active) < f.all/2
}
