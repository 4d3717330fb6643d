package backpressure

// This file owns the calendar: how many units were told to come back when. It books
// no caller twice and forgets what is past: a place that nobody used is others'.

const (
	slotUs   = int64(100_000)
	slotsAll = 1024 // some 100 s ahead
	// graceSlots is how long a return may be late before its place goes to others.
	graceSlots = 5
)

// calendar is a ring of slots.
type calendar struct {
	classes int
	units   []float32 // by slot and class
	sums    []float64 // by class
	base    int64     // the first slot that still counts
}

func newCalendar(classes int) *calendar {
	return &calendar{classes: classes, units: make([]float32, slotsAll*classes), sums: make([]float64, classes), base: -1}
}

func (c *calendar) at(slot int64, class int) *float32 {
	return &c.units[int(slot%slotsAll)*c.classes+class]
}

// advance drops what is past.
func (c *calendar) advance(now int64) {
	first := now/slotUs - graceSlots
	if c.base < 0 || first-c.base >= slotsAll {
		clear(c.units)
		clear(c.sums)
		c.base = max(c.base, first)
		return
	}
	for ; c.base < first; c.base++ {
		for class := range c.classes {
			u := c.at(c.base, class)
			c.sums[class] = max(0, c.sums[class]-float64(*u))
			*u = 0
		}
	}
}

// reserve books units of a class in the first slot from 'from' on that still has
// room for them at such a rate, and returns the slot. Where all are full, it is the
// last: that caller will be told anew.
func (c *calendar) reserve(now, from int64, class int, units, rate float64) int64 {
	first := max(from, now)/slotUs + 1
	last := c.base + slotsAll - 1
	slot := min(first, last)
	most := rate * float64(slotUs) / float64(second)
	for ; slot < last; slot++ {
		var sum float64
		for k := range c.classes {
			sum += float64(*c.at(slot, k))
		}
		if sum == 0 || sum+units <= most {
			break
		}
	}
	c.put(slot, class, units)
	return slot
}

// put books units in a slot, full or not.
func (c *calendar) put(slot int64, class int, units float64) {
	*c.at(slot, class) += float32(units)
	c.sums[class] += units
}

// cancel takes a booking back, unless it is past.
func (c *calendar) cancel(class int, slot int64, units float64) {
	if class >= c.classes || slot < c.base || slot >= c.base+slotsAll {
		return
	}
	u := c.at(slot, class)
	v := min(units, float64(*u))
	*u -= float32(v)
	c.sums[class] = max(0, c.sums[class]-v)
}

// booked is how many units of a class are to come back.
func (c *calendar) booked(class int) float64 { return c.sums[class] }
