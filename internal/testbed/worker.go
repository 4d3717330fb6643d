package testbed

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"strings"
	"sync"

	"golang.org/x/sys/unix"
)

// This file owns the stand-in minion's sockets and what it says by script.

// cutMost bounds the set-ups kept as cut by a close.
const cutMost = 1000

// NewWorker is a stand-in node. Without a Machine, what it says to a set-up follows
// from the task's name: ok-, full-, error-, silent- or reset-; missed- is silent at the
// first attempt of a request and ok at those after, at whatever minion; what it spoils at the
// first set-up of a task it does well at the next: half-, bare-, twice- (a copy and a
// foreign answer). What is brief- is over before it is to say yes, and says both in one.
// With one, the Machine answers.
type Worker struct {
	Name   string
	Kind   string    // of its machine, as the list has it; "std" unless it is set
	Starts chan Line // set-ups, in order; without a Machine only
	Ends   chan Line // releases; the same
	// Cut are the set-ups whose connection closed before the orchestrator
	// released them, answered or not: closing a connection gives up what is open
	// on it. It holds cutMost; what comes beyond is not kept.
	Cut chan Line
	// AttemptLog notes what is out here, where it is set before the first connection.
	Attempts *AttemptLog

	host   Host
	ln     net.Listener
	via    string              // where it is told to listen, "" where that is where it does
	by     map[string]net.Conn // the connections of set-ups
	mach   *CapacityModel
	mu     sync.Mutex
	came   *sync.Cond // a connection came
	conns  map[net.Conn]bool
	held   map[string]bool
	count  map[string]int // set-ups by task
	dials  int            // connections so far
	untold []Line         // ends that found no connection
	gone   bool           // it says nothing any more
	tests  int            // that came
}

// NewWorker starts a minion that follows its script.
func NewWorker(t Host, name string) *Worker { return newWorker(t, name, nil) }

func newWorker(t Host, name string, mach *CapacityModel) *Worker {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &Worker{Name: name, Kind: "std", host: t, ln: ln, mach: mach, Starts: make(chan Line, 1000), Ends: make(chan Line, 1000),
		Cut: make(chan Line, cutMost), by: map[string]net.Conn{}, conns: map[net.Conn]bool{}, held: map[string]bool{}, count: map[string]int{}}
	m.came = sync.NewCond(&m.mu)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			m.conns[c] = true
			m.dials++
			m.came.Broadcast()
			untold := m.untold
			m.untold = nil
			m.mu.Unlock()
			for _, l := range untold {
				Send(c, l)
			}
			go m.serve(c)
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		m.mu.Lock()
		defer m.mu.Unlock()
		for c := range m.conns {
			c.Close()
		}
	})
	return m
}

func (m *Worker) has(c net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.conns[c]
}

// tell sends what concerns a task on the connection of its set-up, else on any open
// one, else on the next.
func (m *Worker) tell(c net.Conn, l Line) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.conns[c] {
		for o := range m.conns {
			c = o
		}
	}
	if !m.conns[c] {
		m.untold = append(m.untold, l)
		return
	}
	Send(c, l)
}

// Addr is where it is reached.
func (m *Worker) Addr() string {
	if m.via != "" {
		return m.via
	}
	return m.ln.Addr().String()
}

// SendFinish lets a task that stands come to its end as the protocol has it: told on the
// connection of its set-up while that looks open here, else on any open one, and also
// on the next one opened.
func (m *Worker) SendFinish(tag string, rc int) {
	m.Attempts.ended(m.Name, tag)
	l := FinishLine("FINISH", tag, rc)
	m.mu.Lock()
	c := m.by[tag]
	delete(m.held, tag)
	m.mu.Unlock()
	m.tell(c, l)
	m.mu.Lock()
	m.untold = append(m.untold, l)
	m.mu.Unlock()
}

// Accept answers a set-up that it was silent about.
func (m *Worker) Accept(tag string) {
	m.mu.Lock()
	c := m.by[tag]
	m.held[tag] = true
	m.mu.Unlock()
	m.Attempts.stands(m.Name, tag)
	blob := m.Name + " holds " + tag
	Send(c, Line{Verb: "STARTED", Tag: tag, Opts: map[string]string{}, Blob: &blob})
}

