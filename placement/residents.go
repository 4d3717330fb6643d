package placement

import "slices"

// This file tracks which programs are resident on which workers. It must not make decisions.

// maxIdlePrograms is the maximum number of idle programs that count as resident on a worker. An
// idle program has no attempt or task. Workers keep the code of at least this many programs after
// the last task of each has ended.
const maxIdlePrograms = 4

// residents holds the resident programs of all workers.
type residents struct {
	workers map[uint64][]*workerInfo // by program, unordered
	// version is incremented on each change of the resident programs or of the domains of workers.
	version int64
}

func newResidents() *residents { return &residents{workers: map[uint64][]*workerInfo{}} }

// domainsChanged records that the cell or zone of a worker may have changed.
func (r *residents) domainsChanged() { r.version++ }

// add counts one more attempt or task of a program on a worker, which makes the program resident.
func (r *residents) add(worker *workerInfo, program uint64) {
	resident := worker.residentPrograms[program]
	if resident == nil {
		resident = &residentProgram{}
		worker.residentPrograms[program] = resident
		r.workers[program] = append(r.workers[program], worker)
	}
	resident.active++
	worker.active++
	worker.uncordonedIdle = false
	r.version++
}

// end records that an attempt or task of a program ended on a worker. If the worker then has more
// than maxIdlePrograms idle programs, the one that has been idle the longest is removed.
func (r *residents) end(worker *workerInfo, program uint64, now int64) {
	worker.active--
	resident := worker.residentPrograms[program]
	if resident == nil {
		return
	}
	r.version++
	resident.active = max(0, resident.active-1)
	resident.lastEndedAt = now
	if resident.active > 0 {
		return
	}
	if idleCount, oldest := worker.idlePrograms(program); idleCount > maxIdlePrograms {
		r.remove(worker, oldest)
	}
}

// removeIdle removes the programs without an attempt or task from a worker.
func (r *residents) removeIdle(worker *workerInfo) {
	for program, resident := range worker.residentPrograms {
		if resident.active == 0 {
			r.remove(worker, program)
		}
	}
}

// removeAll removes all programs from a worker.
func (r *residents) removeAll(worker *workerInfo) {
	for program := range worker.residentPrograms {
		r.remove(worker, program)
	}
}

// remove removes a program from a worker. In the list of the workers on which the program is resident,
// the last worker takes the place of the removed worker.
func (r *residents) remove(worker *workerInfo, program uint64) {
	delete(worker.residentPrograms, program)
	r.version++
	workers := r.workers[program]
	i := slices.Index(workers, worker)
	last := len(workers) - 1
	workers[i], workers[last] = workers[last], nil
	if last == 0 {
		delete(r.workers, program)
		return
	}
	r.workers[program] = workers[:last]
}
