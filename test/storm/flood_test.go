package storm

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// This file measures answers that fall due together: nothing has room, so all owners
// are owed their refusal in time.

// flood sends n set-ups in the same moment over so many connections, and returns how
// late the answers came, of those that did, and how many did not.
func flood(t *testing.T, conf string, n, connections int, left time.Duration) (late []time.Duration, answers int) {
	bin, err := build()
	if err != nil {
		t.Fatal(err)
	}
	path, err := filepath.Abs(conf)
	if err != nil {
		t.Fatal(err)
	}
	r := newRig(t, bin, path, fleet{nodes: 1, orchestrators: 1, lag: 1500 * ms}, 1, 3*time.Second)
	r.orch[0].start()
	var mu sync.Mutex
	var done sync.WaitGroup
	begin := make(chan struct{})
	for k := range connections {
		c := testbed.NewClient(t, r.orch[0].addr)
		var text bytes.Buffer
		mine := 0
		for i := k; i < n; i += connections {
			blob := testbed.Task{Class: "guide-web"}.Describe()
			b, err := json.Marshal(testbed.Line{Verb: "START", Tag: testbed.RequestID(i + 1), Blob: &blob, Opts: map[string]string{
				"class": "guide-web", "key": fmt.Sprintf("%016x", i), "left": strconv.FormatInt(left.Milliseconds(), 10),
				"extras": "cores:28;memory:60;service:1"}})
			if err != nil {
				t.Fatal(err)
			}
			text.Write(append(b, '\n'))
			mine++
		}
		done.Add(1)
		go func() {
			defer done.Done()
			<-begin
			sent := time.Now()
			c.Write(text.Bytes())
			for limit := time.After(left + 3*time.Second); mine > 0; mine-- {
				select {
				case <-c.Lines:
					over := time.Since(sent) - left
					mu.Lock()
					answers++
					if over > 0 {
						late = append(late, over)
					}
					mu.Unlock()
				case <-limit:
					return
				}
			}
		}()
	}
	close(begin)
	done.Wait()
	r.orch[0].End(9)
	return late, answers
}

// TestFlood prints how many of 2,000 answers that fall due together come too late.
func TestFlood(t *testing.T) {
	if flag.Lookup("test.run").Value.String() == "" {
		t.Skip("a measurement; run it by its name")
	}
	for _, conf := range []string{"before", "after"} {
		for range 3 {
			late, answers := flood(t, "testdata/"+conf+".conf", *clientsFlag, 100, 2*time.Second)
			var most time.Duration
			for _, d := range late {
				most = max(most, d)
			}
			fmt.Printf("flood: advice=%s answers=%d late=%d most=%s\n", conf, answers, len(late), most)
		}
	}
}
