package peer

// This file owns the queue of records that wait to be sent to one member, of one kind: first in, first out,
// bounded in bytes. It is pure. It must never lose a record that is not counted.

// recordQueue is a queue of records.
type recordQueue struct {
	limit    int // bytes
	records  [][]byte
	bytes    int
	rejected bool // a record was rejected since there was space last
}

// push appends a record; false where it has no space.
func (q *recordQueue) push(record []byte) bool {
	if q.bytes+len(record) > q.limit {
		q.rejected = true
		return false
	}
	q.records = append(q.records, record)
	q.bytes += len(record)
	return true
}

// pop removes the first record, nil where there is none. It reports writable once after a record was rejected,
// when half of the space is free.
func (q *recordQueue) pop() (record []byte, writable bool) {
	if len(q.records) == 0 {
		return nil, false
	}
	record, q.records[0] = q.records[0], nil
	q.records = q.records[1:]
	q.bytes -= len(record)
	if writable = q.rejected && q.bytes <= q.limit/2; writable {
		q.rejected = false
	}
	return record, writable
}

// clear drops all records, and returns how many there were.
func (q *recordQueue) clear() (dropped int) {
	dropped = len(q.records)
	q.records, q.bytes, q.rejected = nil, 0, false
	return dropped
}
