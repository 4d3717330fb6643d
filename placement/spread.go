package placement

// This file owns the spread (anti-affinity) of programs, which limits the number of tasks of one program
// in one domain: a worker, a cell or a zone. It must not permit a task beyond this limit.

// spread counts tasks by domain. It keeps the counts of one program at a time.
type spread struct {
	residents *residents
	counts    spreadCounts
}

// spreadCounts holds the number of attempts and tasks of one program that have not ended, by domain.
type spreadCounts struct {
	program       uint64
	version       int64 // residents.version at the time of the count
	counted       bool  // false before the first count
	cells         map[int]int
	zones         map[string]int
	unknownDomain int // attempts and tasks on workers that were never listed
}

// countsOf returns the number of attempts and tasks of a program by domain. It counts them again only if the
// previous call was for another program, or if the residents have changed since.
func (s *spread) countsOf(program uint64) *spreadCounts {
	counts := &s.counts
	if counts.counted && counts.program == program && counts.version == s.residents.version {
		return counts
	}
	if counts.cells == nil {
		counts.cells, counts.zones = map[int]int{}, map[string]int{}
	}
	clear(counts.cells)
	clear(counts.zones)
	counts.program, counts.version, counts.counted, counts.unknownDomain = program, s.residents.version, true, 0
	for _, worker := range s.residents.workers[program] {
		active := worker.residentPrograms[program].active
		if !worker.everListed {
			counts.unknownDomain += active
			continue
		}
		counts.cells[worker.Cell] += active
		counts.zones[worker.Zone] += active
	}
	return counts
}

// permits reports whether a worker may get a task within the spread limit of the task's class. A task in
// an unknown domain counts in every domain.
func (s *spread) permits(worker *workerInfo, class *Class, task *taskInfo) bool {
	if class.Spread == ScopeNone {
		return true
	}
	counts := s.countsOf(task.Program)
	count := 1 + counts.unknownDomain
	switch class.Spread {
	case ScopeWorker:
		if resident := worker.residentPrograms[task.Program]; resident != nil && worker.everListed {
			count += resident.active
		}
	case ScopeCell:
		count += counts.cells[worker.Cell]
	case ScopeZone:
		count += counts.zones[worker.Zone]
	}
	return count <= class.MaxPerDomain
}