// Refuse makes a listener refuse connections from now on. Its port stays taken until it is
// closed: given back, it could be another test's, to which whoever dials here would come.
func Refuse(t Host, ln net.Listener) {
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { err = unix.Shutdown(int(fd), unix.SHUT_RD) }); err != nil {
		t.Fatal(err)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// Die closes it for good, with a reset for whoever is connected.
func (m *Worker) Die() {
	Refuse(m.host, m.ln)
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (m *Worker) serve(c net.Conn) {
	open := map[string]Line{} // set-ups on this connection without a release
	defer func() {
		m.mu.Lock()
		delete(m.conns, c)
		maps.DeleteFunc(m.by, func(_ string, by net.Conn) bool { return by == c })
		m.mu.Unlock()
		for _, l := range open {
			select {
			case m.Cut <- l:
			default: // nobody reads them: a full channel must not hold the connection's end
			}
		}
	}()
	r := bufio.NewScanner(c)
	for r.Scan() {
		var l Line
		if json.Unmarshal(r.Bytes(), &l) != nil {
			return
		}
		if m.vanished() {
			continue
		}
		switch l.Verb {
		case "START":
			open[l.Tag] = l
			if m.mach == nil {
				m.mu.Lock()
				m.by[l.Tag] = c
				m.mu.Unlock()
			}
			m.Attempts.offered(m.Name, c.RemoteAddr().String(), l.Tag)
		case "FINISH":
			delete(open, l.Tag)
			m.Attempts.ended(m.Name, l.Tag)
		}
		switch {
		case l.Verb == "START" && m.mach != nil:
			m.mach.offered(c, l)
		case l.Verb == "START":
			m.start(c, l)
		case l.Verb == "FINISH" && m.mach != nil:
			m.mach.released(c, l.Tag)
		case l.Verb == "FINISH":
			m.mu.Lock()
			stands := m.held[l.Tag]
			delete(m.held, l.Tag)
			delete(m.by, l.Tag)
			m.mu.Unlock()
			if stands {
				Send(c, FinishLine("FINISH", l.Tag, 31))
			}
			m.Ends <- l
		case l.Verb == "ECHO":
			m.mu.Lock()
			m.tests++
			m.mu.Unlock()
			Send(c, FinishLine("ECHOED", l.Tag, 1))
		}
	}
}

func (m *Worker) start(c net.Conn, l Line) {
	key := l.Opts["key"]
	m.mu.Lock()
	m.count[key]++
	m.mu.Unlock()
	kind, _, _ := strings.Cut(key, "-")
	if kind == "missed" {
		if kind = "silent"; m.Attempts.Count(l.Tag) > 1 {
			kind = "ok"
		}
	}
	switch kind {
	case "ok":
		m.mu.Lock()
		m.held[l.Tag] = true
		m.mu.Unlock()
		m.Attempts.stands(m.Name, l.Tag)
		blob := m.Name + " holds " + *l.Blob
		Send(c, Line{Verb: "STARTED", Tag: l.Tag, Opts: map[string]string{}, Blob: &blob})
	case "half", "bare", "twice":
		if m.StartCount(key) == 1 || kind == "twice" {
			m.spoil(c, kind, l)
			break
		}
		good := l
		good.Verb = "STARTED"
		Send(c, good)
	case "brief":
		m.Attempts.ended(m.Name, l.Tag)
		over, blob := FinishLine("FINISH", l.Tag, 16), m.Name+" held "+*l.Blob
		over.Blob = &blob
		Send(c, over)
	case "full":
		m.Attempts.ended(m.Name, l.Tag)
		full := FinishLine("FINISH", l.Tag, 34)
		full.Opts["note"] = "busy"
		Send(c, full)
	case "error":
		m.Attempts.ended(m.Name, l.Tag)
		Send(c, FinishLine("FINISH", l.Tag, 47))
	case "reset":
		c.(*net.TCPConn).SetLinger(0)
		m.mu.Lock()
		delete(m.conns, c)
		m.mu.Unlock()
		c.Close()
	}
	m.Starts <- l
}

// spoil answers in a way that is not as it should be.
func (m *Worker) spoil(c net.Conn, kind string, l Line) {
	l.Verb = "STARTED"
	b, err := json.Marshal(l)
	if err != nil {
		panic(err)
	}
	switch kind {
	case "half":
		c.Write(b[:len(b)/2])
	case "bare":
		l.Blob = nil
		Send(c, l)
	case "twice":
		foreign := l
		foreign.Tag = RequestID(0xffff)
		Send(c, foreign)
		Send(c, FinishLine("FINISH", foreign.Tag, 34))
		Send(c, l)
		Send(c, l)
	}
}

// End lets a task come to its end with a cause, told on any open connection or
// on the next one opened.
func (m *Worker) End(tag string, rc int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.held, tag)
	delete(m.by, tag)
	for len(m.conns) == 0 {
		m.came.Wait()
	}
	for c := range m.conns {
		Send(c, FinishLine("FINISH", tag, rc))
		return
	}
}

// Note sends news of no task on every open connection: it is there.
func (m *Worker) Note() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		Send(c, Line{Verb: "NOTICE", Tag: RequestID(0), Opts: map[string]string{"note": "up", "value": "0"}})
	}
}

// StartCount is how many set-ups of a task came.
func (m *Worker) StartCount(key string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.count[key]
}

// HasTask reports whether a task stands.
func (m *Worker) HasTask(tag string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[tag]
}

// TaskCount is how many tasks stand.
func (m *Worker) TaskCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held)
}

// PingCount is how many tests came.
func (m *Worker) PingCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tests
}

// DialCounts is how many connections came, and how many are open.
func (m *Worker) DialCounts() (came, open int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dials, len(m.conns)
}

// ListEntry is its line of the list.
func (m *Worker) ListEntry(phase string) string { return m.ListEntryAt(phase, m.Addr()) }

// ListEntryAt is the same for whoever reaches it at another address.
func (m *Worker) ListEntryAt(phase, addr string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"hall-a","flavor":%q,"cell":1,"phase":%q,"size":1,`+
		`"up_since_ms":0,"spare":[32,64]}`, m.Name, addr, m.Kind, phase)
}

// RefuseConnections refuses new connections; open ones stay.
func (m *Worker) RefuseConnections() { Refuse(m.host, m.ln) }

// Vanish lets it go without a word: new connections are refused, and those that are open
// stay open and silent.
func (m *Worker) Vanish() {
	m.mu.Lock()
	m.gone = true
	m.mu.Unlock()
	Refuse(m.host, m.ln)
}

// CloseGracefully closes it for good as a process does that ends in good order.
func (m *Worker) CloseGracefully() {
	Refuse(m.host, m.ln)
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		c.Close()
	}
}

// CloseConnections closes its connections and takes new ones.
func (m *Worker) CloseConnections() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		c.Close()
	}
}

func (m *Worker) vanished() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gone
}

// Forget no longer knows its connections, and waits for a new one.
func (m *Worker) Forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	dials := m.dials
	clear(m.conns)
	for m.dials == dials {
		m.came.Wait()
	}
}
