package backpressure

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// This file measures the lateness of responses to requests whose timeouts expire at the same moment. Clients
// send many requests at once to an orchestrator with a single worker, and each request asks for the worker's whole
// capacity. When the common timeout expires, the orchestrator must reject all requests that started no task.

// flood is a set of requests that are sent at the same moment, and the measured responses.
type flood struct {
	timeout time.Duration // timeout of each request

	mu        sync.Mutex
	lateBy    []time.Duration // lateness of the responses that came after the timeout
	responses int             // number of received messages, at most the number of requests
}

// runFlood sends n requests at the same moment, spread evenly over connections.
func runFlood(t *testing.T, operatorsFile string, n, connections int, timeout time.Duration) *flood {
	t.Helper()
	r := newRig(t, rigOptions{workers: 1, orchestrators: 1, operatorsFile: operatorsFile, seed: 1, maxRetryAfter: 3 * time.Second})
	r.orchestrators[0].start()
	f := &flood{timeout: timeout}
	var clients sync.WaitGroup
	begin := make(chan struct{})
	for first := range connections {
		client := testbed.NewClient(t, r.orchestrators[0].address)
		var requests bytes.Buffer
		count := 0
		for i := first; i < n; i += connections {
			requests.Write(f.request(t, i))
			count++
		}
		clients.Go(func() {
			<-begin
			f.send(t, client, requests.Bytes(), count)
		})
	}
	close(begin)
	clients.Wait()
	r.orchestrators[0].End(syscall.SIGKILL)
	return f
}

// request returns the encoded nth request. It requests all cores and memory of the worker. The emulated worker reads
// the task from the blob, where cores, memory, start time and run time are 0, so an accepted task completes at once.
func (f *flood) request(t *testing.T, n int) []byte {
	t.Helper()
	blob := testbed.Task{Class: "guide-web"}.Describe()
	text, err := json.Marshal(testbed.Line{Verb: "START", Tag: testbed.RequestID(n + 1), Blob: &blob, Opts: map[string]string{
		"class": "guide-web", "key": fmt.Sprintf("%016x", n), "left": strconv.FormatInt(f.timeout.Milliseconds(), 10),
		"extras": "cores:28;memory:60;service:1"}})
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

// send writes requests in one call. It then receives messages until it has received count messages, or until 3 s
// after the requests' timeout.
func (f *flood) send(t *testing.T, client *testbed.Client, requests []byte, count int) {
	sentAt := time.Now()
	if _, err := client.Write(requests); err != nil {
		t.Error(err)
		return
	}
	for expired := time.After(f.timeout + 3*time.Second); count > 0; count-- {
		select {
		case <-client.Lines:
			f.receive(time.Since(sentAt))
		case <-expired:
			return
		}
	}
}

// receive counts a message. elapsed is the time from the sending of its request to its arrival.
func (f *flood) receive(elapsed time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.responses++
	if late := elapsed - f.timeout; late > 0 {
		f.lateBy = append(f.lateBy, late)
	}
}

// TestFlood sends 2,000 requests (flag -clients) at the same moment, three times with each operators' file, and
// prints how many responses come after the timeout of their requests.
func TestFlood(t *testing.T) {
	if flag.Lookup("test.run").Value.String() == "" {
		t.Skip("measurement: runs only if selected with -run")
	}
	for _, name := range []string{"before", "after"} {
		for range 3 {
			f := runFlood(t, "testdata/"+name+".conf", *clientsFlag, 100, 2*time.Second)
			var maxLate time.Duration
			for _, late := range f.lateBy {
				maxLate = max(maxLate, late)
			}
			fmt.Printf("flood: advice=%s answers=%d late=%d most=%s\n", name, f.responses, len(f.lateBy), maxLate)
		}
	}
}
