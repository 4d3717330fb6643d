package peer

// This file owns the queue of records that wait to be sent on one stream. It does no I/O. A record must leave the
// queue only if pop returns it or clear counts it.

// recordQueue is a first-in, first-out queue of records with a limit on their total size.
type recordQueue struct {
	limit    int // maximum total size of the records, in bytes
	records  [][]byte
	bytes    int  // total size of the records
	rejected bool // true after push has rejected a record, until pop returns writable = true or clear is called
}

// push appends a record. It returns false if the record does not fit into the queue.
func (q *recordQueue) push(record []byte) bool {
	if q.bytes+len(record) > q.limit {
		q.rejected = true
		return false
	}
	q.records = append(q.records, record)
	q.bytes += len(record)
	return true
}

// pop removes and returns the first record, or nil if the queue is empty. After push has rejected a record, pop
// returns writable = true once, as soon as at most half of the limit is used.
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

// clear removes all records and returns their number.
func (q *recordQueue) clear() (dropped int) {
	dropped = len(q.records)
	q.records, q.bytes, q.rejected = nil, 0, false
	return dropped
}
