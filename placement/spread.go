package placement

// This file owns the spread (anti-affinity) of programs: at most so many tasks of one program
// run in one domain. It must never permit one task more.

// spread counts the tasks of one program at a time.
type spread struct {
	residents *residents
	counts    spreadCounts
}

// spreadCounts is how many attempts and tasks of one program there are, by domain.
type spreadCounts struct {
	program       uint64
	version       int64 // of the residents that were counted
	counted       bool
	cells         map[int]int
	zones         map[string]int
	unknownDomain int // on workers that were never listed
}

// countsOf counts the tasks of a program by domain, once for all workers of a search.
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

// permits reports whether a worker may get a task without breaking the spread of its program.
// A task in an unknown domain counts in every one.
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
