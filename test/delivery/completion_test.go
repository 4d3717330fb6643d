// Package delivery checks, with real processes, that the completions of running tasks reach their clients although
// connections end at the same time.
package delivery

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/nettest"
)

const (
	codeEnded = 16 // code of a FINISH by which a client cancels a request or a worker completes a task
	// requestTimeoutMs is the timeout of requests, in milliseconds. No request reaches it.
	requestTimeoutMs = 5000
)

// orchestrator is a process of the program. Its worker is a listener of the test, unless discovery lists stand-ins.
type orchestrator struct {
	testbed.Process
	t       *testing.T
	address string
	worker  net.Listener

	directory string // holds the program, its configuration and its other files
	discovery *testbed.Discovery
}

// startOrchestrator builds and starts the program. Its list of workers holds one worker, at a listener of the test.
func startOrchestrator(t *testing.T) *orchestrator {
	t.Helper()
	o := newOrchestrator(t)
	o.start()
	return o
}

// newOrchestrator builds the program and writes its configuration.
func newOrchestrator(t *testing.T) *orchestrator {
	t.Helper()
	listener, discovery := nettest.Listen(t), testbed.NewDiscovery(t)
	discovery.Add(true, fmt.Sprintf(`{"id":"s-1","host_port":%q,"locality":"hall-a","flavor":"node-64","cell":1,"phase":"up","size":1,`+
		`"up_since_ms":0,"spare":[32,64]}`, listener.Addr()))
	o := newOrchestratorOf(t, discovery)
	o.worker = listener
	return o
}

