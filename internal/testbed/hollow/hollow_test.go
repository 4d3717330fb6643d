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

// This file tests hollow workers and their discovery, mostly through the interfaces that orchestrators use.

// countingObserver counts the accepted and the lost tasks and queues the request ID of each ended task.
type countingObserver struct {
	mutex          sync.Mutex
	accepted, lost int
	ended          chan string
}

func (o *countingObserver) Accepted(_, _, _ string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.accepted++
}

func (o *countingObserver) Ended(_, requestID string, _ time.Time, lost bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if lost {
		o.lost++
	}
	o.ended <- requestID
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
	if got := testbed.Wait(t, "response to the first offer", c.Lines); got.Verb != "STARTED" || got.Tag != first {
		t.Errorf("first offer: got %+v, want STARTED of %s", got, first)
	}
	testbed.Send(c, submission(second, Task{Cores: 1, Memory: 1, RunTime: time.Hour}))
	if got := testbed.Wait(t, "response to the second offer", c.Lines); got.Code() != codeRejected || got.Opts["note"] != "cpu_full" {
		t.Errorf("second offer: got %+v, want code %d with the note cpu_full", got, codeRejected)
	}
	testbed.Send(c, testbed.CodeLine("FINISH", first, codeEnded))
	if got := testbed.Wait(t, "cancel confirmation", c.Lines); got.Code() != codeCancelled || got.Tag != first {
		t.Errorf("release of the first task: got %+v, want code %d of %s", got, codeCancelled, first)
	}
	testbed.Send(c, submission(third, Task{Cores: 1, Memory: 4, RunTime: time.Millisecond}))
	testbed.Wait(t, "response to the third offer", c.Lines)
	if got := testbed.Wait(t, "completion of the third task", c.Lines); got.Code() != codeEnded || got.Tag != third {
		t.Errorf("end of the third task: got %+v, want code %d of %s", got, codeEnded, third)
	}
	testbed.Send(c, testbed.CodeLine("ECHO", third, 0))
	if got := testbed.Wait(t, "response to the ping", c.Lines); got.Verb != "ECHOED" || got.Code() != 1 {
		t.Errorf("ping: got %+v, want ECHOED with code 1", got)
	}
	if observer.accepted != 2 || f.Rejections() != 1 || f.Running() != 0 {
		t.Errorf("got %d accepted, %d rejected and %d running tasks, want 2, 1 and 0", observer.accepted, f.Rejections(), f.Running())
	}
}

func TestCompletionGoesToItsOrchestrator(t *testing.T) {
	f, _ := newTestFleet(t, 1)
	w := f.Workers[0]
	other, mine := testbed.NewClient(t, w.address), testbed.NewClient(t, w.address)
	testbed.Send(other, submission(RequestID(0, 1), Task{Cores: 1, Memory: 1, RunTime: time.Hour}))
	testbed.Wait(t, "response to the other orchestrator's offer", other.Lines)
	testbed.Send(mine, submission(RequestID(1, 1), Task{Cores: 1, Memory: 1, RunTime: time.Hour}))
	testbed.Wait(t, "response to the offer", mine.Lines)
	adopted := RequestID(1, 2)
	if !w.AddRunning(adopted, "adopted", Task{RunTime: time.Millisecond}) {
		t.Fatal("AddRunning returned false, want free capacity for the adopted task")
	}
	f.StartRunTimes()
	if got := testbed.Wait(t, "completion of the adopted task", mine.Lines); got.Tag != adopted || got.Code() != codeEnded {
		t.Errorf("open connection of its orchestrator: got %+v, want the completion of %s", got, adopted)
	}
	late := testbed.NewClient(t, w.address)
	if got := testbed.Wait(t, "completion on a new connection", late.Lines); got.Tag != adopted {
		t.Errorf("new connection: got %+v, want the completion of %s", got, adopted)
	}
	testbed.Send(other, testbed.CodeLine("ECHO", RequestID(0, 9), 0))
	if got := testbed.Wait(t, "response to the other orchestrator's ping", other.Lines); got.Verb != "ECHOED" {
		t.Errorf("other orchestrator: got %+v, want only the ECHOED of its ping", got)
	}
}

