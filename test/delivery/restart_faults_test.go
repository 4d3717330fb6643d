package delivery

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/syscallfault"
)

// This file owns the faults and the ends of tasks in the scenarios of TestRestarts.

// endTasks ends tasks at random until the scenario is done.
func (s *restartScenario) endTasks() {
	random := rand.New(rand.NewPCG(s.seed, 60))
	for s.sleep(6*time.Millisecond) && !s.isCalm() {
		w := s.workers[random.IntN(len(s.workers))]
		if running := s.attempts.Running(w.Name); len(running) > 0 {
			s.endTask(w, running[random.IntN(len(running))])
		}
	}
}

func (s *restartScenario) endTask(w *testbed.Worker, id string) {
	s.mu.Lock()
	if task := s.tasks[id]; task != nil && task.worker == w {
		task.endedAt = time.Now()
	}
	s.mu.Unlock()
	w.EndTask(id, codeEnded)
}

// injectFaults injects faults until the scenario is calm.
func (s *restartScenario) injectFaults() {
	random := rand.New(rand.NewPCG(s.seed, 70))
	longestCut := s.drawLongestCut()
	for s.sleep(time.Duration(random.Int64N(int64(150*time.Millisecond)))) && !s.isCalm() {
		i := random.IntN(len(s.workers))
		s.mu.Lock()
		path := s.path
		s.mu.Unlock()
		switch random.IntN(8) {
		case 0, 1:
			s.proxies[i].ResetConnections()
		case 2:
			s.workers[i].CloseConnections()
		case 3:
			s.proxies[i].Partition(s.t)
			s.sleep(time.Duration(random.Int64N(int64(longestCut))))
			s.proxies[i].Heal(s.t)
		case 4, 5:
			path.ResetConnections()
		case 6:
			path.Partition(s.t)
			s.sleep(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
			path.Heal(s.t)
		case 7:
			s.drawRestart(random, s.workers[i])
		}
	}
}

// drawLongestCut draws how long a worker is cut off at most: in one seed of three longer than the orchestrator keeps a
// connection on which an offer gets no answer.
func (s *restartScenario) drawLongestCut() time.Duration {
	if rand.New(rand.NewPCG(s.seed, 86)).IntN(3) == 0 {
		return 3 * time.Second
	}
	return 400 * time.Millisecond
}

// sendNotices makes the workers send notices about their running tasks until the scenario is done.
func (s *restartScenario) sendNotices() {
	const interval = 300 * time.Millisecond
	for s.sleep(interval) {
		for _, w := range s.workers {
			for _, id := range s.attempts.Running(w.Name) {
				w.SendTaskNotice(id)
			}
		}
	}
}

// restartWorker ends the process of a worker and lets another one take its place: after down, or at once if down is 0.
// Discovery tells the start after tellAfter, or never if that is negative.
func (s *restartScenario) restartWorker(w *testbed.Worker, down, tellAfter time.Duration) {
	running := s.attempts.Running(w.Name)
	s.t.Logf("%s ends at %s with %d tasks, for %s, told after %s, the orchestrator runs: %v", w.Name, time.Now().Format(time.RFC3339Nano),
		len(running), down, tellAfter, s.process.IsRunning())
	if down > 0 {
		w.Crash()
	} else {
		w.Replace(testbed.ResetConnection)
	}
	s.mu.Lock()
	var ended []*task
	for _, id := range running {
		if task := s.tasks[id]; task != nil && task.worker == w && task.endedAt.IsZero() {
			task.endedAt = time.Now()
			task.gone = !s.process.IsRunning()
		}
	}
	for _, task := range s.tasks {
		if task.worker == w && !task.endedAt.IsZero() && task.reportedAt.IsZero() {
			task.crashed = true
			ended = append(ended, task)
		}
	}
	s.mu.Unlock()
	if down > 0 {
		s.sleep(down)
		w.Recover()
	}
	since := fmt.Sprintf(`"up_since_ms":%d`, time.Now().UnixMilli())
	if tellAfter < 0 {
		return
	}
	s.group.Go(func() {
		s.sleep(tellAfter)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.discovery.Add(false, strings.Replace(w.ListEntry("up"), `"up_since_ms":0`, since, 1))
		for _, task := range ended {
			task.isListed = true
		}
	})
}

// drawRestart restarts a worker with a drawn downtime, and a drawn time until discovery tells of it.
func (s *restartScenario) drawRestart(random *rand.Rand, w *testbed.Worker) {
	down := time.Duration(0)
	if random.IntN(3) > 0 {
		down = 100*time.Millisecond + time.Duration(random.Int64N(int64(300*time.Millisecond)))
	}
	tellAfter := time.Duration(0)
	switch random.IntN(4) {
	case 0:
		const latest = 4 * time.Second
		tellAfter = time.Duration(random.Int64N(int64(latest)))
	case 1:
		tellAfter = -1
	}
	s.restartWorker(w, down, tellAfter)
}

// drawCallFaults draws whether system calls of the orchestrator fail, whether its reads and writes are short, and whether
// its system clock is stepped, each in one seed of three.
func (s *restartScenario) drawCallFaults(launcher string) {
	isDrawn := func(stream uint64) bool { return rand.New(rand.NewPCG(s.seed, stream)).IntN(3) == 0 }
	s.stepsClock = isDrawn(83)
	s.discovery.OmitDate = rand.New(rand.NewPCG(s.seed, 85)).IntN(2) == 0
	s.calls = syscallfault.NewWith(launcher, s.seed, syscallfault.Changes{Fail: isDrawn(81), Shorten: isDrawn(82),
		StepsClock: s.stepsClock, Ports: s.workerPorts()})
	if s.calls != nil {
		s.process.StartCommand = s.calls.Start
	}
}

// stepClock steps the system clock of the orchestrator until the scenario is calm. The clock also differs between the
// starts of the orchestrator.
func (s *restartScenario) stepClock() {
	random := rand.New(rand.NewPCG(s.seed, 84))
	for !s.isCalm() {
		if !s.sleep(time.Duration(random.Int64N(int64(time.Second)))) {
			return
		}
		s.calls.StepClock(syscallfault.DrawClockStep(random))
	}
}

// workerPorts returns the ports at which the orchestrator connects to the workers.
func (s *restartScenario) workerPorts() (ports []int) {
	for _, w := range s.workers {
		ports = append(ports, int(netip.MustParseAddrPort(w.Addr()).Port()))
	}
	return ports
}