// newOrchestratorOf builds the program and writes its configuration, with the workers that discovery lists.
func newOrchestratorOf(t *testing.T, discovery *testbed.Discovery) *orchestrator {
	t.Helper()
	directory := t.TempDir()
	binary, err := testbed.BuildProgram(directory)
	if err != nil {
		t.Fatal(err)
	}
	o := &orchestrator{t: t, directory: directory, discovery: discovery}
	path := o.configure("")
	if err := os.WriteFile(path+".conf", []byte("[log]\nlevel debug\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	o.Name, o.Bin, o.Args = "n0", binary, []string{"-conf", path + ".conf"}
	o.Env = []string{"ROUTER_CONFIG=" + path, "ROUTER_LISTEN=", "ROUTER_NAME=", "ROUTER_MGMT=", "TMPDIR=" + directory}
	t.Cleanup(func() {
		o.End(syscall.SIGKILL)
		if t.Failed() {
			for _, line := range o.Lines() {
				t.Log(line)
			}
		}
	})
	return o
}

// configure writes the configuration and returns its path. It contains the current events of discovery. mgmt is the address
// for admin calls, "" for none.
func (o *orchestrator) configure(mgmt string) (path string) {
	o.t.Helper()
	return o.configureWith(mgmt, o.discovery.Server.Listener.Addr().String())
}

// configureWith writes the configuration like configure, with another address of discovery.
func (o *orchestrator) configureWith(mgmt, channel string) (path string) {
	o.t.Helper()
	settings := testbed.Deployment{Orchestrators: 1}.Config(0, "127.0.0.1:0", mgmt, channel, 1, o.discovery)
	path = filepath.Join(o.directory, "config.json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		o.t.Fatal(err)
	}
	return path
}

// start starts the process, which may have run before, and waits until it serves.
func (o *orchestrator) start() {
	o.t.Helper()
	if err := o.Start(); err != nil {
		o.t.Fatal(err)
	}
	o.waitServing()
}

// waitServing waits until the started process serves.
func (o *orchestrator) waitServing() {
	o.t.Helper()
	address, err := o.WaitForLog("msg=serving name=n0 listen=")
	if err != nil {
		o.t.Fatal(err)
	}
	o.address = address
}

// workerConn is the worker's side of a connection.
type workerConn struct {
	t *testing.T
	net.Conn
	scanner *bufio.Scanner
}

func (o *orchestrator) accept() *workerConn {
	o.t.Helper()
	conn := nettest.Accept(o.t, o.worker)
	return &workerConn{o.t, conn, bufio.NewScanner(conn)}
}

// next returns the next message. ok is false if the connection has ended.
func (c *workerConn) next() (line testbed.Line, ok bool) {
	c.t.Helper()
	if !c.scanner.Scan() {
		return line, false
	}
	if err := json.Unmarshal(c.scanner.Bytes(), &line); err != nil {
		c.t.Fatalf("got message %q, error %v", c.scanner.Text(), err)
	}
	return line, true
}

// expect reads messages until one has the given verb and request ID.
func (c *workerConn) expect(verb, requestID string) {
	c.t.Helper()
	for {
		line, ok := c.next()
		if !ok {
			c.t.Fatalf("got the end of the connection, want %s %s", verb, requestID)
		}
		if line.Verb == verb && line.Tag == requestID {
			return
		}
	}
}

// start accepts the offer of a request.
func (c *workerConn) start(requestID string) {
	c.t.Helper()
	c.expect("START", requestID)
	blob := "held"
	testbed.Send(c, testbed.Line{Verb: "STARTED", Tag: requestID, Opts: map[string]string{}, Blob: &blob})
}

// waitFor waits for a message with the given verb and request ID that a client receives.
func waitFor(t *testing.T, client *testbed.Client, verb, requestID string) {
	t.Helper()
	for {
		if line := testbed.Wait(t, verb+" "+requestID, client.Lines); line.Verb == verb && line.Tag == requestID {
			return
		}
	}
}

// startTask makes the worker run the task of a new request.
func startTask(t *testing.T, client *testbed.Client, worker *workerConn, requestID string) {
	t.Helper()
	testbed.Send(client, testbed.StartLine(requestID, "guide-web", "k"+requestID, requestTimeoutMs))
	worker.start(requestID)
	waitFor(t, client, "STARTED", requestID)
}

// A client cancels a request whose offer is a few milliseconds old. At that moment a task of another request ends. Its
// worker reports the completion on the connection of the offer, before it notices that this connection has ended, if it
// has. The completion must arrive although the worker repeats it on no connection that is open.
func TestCompletionCrossesCancel(t *testing.T) {
	o := startOrchestrator(t)
	worker := o.accept()
	client := testbed.NewClient(t, o.address)
	task, cancelled := testbed.RequestID(1), testbed.RequestID(2)
	startTask(t, client, worker, task)

	testbed.Send(client, testbed.StartLine(cancelled, "guide-web", "k2", requestTimeoutMs))
	worker.expect("START", cancelled)
	testbed.Send(client, testbed.CodeLine("FINISH", cancelled, codeEnded))
	if _, open := worker.next(); !open {
		o.accept() // the connection was ended, and the next one is opened before the worker notices
	}
	testbed.Send(worker, testbed.CodeLine("FINISH", task, codeEnded))
	expectWithoutConnection(t, o, client, task)
}

// expectWithoutConnection expects the completion of a task, for which the worker must not need another connection.
func expectWithoutConnection(t *testing.T, o *orchestrator, client *testbed.Client, requestID string) {
	t.Helper()
	if err := o.worker.(*net.TCPListener).SetDeadline(time.Now().Add(testbed.Timeout)); err != nil {
		t.Fatal(err)
	}
	opened := make(chan struct{})
	go func() {
		if conn, err := o.worker.Accept(); err == nil {
			testbed.CloseQuietly(conn)
			close(opened)
		}
	}()
	timeout := time.After(testbed.Timeout)
	for {
		select {
		case line, ok := <-client.Lines:
			if !ok {
				t.Fatal("the completion was lost: the client's connection has ended")
			}
			if line.Verb == "FINISH" && line.Tag == requestID {
				return
			}
		case <-opened:
			t.Fatal("the completion was lost: another connection was opened for late completions")
		case <-timeout:
			t.Fatalf("the completion was not reported within %s", testbed.Timeout)
		}
	}
}
