package delivery

import (
	"fmt"
	"testing"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/syscallfault"
)

// startWithFault starts an orchestrator whose system calls fail after Resume of the returned injector.
func startWithFault(t *testing.T, fault syscallfault.Fault) (*orchestrator, *syscallfault.Injector) {
	t.Helper()
	launcher, err := syscallfault.BuildLauncher(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	o, calls := newOrchestrator(t), syscallfault.New(launcher, 1, fault)
	calls.Stop()
	o.StartCommand = calls.Start
	o.start()
	return o, calls
}

// The system is out of buffers for a moment, so that nothing can be written or read. It guards against a connection that is
// closed for such an error, with a request that gets no answer.
func TestAnswerWhileSystemLacksBuffers(t *testing.T) {
	for number, name := range map[uintptr]string{unix.SYS_WRITE: "write", unix.SYS_READ: "read"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o, calls := startWithFault(t, syscallfault.Fault{Number: number, Errors: []unix.Errno{unix.ENOBUFS}, Probability: 1, Connections: true})
			worker := o.accept()
			client := testbed.NewClient(t, o.address)
			task := testbed.RequestID(1)
			calls.Resume()
			testbed.Send(client, testbed.StartLine(task, "guide-web", "k1", requestTimeoutMs))
			const failures = 3 // more than one for each connection
			waitFailedCalls(t, calls, failures)
			calls.Stop()
			worker.start(task)
			waitFor(t, client, "STARTED", task)
		})
	}
}

// pingBatch is a number of pings whose answers are less than the output that may wait for a client.
const pingBatch = 100

// A client does not read, so that output waits in the process, while the system is out of memory to watch the connection for
// its room. It guards against output that is never sent.
func TestOutputWhileConnectionCannotBeWatched(t *testing.T) {
	o, calls := startWithFault(t, syscallfault.Fault{Number: unix.SYS_EPOLL_CTL, Errors: []unix.Errno{unix.ENOMEM}, Probability: 1,
		Operation: unix.EPOLL_CTL_MOD})
	conn, other := testbed.NewClient(t, o.address), testbed.NewClient(t, o.address)
	pingOn := func(client *testbed.Client, number int) {
		testbed.Send(client, testbed.Line{Verb: "ECHO", Tag: fmt.Sprintf("%016x", number), Opts: map[string]string{}})
	}
	calls.Resume()
	sent := 0
	for calls.Count() == 0 { // the client's channel of messages fills first, then the buffers of the kernel
		for range pingBatch {
			pingOn(conn, sent)
			sent++
		}
		pingOn(other, sent) // its answer shows that the process has read the batch
		testbed.Wait(t, "the answer to a ping on another connection", other.Lines)
	}
	calls.Stop()
	for i := range sent {
		if line := testbed.Wait(t, "the answer to a ping", conn.Lines); line.Tag != fmt.Sprintf("%016x", i) {
			t.Fatalf("got %v, want the answer to ping %d", line, i)
		}
	}
}