func TestWorkerCrashesAndRestarts(t *testing.T) {
	f, observer := newTestFleet(t, 1)
	w := f.Workers[0]
	c := testbed.NewClient(t, w.address)
	testbed.Send(c, submission(RequestID(0, 1), Task{Cores: 1, Memory: 1, RunTime: time.Hour}))
	testbed.Wait(t, "response to the first offer", c.Lines)
	w.Stop(Crash)
	if requestID := testbed.Wait(t, "end of the lost task", observer.ended); requestID != RequestID(0, 1) || observer.lost != 1 {
		t.Errorf("after the crash: got the end of %s and %d lost tasks, want %s and 1", requestID, observer.lost, RequestID(0, 1))
	}
	if _, open := <-c.Lines; open {
		t.Error("got a message on the connection after the crash, want its end")
	}
	if again, err := net.Dial("tcp", w.address); err == nil {
		testbed.CloseQuietly(again)
		t.Error("the crashed worker accepted a connection, want it refused")
	}
	if err := w.Restart(); err != nil {
		t.Fatal(err)
	}
	c = testbed.NewClient(t, w.address)
	testbed.Send(c, submission(RequestID(0, 2), Task{Cores: 2, Memory: 4, RunTime: time.Hour}))
	if got := testbed.Wait(t, "response to an offer of the full capacity", c.Lines); got.Verb != "STARTED" {
		t.Errorf("offer of the full capacity after the restart: got %+v, want STARTED", got)
	}
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	f, _ := newTestFleet(t, 1)
	w := f.Workers[0]
	c := testbed.NewClient(t, w.address)
	testbed.Send(c, testbed.CodeLine("ECHO", RequestID(0, 1), 0))
	testbed.Wait(t, "response to the first ping", c.Lines)
	beforePing := time.Now()
	w.closeIdle(beforePing.Add(-time.Hour))
	testbed.Send(c, testbed.CodeLine("ECHO", RequestID(0, 2), 0))
	testbed.Wait(t, "response to a ping on a connection that is not idle", c.Lines)
	w.closeIdle(time.Now())
	if line, open := <-c.Lines; open {
		t.Errorf("idle connection: got the message %+v, want it closed", line)
	}
}

