package backpressure

// This file owns the slot calendar: how many units are expected to return when. It must
// never count what is past: a slot that its client did not use is free for others.

const (
	// slotUs is the length of a slot: a tick of the waitlist, whose entries count slots in
	// ticks.
	slotUs        = tickUs
	calendarSlots = 1024 // some 100 s ahead
	// graceSlots is how late a return may be before its slot goes to others.
	graceSlots = 5
)

// calendar is a ring of slots.
type calendar struct {
	classes int
	units   []float32 // by slot and class
	sums    []float64 // by class
	base    int64     // the first slot that still counts
}

// newCalendar returns an empty calendar.
func newCalendar(classes int) *calendar {
	return &calendar{
		classes: classes,
		units:   make([]float32, calendarSlots*classes),
		sums:    make([]float64, classes),
		base:    -1,
	}
}

// at returns the units of a class in a slot.
func (c *calendar) at(slot int64, class int) *float32 {
	return &c.units[int(slot%calendarSlots)*c.classes+class]
}

// advance drops past slots.
func (c *calendar) advance(now int64) {
	first := now/slotUs - graceSlots
	if c.base < 0 || first-c.base >= calendarSlots {
		clear(c.units)
		clear(c.sums)
		c.base = max(c.base, first)
		return
	}
	for ; c.base < first; c.base++ {
		for class := range c.classes {
			units := c.at(c.base, class)
			c.sums[class] = max(0, c.sums[class]-float64(*units))
			*units = 0
		}
	}
}

// reserve reserves units of a class in the first slot from a time on that has capacity
// left at a release rate, and returns the slot. If all slots are full it is the last one:
// its client will be rejected again.
func (c *calendar) reserve(now, from int64, class int, units, rate float64) int64 {
	first := max(from, now)/slotUs + 1
	last := c.base + calendarSlots - 1
	slot := min(first, last)
	capacity := rate * float64(slotUs) / float64(second)
	for ; slot < last; slot++ {
		var sum float64
		for other := range c.classes {
			sum += float64(*c.at(slot, other))
		}
		if sum == 0 || sum+units <= capacity {
			break
		}
	}
	c.add(slot, class, units)
	return slot
}

// add reserves units in a slot, full or not.
func (c *calendar) add(slot int64, class int, units float64) {
	*c.at(slot, class) += float32(units)
	c.sums[class] += units
}

// cancel frees reserved units, unless their slot is past.
func (c *calendar) cancel(class int, slot int64, units float64) {
	if class >= c.classes || slot < c.base || slot >= c.base+calendarSlots {
		return
	}
	reserved := c.at(slot, class)
	freed := min(units, float64(*reserved))
	*reserved -= float32(freed)
	c.sums[class] = max(0, c.sums[class]-freed)
}

// total returns the units of a class in all slots.
func (c *calendar) total(class int) float64 { return c.sums[class] }
