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

// This file tests hollow workers and the source of their list as an orchestrator sees them.

// tally counts what an Observer is told.
type tally struct {
	mutex          sync.Mutex
	accepted, lost int
	ended          chan string
}

func (t *tally) Accepted(_, _, _ string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.accepted++
}

func (t *tally) Ended(_, tag string, _ time.Time, lost bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if lost {
		t.lost++
	}
	t.ended <- tag
}

func newTestFleet(t *testing.T, workers int) (*Fleet, *tally) {
	t.Helper()
	seen := &tally{ended: make(chan string, 100)}
	f, err := NewFleet(Options{Workers: workers, Kinds: []Kind{{Name: "small", Cores: 2, Memory: 4}}, Zones: []string{"a", "b"}, Cell: 1}, seen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f, seen
}

func setUp(tag string, task Task) testbed.Line {
	line := testbed.StartLine(tag, "batch", "key-"+tag, 1000)
	description := task.Describe()
	line.Blob = &description
	return line
}

func TestWorkerAnswers(t *testing.T) {
	f, seen := newTestFleet(t, 1)
	c := testbed.NewClient(t, f.Workers[0].address)
	first, second, third := Tag(0, 1), Tag(0, 2), Tag(0, 3)
	testbed.Send(c, setUp(first, Task{Cores: 2, Memory: 1, Run: time.Hour}))
	if got := testbed.Wait(t, "the answer", c.Lines); got.Verb != "STARTED" || got.Tag != first {
		t.Errorf("expected the first task to stand, got %+v", got)
	}
	testbed.Send(c, setUp(second, Task{Cores: 1, Memory: 1, Run: time.Hour}))
	if got := testbed.Wait(t, "the refusal", c.Lines); got.Cause() != causeFull || got.Opts["note"] != "cpu_full" {
		t.Errorf("expected the second task to be refused for want of cores, got %+v", got)
	}
	testbed.Send(c, testbed.FinishLine("FINISH", first, causeEnded))
	if got := testbed.Wait(t, "the release", c.Lines); got.Cause() != causeCancelled || got.Tag != first {
		t.Errorf("expected the first task to be cancelled, got %+v", got)
	}
	testbed.Send(c, setUp(third, Task{Cores: 1, Memory: 4, Run: time.Millisecond}))
	testbed.Wait(t, "the answer", c.Lines)
	if got := testbed.Wait(t, "the end", c.Lines); got.Cause() != causeEnded || got.Tag != third {
		t.Errorf("expected the third task to come to its end, got %+v", got)
	}
	testbed.Send(c, testbed.FinishLine("ECHO", third, 0))
	if got := testbed.Wait(t, "the test", c.Lines); got.Verb != "ECHOED" || got.Cause() != 1 {
		t.Errorf("expected a test that is passed, got %+v", got)
	}
	if seen.accepted != 2 || f.Refusals() != 1 || f.Running() != 0 {
		t.Errorf("expected 2 starts, 1 refusal and no task left, got %d, %d and %d", seen.accepted, f.Refusals(), f.Running())
	}
}

func TestEndGoesToItsOrchestrator(t *testing.T) {
	f, _ := newTestFleet(t, 1)
	w := f.Workers[0]
	other, own := testbed.NewClient(t, w.address), testbed.NewClient(t, w.address)
	testbed.Send(other, setUp(Tag(0, 1), Task{Cores: 1, Memory: 1, Run: time.Hour}))
	testbed.Wait(t, "the other's answer", other.Lines)
	testbed.Send(own, setUp(Tag(1, 1), Task{Cores: 1, Memory: 1, Run: time.Hour}))
	testbed.Wait(t, "the answer", own.Lines)
	found := Tag(1, 2)
	if !w.AddRunning(found, "found", Task{Run: time.Millisecond}) {
		t.Fatal("expected room for a task found running")
	}
	f.Begin()
	if got := testbed.Wait(t, "the end", own.Lines); got.Tag != found || got.Cause() != causeEnded {
		t.Errorf("expected the end of %s, got %+v", found, got)
	}
	late := testbed.NewClient(t, w.address)
	if got := testbed.Wait(t, "the end on the next connection", late.Lines); got.Tag != found {
		t.Errorf("expected the end of %s, got %+v", found, got)
	}
	testbed.Send(other, testbed.FinishLine("ECHO", Tag(0, 9), 0))
	if got := testbed.Wait(t, "the other's test", other.Lines); got.Verb != "ECHOED" {
		t.Errorf("expected nothing but a test's answer at the other orchestrator, got %+v", got)
	}
}

func TestWorkerStopsAndStartsAgain(t *testing.T) {
	f, seen := newTestFleet(t, 1)
	w := f.Workers[0]
	c := testbed.NewClient(t, w.address)
	testbed.Send(c, setUp(Tag(0, 1), Task{Cores: 1, Memory: 1, Run: time.Hour}))
	testbed.Wait(t, "the answer", c.Lines)
	w.Stop(Abrupt)
	if tag := testbed.Wait(t, "the task's loss", seen.ended); tag != Tag(0, 1) || seen.lost != 1 {
		t.Errorf("expected the loss of the task, got %s, %d lost", tag, seen.lost)
	}
	if _, open := <-c.Lines; open {
		t.Error("expected the connection to end without a word")
	}
	if again, err := net.Dial("tcp", w.address); err == nil {
		again.Close()
		t.Error("expected a connection to be refused")
	}
	if err := w.Restart(); err != nil {
		t.Fatal(err)
	}
	c = testbed.NewClient(t, w.address)
	testbed.Send(c, setUp(Tag(0, 2), Task{Cores: 2, Memory: 4, Run: time.Hour}))
	if got := testbed.Wait(t, "the answer", c.Lines); got.Verb != "STARTED" {
		t.Errorf("expected all room to be free, got %+v", got)
	}
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	f, _ := newTestFleet(t, 1)
	w := f.Workers[0]
	c := testbed.NewClient(t, w.address)
	testbed.Send(c, testbed.FinishLine("ECHO", Tag(0, 1), 0))
	testbed.Wait(t, "the test", c.Lines)
	began := time.Now()
	w.closeUnused(began.Add(-time.Hour))
	testbed.Send(c, testbed.FinishLine("ECHO", Tag(0, 2), 0))
	testbed.Wait(t, "the test on a connection that is in use", c.Lines)
	w.closeUnused(time.Now())
	if line, open := <-c.Lines; open {
		t.Errorf("expected the connection to be closed, got %+v", line)
	}
}

// listed is what a command channel tells.
type listed struct {
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

func parseListed(t *testing.T, text []byte) (l listed) {
	t.Helper()
	if err := json.Unmarshal(text, &l); err != nil {
		t.Fatal(err)
	}
	return l
}

func ask(t *testing.T, u *Subscription, resume int) listed {
	return askFor(t, u, resume, "&block=5000")
}

// askFor asks with further parameters.
func askFor(t *testing.T, u *Subscription, resume int, parameters string) listed {
	t.Helper()
	answer, err := http.Get("http://" + u.Address() + "/cmd/next?resume=" + strconv.Itoa(resume) + parameters)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return parseListed(t, text)
}

// newTestSource makes a source whose changes are told by hand, and a subscription to it.
func newTestSource(t *testing.T, f *Fleet) (*Discovery, *Subscription) {
	t.Helper()
	s := NewDiscovery(f, time.Hour)
	t.Cleanup(s.Close)
	u, err := s.Subscribe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	return s, u
}

func TestSourceTellsChanges(t *testing.T) {
	f, _ := newTestFleet(t, 3)
	s, u := newTestSource(t, f)
	known := parseListed(t, []byte(u.InitialList()))
	if known.Cursor != 1 || !known.Cmds[0].Nodes.Complete || len(known.Cmds[0].Nodes.Members) != 3 {
		t.Errorf("expected a whole list of 3 as event 1, got %+v", known)
	}
	f.Workers[1].SetListed("removed")
	s.tell()
	changes := ask(t, u, 1)
	if changes.Cursor != 2 || len(changes.Cmds) != 1 || changes.Cmds[0].Nodes.Complete || changes.Cmds[0].Nodes.Members[0].Phase != "removed" {
		t.Errorf("expected event 2 with the removed worker alone, got %+v", changes)
	}
	for range keptEvents + 1 {
		f.Touch(0)
		s.tell()
	}
	whole := ask(t, u, 2)
	if len(whole.Cmds) != 1 || !whole.Cmds[0].Nodes.Complete || whole.Cursor != keptEvents+3 {
		t.Errorf("expected the whole list as event %d for who is too far behind, got %+v", keptEvents+3, whole)
	}
	if heard := u.LastPolled(); heard != 2 {
		t.Errorf("expected revision 2 to be heard, got %d", heard)
	}
	if known := parseListed(t, []byte(u.InitialList())); known.Cursor != 1 {
		t.Errorf("expected events to be numbered anew at a start, got %d", known.Cursor)
	}
}

// ids are the workers that an answer tells.
func (l listed) ids() (ids string) {
	for _, event := range l.Cmds {
		for _, m := range event.Nodes.Members {
			ids += m.ID + " "
		}
	}
	return ids
}

// An orchestrator that names shards is told the room of their workers alone, and of all where and
// whether they are there; those of zones that it does not name, and those it asks for anew.
func TestSourceTellsShards(t *testing.T) {
	f, _ := newTestFleet(t, 3)
	s, u := newTestSource(t, f)
	u.InitialList()
	w := f.Workers[1]
	others := shard.Set{}
	for _, other := range f.Workers {
		others[other.Zone] = shard.AllBits
	}
	others[w.Zone] &^= 1 << shard.Of(w.ID)
	mine := shard.Set{w.Zone: 1 << shard.Of(w.ID)}
	for _, c := range []struct {
		what, parameters, ids string
		change                func()
	}{
		{"room, of a shard that is not named", "&shards=" + others.String(), "", func() { f.Touch(1) }},
		{"room, of a shard that is named", "&shards=" + mine.String(), w.ID + " ", func() { f.Touch(1) }},
		{"room, of a zone that is not named", "&shards=elsewhere:ffffffffffffffff", w.ID + " ", func() { f.Touch(1) }},
		{"room, without shards", "", w.ID + " ", func() { f.Touch(1) }},
		{"a state, of a shard that is not named", "&shards=" + others.String(), w.ID + " ", func() { w.SetListed("draining") }},
		{"room after a state", "&shards=" + others.String(), w.ID + " ", func() { w.SetListed("up"); f.Touch(1) }},
		{"nothing, asked anew", "&shards=" + mine.String() + "&fresh=" + mine.String(), w.ID + " ", func() {}},
	} {
		from := s.Revision()
		c.change()
		s.tell()
		answer := askFor(t, u, from, "&block=20"+c.parameters)
		if answer.ids() != c.ids {
			t.Errorf("%s: told of %q, expected %q", c.what, answer.ids(), c.ids)
		}
		if answer.Cursor != s.Revision() {
			t.Errorf("%s: at event %d, expected %d", c.what, answer.Cursor, s.Revision())
		}
	}
	answer, err := http.Get("http://" + u.Address() + "/cmd/next?resume=1&shards=what")
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusBadRequest {
		t.Errorf("shards that can't be read: status %d", answer.StatusCode)
	}
}

// News of room alone wait for the end of a call that allows it, and the latest of each worker is told;
// a state is told at once, and with it what waits.
func TestSourceTellsRoomLate(t *testing.T) {
	f, _ := newTestFleet(t, 3)
	s, _ := newTestSource(t, f)
	asked := call{after: s.Revision(), lateRoom: true}
	for range 3 {
		f.Touch(0)
		s.tell()
	}
	if answer, last, more := s.after(&asked); answer != "" || more == nil || last != s.Revision() {
		t.Errorf("room alone is told at once: %q", answer)
	}
	f.Workers[1].SetListed("draining")
	s.tell()
	answer, _, _ := s.after(&asked)
	if ids := parseListed(t, []byte(answer)).ids(); ids != f.Workers[0].ID+" "+f.Workers[1].ID+" " {
		t.Errorf("with a state %q is told", ids)
	}
	asked.after, asked.lateRoom = s.Revision(), false
	f.Touch(2)
	s.tell()
	if answer, _, _ = s.after(&asked); parseListed(t, []byte(answer)).ids() != f.Workers[2].ID+" " {
		t.Errorf("without leave to be late %q is told", answer)
	}
}
