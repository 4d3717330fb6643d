package delivery

import (
	"syscall"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// This file tests the ends of tasks while the orchestrator terminates, and while none runs.

const (
	terminationTasks = 120
	// terminationEndInterval is the time between two ends of tasks. The last task ends after the process must have ended.
	terminationEndInterval = 35 * time.Millisecond
	downtime               = 300 * time.Millisecond
	// The connections of clients are reset again and again from firstResetAfter to lastResetAfter SIGTERM. A process that has
	// nothing to do may stop to listen in this time.
	firstResetAfter = 780 * time.Millisecond
	lastResetAfter  = 1100 * time.Millisecond
	resetInterval   = 15 * time.Millisecond
)

// TestEndsWhileProcessTerminatesAreReported checks that each task that ends while a process terminates is reported, by that
// process or by the next one, although connections of clients are reset. It guards against a process that stopped to listen
// and went on to take the reports of workers.
func TestEndsWhileProcessTerminatesAreReported(t *testing.T) {
	binary, err := testbed.BuildProgram(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for name, habit := range map[string]confirmationHabit{"none confirmed": confirmsNone, "half confirmed": confirmsHalf, "all confirmed": confirmsAll} {
		t.Run(name, func(t *testing.T) { t.Parallel(); runTermination(t, binary, habit) })
	}
}

func runTermination(t *testing.T, binary string, habit confirmationHabit) {
	s := newRestartScenario(t, uint64(habit)+1, usualSize)
	s.confirms = habit
	s.startWorkers()
	s.configure(binary)
	defer s.finish()
	s.start(0)
	s.group.Go(s.stayConnected)
	s.startTasks(terminationTasks)

	s.process.Signal(syscall.SIGTERM)
	signalled := time.Now()
	s.group.Go(s.endAllTasks)
	for at := firstResetAfter; at < lastResetAfter; at += resetInterval {
		time.Sleep(time.Until(signalled.Add(at)))
		s.path.ResetConnections()
	}
	<-s.process.Ended()
	if took := time.Since(signalled); took > killAfter {
		t.Errorf("the process ended %s after SIGTERM, want %s at the most", took, killAfter)
	}
	time.Sleep(downtime)
	s.start(1)
	close(s.calm)
	time.Sleep(time.Until(signalled.Add(terminationTasks * terminationEndInterval)))
	s.checkAllReported()
}

// stayConnected keeps a connection to the current process open until the scenario is done, as a client does whose tasks run.
func (s *restartScenario) stayConnected() {
	for s.sleep(5 * time.Millisecond) {
		client, received, err := s.connect()
		if err != nil {
			continue
		}
		testbed.Send(client, testbed.Line{Verb: "ECHO", Tag: testbed.RequestID(0), Opts: map[string]string{}})
		select {
		case <-received:
		case <-s.done:
		}
		testbed.CloseQuietly(client)
	}
}

// startTasks starts tasks on a connection of its own, and waits until they run.
func (s *restartScenario) startTasks(count int) {
	s.t.Helper()
	client := testbed.NewClient(s.t, s.path.Addr())
	go s.receiveAll(client, s.life)
	for i := range count {
		id := testbed.RequestID(i + 1)
		line := testbed.StartLine(id, "guide-web", "ok-"+id, int(deadline.Milliseconds()))
		line.Opts["extras"] = "cores:0.05;memory:0.1;service:00000000b4d65521"
		testbed.Send(client, line)
		s.waitStarted(i + 1)
	}
}

// waitStarted waits until the client knows of a number of tasks.
func (s *restartScenario) waitStarted(count int) {
	s.t.Helper()
	for limit := time.Now().Add(testbed.Timeout); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		started := len(s.tasks)
		s.mu.Unlock()
		if started >= count {
			return
		}
		if time.Now().After(limit) {
			s.t.Fatalf("%d of %d tasks run", started, count)
		}
	}
}

// endAllTasks ends the tasks one after the other.
func (s *restartScenario) endAllTasks() {
	for i := range terminationTasks {
		id := testbed.RequestID(i + 1)
		s.mu.Lock()
		w := s.tasks[id].worker
		s.mu.Unlock()
		s.endTask(w, id)
		if !s.sleep(terminationEndInterval) {
			return
		}
	}
}

// TestEndDuringDowntimeIsReported checks that the end of a task that ran when its orchestrator was killed reaches its client,
// although the task is over before the next process is up, so that nobody hands it over.
func TestEndDuringDowntimeIsReported(t *testing.T) {
	o := startOrchestrator(t)
	worker := o.accept()
	task := testbed.RequestID(1)
	startTask(t, testbed.NewClient(t, o.address), worker, task)
	o.End(syscall.SIGKILL)
	if _, open := worker.next(); open {
		t.Fatal("got a message of a process that was killed")
	}
	o.start()
	testbed.Send(o.accept(), testbed.CodeLine("FINISH", task, codeEnded))
	client := testbed.NewClient(t, o.address)
	testbed.Send(client, testbed.Line{Verb: "ECHO", Tag: testbed.RequestID(0), Opts: map[string]string{}})
	waitFor(t, client, "FINISH", task)
}
