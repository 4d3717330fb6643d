package placement

// This file owns the set of workers that are reserved for pending tasks during a scheduling pass.
// The scheduling pass selects the workers and the tasks.

// reservationFactor is a ratio of priorities. If the priority of a pending task is more than
// reservationFactor times the priority of another task, the other task is not offered to the worker that
// is reserved for the pending task.
const reservationFactor = 1.5

// reservations holds the workers that are reserved for pending tasks.
type reservations struct {
	index      *workerIndex
	priorities map[*workerInfo]float64 // priority of the pending task, by reserved worker
	workers    []*workerInfo           // in the order of their reservation
}

func newReservations(index *workerIndex) *reservations {
	return &reservations{index: index, priorities: map[*workerInfo]float64{}}
}

// reserve reserves a worker for a pending task of the given priority, until clear is called.
func (r *reservations) reserve(worker *workerInfo, priority float64) {
	r.priorities[worker] = priority
	r.workers = append(r.workers, worker)
	r.index.reserve(worker)
}

// clear ends all reservations.
func (r *reservations) clear() {
	for _, worker := range r.workers {
		r.index.release(worker)
	}
	r.workers = r.workers[:0]
	clear(r.priorities)
}

// count returns the number of reserved workers.
func (r *reservations) count() int { return len(r.priorities) }

// contains reports whether a worker is reserved.
func (r *reservations) contains(worker *workerInfo) bool {
	_, reserved := r.priorities[worker]
	return reserved
}

// permits reports whether the reservations permit a worker to get a task.
func (r *reservations) permits(worker *workerInfo, task *taskInfo) bool {
	return len(r.priorities) == 0 || task.priority*reservationFactor >= r.priorities[worker]
}
