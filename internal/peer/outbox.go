package peer

// This file owns what waits to be sent to one member, of one kind: bounded in bytes, first
// come first served. It is pure. It must never lose a record without a count.

// outbox is a queue of records.
type outbox struct {
	most  int // bytes
	queue [][]byte
	bytes int
	full  bool // somebody was told to wait
}

// push takes a record; false where there is no room for it.
func (o *outbox) push(b []byte) bool {
	if o.bytes+len(b) > o.most {
		o.full = true
		return false
	}
	o.queue = append(o.queue, b)
	o.bytes += len(b)
	return true
}

// pop gives the next record, nil where none waits. room says that whoever was told to wait
// may try again: half of the room is free.
func (o *outbox) pop() (b []byte, room bool) {
	if len(o.queue) == 0 {
		return nil, false
	}
	b, o.queue[0] = o.queue[0], nil
	o.queue = o.queue[1:]
	o.bytes -= len(b)
	if room = o.full && o.bytes <= o.most/2; room {
		o.full = false
	}
	return b, room
}

// clear throws away all that waits, and says how many records that were.
func (o *outbox) clear() int {
	n := len(o.queue)
	o.queue, o.bytes, o.full = nil, 0, false
	return n
}
