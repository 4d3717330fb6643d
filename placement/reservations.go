package placement

// This file owns the workers that are reserved for pending tasks during a scheduling pass. It
// must never decide for whom a worker is reserved.

// reservationFactor is by how much a pending task must outrank another to keep a worker from
// it.
const reservationFactor = 1.5

// reservations are the workers that are reserved for pending tasks.
type reservations struct {
	index      *workerIndex
	priorities map[*workerInfo]float64 // of the tasks that they are reserved for
	workers    []*workerInfo           // in the order in which they were reserved
}

func newReservations(index *workerIndex) *reservations {
	return &reservations{index: index, priorities: map[*workerInfo]float64{}}
}

// reserve reserves a worker for pending tasks of a priority, until clear.
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

// count is the number of reserved workers.
func (r *reservations) count() int { return len(r.priorities) }

// contains reports whether a worker is reserved.
func (r *reservations) contains(worker *workerInfo) bool {
	_, reserved := r.priorities[worker]
	return reserved
}

// permits reports whether no reservation keeps a task from a worker.
func (r *reservations) permits(worker *workerInfo, task *taskInfo) bool {
	return len(r.priorities) == 0 || task.priority*reservationFactor >= r.priorities[worker]
}
