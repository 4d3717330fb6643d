package placement

// This file defines the exchange, the main unit of work whose cost the slope tests measure.

// exchange consists of a request, the answer to its offer, and the end of another task.
type exchange struct {
	task  *siteTask // the requested task
	ended *siteTask // the other task, which ends; nil if no other task ends
	place *Place    // the offer of the requested task; nil if there is none
}

// prepare returns an exchange that requests the next task and ends a random task, which prepare
// removes from schedulerTasks. If schedulerTasks is empty, no task ends.
func (s *site) prepare() *exchange { return s.prepareTask(s.nextTask()) }

func (s *site) prepareTask(task Task) *exchange {
	e := &exchange{task: &siteTask{Task: task}}
	if len(s.schedulerTasks) > 0 {
		e.ended = s.takeRandom(&s.schedulerTasks)
	}
	return e
}

// run passes the events of an exchange to the scheduler. It is the part of an exchange that is measured.
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

// place submits the task of an exchange, answers probes, and records the offer.
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

// finish applies the effects of an exchange to the site. It cancels a request that got no offer.
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
