package placement

import "slices"

// This file owns which programs are resident on which workers. It must never decide anything.

// maxIdlePrograms is of how many programs, after their last task, a worker is taken to keep
// the code: as many as workers keep at least.
const maxIdlePrograms = 4

// residents holds the resident programs of all workers.
type residents struct {
	workers map[uint64][]*workerInfo // by program, in no order
	// version counts the changes of resident programs, and of the domains of workers.
	version int64
}

func newResidents() *residents { return &residents{workers: map[uint64][]*workerInfo{}} }

// domainsChanged notes that a worker may be in other domains than before.
func (r *residents) domainsChanged() { r.version++ }

// add notes an attempt or task more of a program on a worker.
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

// end notes that an attempt or task of a program ended on a worker. Of the programs without
// any, the ones that ended last stay resident.
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

// removeIdle forgets the programs of a worker that have no attempt or task.
func (r *residents) removeIdle(worker *workerInfo) {
	for program, resident := range worker.residentPrograms {
		if resident.active == 0 {
			r.remove(worker, program)
		}
	}
}

// removeAll forgets all programs of a worker.
func (r *residents) removeAll(worker *workerInfo) {
	for program := range worker.residentPrograms {
		r.remove(worker, program)
	}
}

// remove forgets a program on a worker. The last of the program's workers takes its place.
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