// pollAnswer is the parsed answer to a poll.
type pollAnswer struct {
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

func parsePollAnswer(t *testing.T, text []byte) (l pollAnswer) {
	t.Helper()
	if err := json.Unmarshal(text, &l); err != nil {
		t.Fatal(err)
	}
	return l
}

func pollAfter(t *testing.T, subscription *Subscription, resume int) pollAnswer {
	return pollWith(t, subscription, resume, "&block=5000")
}

// pollWith polls with additional query parameters.
func pollWith(t *testing.T, subscription *Subscription, resume int, parameters string) pollAnswer {
	t.Helper()
	answer, err := http.Get("http://" + subscription.Address() + "/cmd/next?resume=" + strconv.Itoa(resume) + parameters)
	if err != nil {
		t.Fatal(err)
	}
	defer testbed.CloseQuietly(answer.Body)
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return parsePollAnswer(t, text)
}

// newTestDiscovery returns a Discovery that doesn't publish by itself and a subscription to it. A test calls
// publishChanges to publish changes.
func newTestDiscovery(t *testing.T, f *Fleet) (*Discovery, *Subscription) {
	t.Helper()
	d := NewDiscovery(f, time.Hour)
	t.Cleanup(d.Close)
	subscription, err := d.Subscribe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(subscription.Close)
	return d, subscription
}

func TestDiscoveryPublishesChanges(t *testing.T) {
	f, _ := newTestFleet(t, 3)
	d, subscription := newTestDiscovery(t, f)
	initial := parsePollAnswer(t, []byte(subscription.InitialList()))
	if initial.Cursor != 1 || !initial.Cmds[0].Nodes.Complete || len(initial.Cmds[0].Nodes.Members) != 3 {
		t.Errorf("initial list: got %+v, want a complete list of 3 workers as event 1", initial)
	}
	f.Workers[1].SetPhase("removed")
	d.publishChanges()
	changes := pollAfter(t, subscription, 1)
	if changes.Cursor != 2 || len(changes.Cmds) != 1 || changes.Cmds[0].Nodes.Complete || changes.Cmds[0].Nodes.Members[0].Phase != "removed" {
		t.Errorf("after a change: got %+v, want event 2 with only the removed worker", changes)
	}
	for range maxEvents + 1 {
		f.RecordChange(0)
		d.publishChanges()
	}
	complete := pollAfter(t, subscription, 2)
	if len(complete.Cmds) != 1 || !complete.Cmds[0].Nodes.Complete || complete.Cursor != maxEvents+3 {
		t.Errorf("orchestrator more than %d events behind: got %+v, want the complete list as event %d", maxEvents, complete, maxEvents+3)
	}
	if last := subscription.LastAppliedRevision(); last != 2 {
		t.Errorf("LastAppliedRevision: got %d, want 2", last)
	}
	if initial := parsePollAnswer(t, []byte(subscription.InitialList())); initial.Cursor != 1 {
		t.Errorf("initial list of the second start: got event %d, want 1", initial.Cursor)
	}
}

// ids returns the IDs of the workers in an answer, each followed by a space.
func (l pollAnswer) ids() (ids string) {
	for _, event := range l.Cmds {
		for _, m := range event.Nodes.Members {
			ids += m.ID + " "
		}
	}
	return ids
}

// A poll that names shards gets three kinds of entries: changes of free capacity of workers in these shards or in
// zones that the poll does not name, the current entries of shards that it requests with the parameter fresh, and all
// changes of state.
func TestDiscoveryFiltersByShard(t *testing.T) {
	f, _ := newTestFleet(t, 3)
	d, subscription := newTestDiscovery(t, f)
	subscription.InitialList()
	w := f.Workers[1]
	allButOne := shard.Set{}
	for _, other := range f.Workers {
		allButOne[other.Zone] = shard.AllBits
	}
	allButOne[w.Zone] &^= 1 << shard.Of(w.ID)
	one := shard.Set{w.Zone: 1 << shard.Of(w.ID)}
	for _, c := range []struct {
		name, parameters, ids string
		change                func()
	}{
		{"capacity in a shard that is not named", "&shards=" + allButOne.String(), "", func() { f.RecordChange(1) }},
		{"capacity in a named shard", "&shards=" + one.String(), w.ID + " ", func() { f.RecordChange(1) }},
		{"capacity in a zone that is not named", "&shards=elsewhere:ffffffffffffffff", w.ID + " ", func() { f.RecordChange(1) }},
		{"capacity, without shards", "", w.ID + " ", func() { f.RecordChange(1) }},
		{"state in a shard that is not named", "&shards=" + allButOne.String(), w.ID + " ", func() { w.SetPhase("draining") }},
		{"state, then capacity, in a shard that is not named", "&shards=" + allButOne.String(), w.ID + " ", func() { w.SetPhase("up"); f.RecordChange(1) }},
		{"no change, requested with fresh", "&shards=" + one.String() + "&fresh=" + one.String(), w.ID + " ", func() {}},
	} {
		from := d.Revision()
		c.change()
		d.publishChanges()
		answer := pollWith(t, subscription, from, "&block=20"+c.parameters)
		if answer.ids() != c.ids {
			t.Errorf("%s: got workers %q, want %q", c.name, answer.ids(), c.ids)
		}
		if answer.Cursor != d.Revision() {
			t.Errorf("%s: got cursor %d, want %d", c.name, answer.Cursor, d.Revision())
		}
	}
	answer, err := http.Get("http://" + subscription.Address() + "/cmd/next?resume=1&shards=what")
	if err != nil {
		t.Fatal(err)
	}
	defer testbed.CloseQuietly(answer.Body)
	if answer.StatusCode != http.StatusBadRequest {
		t.Errorf("invalid shards: got status %d, want %d", answer.StatusCode, http.StatusBadRequest)
	}
}

// A poll may allow discovery to delay changes of free capacity. The changes then wait until the end of the poll, and
// only the latest entry of each worker is sent. A change of state is sent at once, together with the waiting
// changes.
func TestDiscoveryDelaysCapacity(t *testing.T) {
	f, _ := newTestFleet(t, 3)
	d, _ := newTestDiscovery(t, f)
	late := poll{after: d.Revision(), delayCapacity: true}
	for range 3 {
		f.RecordChange(0)
		d.publishChanges()
	}
	if answer, last, more := d.answer(&late); answer != "" || more == nil || last != d.Revision() {
		t.Errorf("change of capacity: got answer %q with cursor %d, want no answer yet and the latest cursor", answer, last)
	}
	f.Workers[1].SetPhase("draining")
	d.publishChanges()
	answer, _, _ := d.answer(&late)
	if ids := parsePollAnswer(t, []byte(answer)).ids(); ids != f.Workers[0].ID+" "+f.Workers[1].ID+" " {
		t.Errorf("change of state after one of capacity: got workers %q, want %s and %s", ids, f.Workers[0].ID, f.Workers[1].ID)
	}
	late.after, late.delayCapacity = d.Revision(), false
	f.RecordChange(2)
	d.publishChanges()
	if answer, _, _ = d.answer(&late); parsePollAnswer(t, []byte(answer)).ids() != f.Workers[2].ID+" " {
		t.Errorf("poll that does not allow a delay: got %q, want an event with only %s", answer, f.Workers[2].ID)
	}
}
