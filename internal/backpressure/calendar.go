package backpressure

// This file implements the slot calendar, which counts the units that rejected clients are
// expected to request again in each slot. The units of past slots are dropped: if a client
// did not return, other clients may use the capacity that was reserved for it.

const (
	// slotUs is the duration of a slot in microseconds. It equals tickUs, because waitlist
	// entries store the distance to a slot in ticks.
	slotUs        = tickUs
	calendarSlots = 1024 // number of slots, about 100 s
	// graceSlots is the number of slots by which a client may return late before its
	// reserved units become available to other clients.
	graceSlots = 5
)

// calendar is a ring buffer of slots with the units reserved in each.
type calendar struct {
	classes int
	units   []float32 // reserved units, by slot and class
	sums    []float64 // reserved units in all slots, by class
	base    int64     // number of the first slot that is still counted, -1 before the first advance
}

// newCalendar returns an empty calendar for a number of classes.
func newCalendar(classes int) *calendar {
	return &calendar{
		classes: classes,
		units:   make([]float32, calendarSlots*classes),
		sums:    make([]float64, classes),
		base:    -1,
	}
}

// at returns a pointer to the reserved units of a class in a slot.
func (c *calendar) at(slot int64, class int) *float32 {
	return &c.units[int(slot%calendarSlots)*c.classes+class]
}

// advance drops the slots that ended at least graceSlots slots before now.
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

// reserve reserves units of a class and returns their slot. It uses the first slot that begins after both now and
// from and that has room for the units. An empty slot has room for any number of units. Any other slot has room if
// the reserved and the new units together do not exceed its capacity. The capacity of a slot is the number of units
// that become free during the slot if rate units become free per second. If the calendar has no such slot, reserve
// uses its last slot, and the client is likely to be rejected again.
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

// add reserves units in a slot, even if the slot is full.
func (c *calendar) add(slot int64, class int, units float64) {
	*c.at(slot, class) += float32(units)
	c.sums[class] += units
}

// cancel frees units of a class in a slot, at most as many as are reserved there. It does
// nothing if the calendar does not contain the slot or the class.
func (c *calendar) cancel(class int, slot int64, units float64) {
	if class >= c.classes || slot < c.base || slot >= c.base+calendarSlots {
		return
	}
	reserved := c.at(slot, class)
	freed := min(units, float64(*reserved))
	*reserved -= float32(freed)
	c.sums[class] = max(0, c.sums[class]-freed)
}

// total returns the reserved units of a class in all slots.
func (c *calendar) total(class int) float64 { return c.sums[class] }
