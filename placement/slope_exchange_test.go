package placement

// This file owns the exchange: a request with its responses, and the end of another task.

// exchange is a request with its answer, and the end of another task: the events, and
// what came of them.
type exchange struct {
	task  *siteTask
	ended *siteTask
	place *Place
}

// prepare draws the next request and the task that ends meanwhile.
func (s *site) prepare() *exchange { return s.prepareTask(s.nextTask()) }

func (s *site) prepareTask(task Task) *exchange {
	e := &exchange{task: &siteTask{Task: task}}
	if len(s.schedulerTasks) > 0 {
		e.ended = s.takeRandom(&s.schedulerTasks)
	}
	return e
}

// run hands the events of an exchange to the scheduler. Only this is measured.
func (s *site) run(e *exchange) {
	s.place(e)
	if e.place != nil {
		s.now += siteRTT
		s.handle(Accepted{RequestID: e.task.RequestID, Worker: e.place.Worker, RTTUs: siteRTT})
	}
	if e.ended != nil {
		s.handle(AttemptEnded{RequestID: e.ended.RequestID, Worker: e.ended.worker.entry.Worker, Outcome: Completed, Final: true})
	}
}

// place submits the task of an exchange, and answers probes.
func (s *site) place(e *exchange) {
	actions := s.handle(Request{e.task.Task})
	for range maxProbesPerTask {
		var probe *Probe
		for _, a := range actions {
			switch a := a.(type) {
			case Place:
				e.place = &a
				return
			case Probe:
				probe = &a
			}
		}
		if probe == nil {
			return
		}
		s.now += siteRTT
		worker := s.byName[probe.Worker]
		actions = s.handle(ProbeResult{probe.Worker, Completed, siteRTT, Load{worker.cores - worker.requestedCores, worker.memory - worker.requestedMemory, worker.requestedCores / worker.cores, 0}})
	}
	for _, a := range actions {
		if a, ok := a.(Place); ok {
			e.place = &a
		}
	}
}

// finish makes the site follow an exchange.
func (s *site) finish(e *exchange) {
	if e.ended != nil {
		s.end(e.ended)
	}
	if e.place == nil {
		s.unplaced++
		s.handle(ClientCancelled{e.task.RequestID})
		return
	}
	s.start(e.task, s.byName[e.place.Worker])
	s.schedulerTasks = append(s.schedulerTasks, e.task)
	s.reports = append(s.reports, siteReport{s.now + siteStartTime, e.task})
}
