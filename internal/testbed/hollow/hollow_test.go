package hollow

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"ravenhitch/internal/shard"
	"ravenhitch/internal/testbed"
)

// This file tests hollow workers and the discovery that lists them as an orchestrator sees them.

// countingObserver counts what an Observer is notified of.
type countingObserver struct {
	mutex          sync.Mutex
	accepted, lost int
	ended          chan string
}

func (t *countingObserver) Accepted(_, _, _ string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.accepted++
}

func (t *countingObserver) Ended(_, requestID string, _ time.Time, lost bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if lost {
		t.lost++
	}
	t.ended <- requestID
}

func newTestFleet(t *testing.T, workers int) (*Fleet, *countingObserver) {
	t.Helper()
	observer := &countingObserver{ended: make(chan string, 100)}
	f, err := NewFleet(Options{Workers: workers, Kinds: []Kind{{Name: "small", Cores: 2, Memory: 4}}, Zones: []string{"a", "b"}, CellSize: 1}, observer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f, observer
}

func submission(requestID string, task Task) testbed.Line {
	line := testbed.StartLine(requestID, "batch", "key-"+requestID, 1000)
	description := task.Describe()
	line.Blob = &description
	return line
}

func TestWorkerAnswers(t *testing.T) {
	f, observer := newTestFleet(t, 1)
	c := testbed.NewClient(t, f.Workers[0].address)
	first, second, third := RequestID(0, 1), RequestID(0, 2), RequestID(0, 3)
	testbed.Send(c, submission(first, Task{Cores: 2, Memory: 1, RunTime: time.Hour}))
	if got := testbed.Wait(t, "the answer", c.Lines); got.Verb != "STARTED" || got.Tag != first {
		t.Errorf("expected the first task to run, got %+v", got)
	}
	testbed.Send(c, submission(second, Task{Cores: 1, Memory: 1, RunTime: time.Hour}))
	if got := testbed.Wait(t, "the rejection", c.Lines); got.Cause() != codeRejected || got.Opts["note"] != "cpu_full" {
		t.Errorf("expected the second task to be rejected for want of cores, got %+v", got)
	}
	testbed.Send(c, testbed.FinishLine("FINISH", first, codeEnded))
	if got := testbed.Wait(t, "the release", c.Lines); got.Cause() != codeCancelled || got.Tag != first {
		t.Errorf("expected the first task to be cancelled, got %+v", got)
	}
	testbed.Send(c, submission(third, Task{Cores: 1, Memory: 4, RunTime: time.Millisecond}))
	testbed.Wait(t, "the answer", c.Lines)
	if got := testbed.Wait(t, "the end", c.Lines); got.Cause() != codeEnded || got.Tag != third {
		t.Errorf("expected the third task to come to its end, got %+v", got)
	}
	testbed.Send(c, testbed.FinishLine("ECHO", third, 0))
	if got := testbed.Wait(t, "the pong", c.Lines); got.Verb != "ECHOED" || got.Cause() != 1 {
		t.Errorf("expected the answer to a ping, got %+v", got)
	}
	if observer.accepted != 2 || f.Rejections() != 1 || f.Running() != 0 {
		t.Errorf("expected 2 starts, 1 rejection and no task left, got %d, %d and %d", observer.accepted, f.Rejections(), f.Running())
	}
}

func TestCompletionGoesToItsOrchestrator(t *testing.T) {
	f, _ := newTestFleet(t, 1)
	w := f.Workers[0]
	other, mine := testbed.NewClient(t, w.address), testbed.NewClient(t, w.address)
	testbed.Send(other, submission(RequestID(0, 1), Task{Cores: 1, Memory: 1, RunTime: time.Hour}))
	testbed.Wait(t, "the other's answer", other.Lines)
	testbed.Send(mine, submission(RequestID(1, 1), Task{Cores: 1, Memory: 1, RunTime: time.Hour}))
	testbed.Wait(t, "the answer", mine.Lines)
	adopted := RequestID(1, 2)
	if !w.AddRunning(adopted, "adopted", Task{RunTime: time.Millisecond}) {
		t.Fatal("expected free capacity for a task that ran before")
	}
	f.StartRunTimes()
	if got := testbed.Wait(t, "the end", mine.Lines); got.Tag != adopted || got.Cause() != codeEnded {
		t.Errorf("expected the end of %s, got %+v", adopted, got)
	}
	late := testbed.NewClient(t, w.address)
	if got := testbed.Wait(t, "the end on the next connection", late.Lines); got.Tag != adopted {
		t.Errorf("expected the end of %s, got %+v", adopted, got)
	}
	testbed.Send(other, testbed.FinishLine("ECHO", RequestID(0, 9), 0))
	if got := testbed.Wait(t, "the other's pong", other.Lines); got.Verb != "ECHOED" {
		t.Errorf("expected nothing but a pong at the other orchestrator, got %+v", got)
	}
}

func TestWorkerCrashesAndRestarts(t *testing.T) {
	f, observer := newTestFleet(t, 1)
	w := f.Workers[0]
	c := testbed.NewClient(t, w.address)
	testbed.Send(c, submission(RequestID(0, 1), Task{Cores: 1, Memory: 1, RunTime: time.Hour}))
	testbed.Wait(t, "the answer", c.Lines)
	w.Stop(Crash)
	if requestID := testbed.Wait(t, "the task's loss", observer.ended); requestID != RequestID(0, 1) || observer.lost != 1 {
		t.Errorf("expected the loss of the task, got %s, %d lost", requestID, observer.lost)
	}
	if _, open := <-c.Lines; open {
		t.Error("expected the connection to end without a message")
	}
	if again, err := net.Dial("tcp", w.address); err == nil {
		testbed.CloseQuietly(again)
		t.Error("expected a connection to be refused")
	}
	if err := w.Restart(); err != nil {
		t.Fatal(err)
	}
	c = testbed.NewClient(t, w.address)
	testbed.Send(c, submission(RequestID(0, 2), Task{Cores: 2, Memory: 4, RunTime: time.Hour}))
	if got := testbed.Wait(t, "the answer", c.Lines); got.Verb != "STARTED" {
		t.Errorf("expected all capacity to be free, got %+v", got)
	}
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	f, _ := newTestFleet(t, 1)
	w := f.Workers[0]
	c := testbed.NewClient(t, w.address)
	testbed.Send(c, testbed.FinishLine("ECHO", RequestID(0, 1), 0))
	testbed.Wait(t, "the pong", c.Lines)
	beforePing := time.Now()
	w.closeUnused(beforePing.Add(-time.Hour))
	testbed.Send(c, testbed.FinishLine("ECHO", RequestID(0, 2), 0))
	testbed.Wait(t, "the pong on a connection that is in use", c.Lines)
	w.closeUnused(time.Now())
	if line, open := <-c.Lines; open {
		t.Errorf("expected the connection to be closed, got %+v", line)
	}
}

// polled is the answer to a poll.
type polled struct {
	Cursor int `json:"cursor"`
	Cmds   []struct {
		Cursor int `json:"cursor"`
		Nodes  struct {
			Complete bool `json:"complete"`
			Members  []struct {
				ID    string     `json:"id"`
				Phase string     `json:"phase"`
				Spare [2]float64 `json:"spare"`
			} `json:"members"`
		} `json:"nodes"`
	} `json:"cmds"`
}

func parsePolled(t *testing.T, text []byte) (l polled) {
	t.Helper()
	if err := json.Unmarshal(text, &l); err != nil {
		t.Fatal(err)
	}
	return l
}

func pollAfter(t *testing.T, u *Subscription, resume int) polled {
	return pollWith(t, u, resume, "&block=5000")
}

// pollWith polls with further parameters.
func pollWith(t *testing.T, u *Subscription, resume int, parameters string) polled {
	t.Helper()
	answer, err := http.Get("http://" + u.Address() + "/cmd/next?resume=" + strconv.Itoa(resume) + parameters)
	if err != nil {
		t.Fatal(err)
	}
	defer testbed.CloseQuietly(answer.Body)
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return parsePolled(t, text)
}

// newTestDiscovery makes a discovery that publishes when the test says so, and a subscription to it.
func newTestDiscovery(t *testing.T, f *Fleet) (*Discovery, *Subscription) {
	t.Helper()
	d := NewDiscovery(f, time.Hour)
	t.Cleanup(d.Close)
	u, err := d.Subscribe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	return d, u
}

func TestDiscoveryPublishesChanges(t *testing.T) {
	f, _ := newTestFleet(t, 3)
	d, u := newTestDiscovery(t, f)
	initial := parsePolled(t, []byte(u.InitialList()))
	if initial.Cursor != 1 || !initial.Cmds[0].Nodes.Complete || len(initial.Cmds[0].Nodes.Members) != 3 {
		t.Errorf("expected a complete list of 3 as event 1, got %+v", initial)
	}
	f.Workers[1].SetPhase("removed")
	d.publishChanges()
	changes := pollAfter(t, u, 1)
	if changes.Cursor != 2 || len(changes.Cmds) != 1 || changes.Cmds[0].Nodes.Complete || changes.Cmds[0].Nodes.Members[0].Phase != "removed" {
		t.Errorf("expected event 2 with the removed worker alone, got %+v", changes)
	}
	for range maxEvents + 1 {
		f.RecordChange(0)
		d.publishChanges()
	}
	complete := pollAfter(t, u, 2)
	if len(complete.Cmds) != 1 || !complete.Cmds[0].Nodes.Complete || complete.Cursor != maxEvents+3 {
		t.Errorf("expected the complete list as event %d for whoever is too far behind, got %+v", maxEvents+3, complete)
	}
	if last := u.LastPolled(); last != 2 {
		t.Errorf("expected revision 2 as the last one polled, got %d", last)
	}
	if initial := parsePolled(t, []byte(u.InitialList())); initial.Cursor != 1 {
		t.Errorf("expected events to be numbered anew at a start, got %d", initial.Cursor)
	}
}

// ids are the workers in an answer.
func (l polled) ids() (ids string) {
	for _, event := range l.Cmds {
		for _, m := range event.Nodes.Members {
			ids += m.ID + " "
		}
	}
	return ids
}

// An orchestrator that names shards gets the free capacity of their workers alone, and the state of
// all; the capacity of zones that it does not name, and of shards that it asks for anew.
func TestDiscoveryFiltersByShard(t *testing.T) {
	f, _ := newTestFleet(t, 3)
	d, u := newTestDiscovery(t, f)
	u.InitialList()
	w := f.Workers[1]
	allButOne := shard.Set{}
	for _, other := range f.Workers {
		allButOne[other.Zone] = shard.AllBits
	}
	allButOne[w.Zone] &^= 1 << shard.Of(w.ID)
	one := shard.Set{w.Zone: 1 << shard.Of(w.ID)}
	for _, c := range []struct {
		what, parameters, ids string
		change                func()
	}{
		{"capacity, of a shard that is not named", "&shards=" + allButOne.String(), "", func() { f.RecordChange(1) }},
		{"capacity, of a shard that is named", "&shards=" + one.String(), w.ID + " ", func() { f.RecordChange(1) }},
		{"capacity, of a zone that is not named", "&shards=elsewhere:ffffffffffffffff", w.ID + " ", func() { f.RecordChange(1) }},
		{"capacity, without shards", "", w.ID + " ", func() { f.RecordChange(1) }},
		{"a state, of a shard that is not named", "&shards=" + allButOne.String(), w.ID + " ", func() { w.SetPhase("draining") }},
		{"capacity after a state", "&shards=" + allButOne.String(), w.ID + " ", func() { w.SetPhase("up"); f.RecordChange(1) }},
		{"nothing, asked anew", "&shards=" + one.String() + "&fresh=" + one.String(), w.ID + " ", func() {}},
	} {
		from := d.Revision()
		c.change()
		d.publishChanges()
		answer := pollWith(t, u, from, "&block=20"+c.parameters)
		if answer.ids() != c.ids {
			t.Errorf("%s: got %q, expected %q", c.what, answer.ids(), c.ids)
		}
		if answer.Cursor != d.Revision() {
			t.Errorf("%s: at event %d, expected %d", c.what, answer.Cursor, d.Revision())
		}
	}
	answer, err := http.Get("http://" + u.Address() + "/cmd/next?resume=1&shards=what")
	if err != nil {
		t.Fatal(err)
	}
	defer testbed.CloseQuietly(answer.Body)
	if answer.StatusCode != http.StatusBadRequest {
		t.Errorf("shards that can't be parsed: status %d", answer.StatusCode)
	}
}

// Changes of capacity alone wait for the end of a call that allows it, and the latest of each worker
// is sent; a change of state is sent at once, and with it what waits.
func TestDiscoveryDelaysCapacity(t *testing.T) {
	f, _ := newTestFleet(t, 3)
	d, _ := newTestDiscovery(t, f)
	late := poll{after: d.Revision(), delayCapacity: true}
	for range 3 {
		f.RecordChange(0)
		d.publishChanges()
	}
	if answer, last, more := d.answer(&late); answer != "" || more == nil || last != d.Revision() {
		t.Errorf("capacity alone is sent at once: %q", answer)
	}
	f.Workers[1].SetPhase("draining")
	d.publishChanges()
	answer, _, _ := d.answer(&late)
	if ids := parsePolled(t, []byte(answer)).ids(); ids != f.Workers[0].ID+" "+f.Workers[1].ID+" " {
		t.Errorf("with a state %q is sent", ids)
	}
	late.after, late.delayCapacity = d.Revision(), false
	f.RecordChange(2)
	d.publishChanges()
	if answer, _, _ = d.answer(&late); parsePolled(t, []byte(answer)).ids() != f.Workers[2].ID+" " {
		t.Errorf("without leave to delay %q is sent", answer)
	}
}
