package main

// This file owns the stand-ins that the tests of the whole program talk to: a
// minion, a command channel and an owner on JSON lines. They follow the pages of
// the protocol with libraries that the program itself does not use for it.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"ravenhitch/internal/config"
)

// patience is how long a test waits for what must come.
const patience = 10 * time.Second

type line struct {
	Verb string            `json:"verb"`
	Tag  string            `json:"tag"`
	Opts map[string]string `json:"opts"`
	RC   *int              `json:"rc,omitempty"`
	Blob *string           `json:"blob,omitempty"`
}

func (l line) rc() int {
	if l.RC == nil {
		return -1
	}
	return *l.RC
}

func cause(verb, tag string, rc int) line {
	return line{Verb: verb, Tag: tag, Opts: map[string]string{}, RC: &rc}
}

func wait[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v, ok := <-c:
		if !ok {
			t.Fatalf("%s: the other side closed", what)
		}
		return v
	case <-time.After(patience):
		t.Fatalf("%s: nothing came in %s", what, patience)
	}
	panic("not reached")
}

// minion is a stand-in node. What it says to a set-up follows from the task's
// name: ok-, full-, error-, silent- or reset-; what it spoils at the first set-up of a
// task it does well at the next: half-, bare-, twice- (a copy and a foreign answer).
type minion struct {
	name   string
	ln     net.Listener
	starts chan line // set-ups, in order
	ends   chan line // releases
	mu     sync.Mutex
	came   *sync.Cond // a connection came
	conns  map[net.Conn]bool
	held   map[string]bool
	count  map[string]int // set-ups by task
	dials  int            // connections so far
}

func newMinion(t *testing.T, name string) *minion {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &minion{name: name, ln: ln, starts: make(chan line, 1000), ends: make(chan line, 1000),
		conns: map[net.Conn]bool{}, held: map[string]bool{}, count: map[string]int{}}
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
			m.mu.Unlock()
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

func (m *minion) serve(c net.Conn) {
	defer func() {
		m.mu.Lock()
		delete(m.conns, c)
		m.mu.Unlock()
	}()
	r := bufio.NewScanner(c)
	for r.Scan() {
		var l line
		if json.Unmarshal(r.Bytes(), &l) != nil {
			return
		}
		switch l.Verb {
		case "START":
			m.start(c, l)
		case "FINISH":
			m.mu.Lock()
			stands := m.held[l.Tag]
			delete(m.held, l.Tag)
			m.mu.Unlock()
			if stands {
				send(c, cause("FINISH", l.Tag, 31))
			}
			m.ends <- l
		}
	}
}

func (m *minion) start(c net.Conn, l line) {
	key := l.Opts["key"]
	m.mu.Lock()
	m.count[key]++
	m.mu.Unlock()
	switch kind, _, _ := strings.Cut(key, "-"); kind {
	case "ok":
		m.mu.Lock()
		m.held[l.Tag] = true
		m.mu.Unlock()
		blob := m.name + " holds " + *l.Blob
		send(c, line{Verb: "STARTED", Tag: l.Tag, Opts: map[string]string{}, Blob: &blob})
	case "half", "bare", "twice":
		if m.counted(key) == 1 || kind == "twice" {
			m.spoil(c, kind, l)
			break
		}
		good := l
		good.Verb = "STARTED"
		send(c, good)
	case "full":
		full := cause("FINISH", l.Tag, 34)
		full.Opts["note"] = "busy"
		send(c, full)
	case "error":
		send(c, cause("FINISH", l.Tag, 47))
	case "reset":
		c.(*net.TCPConn).SetLinger(0)
		m.mu.Lock()
		delete(m.conns, c)
		m.mu.Unlock()
		c.Close()
	}
	m.starts <- l
}

// spoil answers in a way that is not as it should be.
func (m *minion) spoil(c net.Conn, kind string, l line) {
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
		send(c, l)
	case "twice":
		foreign := l
		foreign.Tag = tag(0xffff)
		send(c, foreign)
		send(c, cause("FINISH", foreign.Tag, 34))
		send(c, l)
		send(c, l)
	}
}

// end lets a task come to its end with a cause, told on any open connection or
// on the next one opened.
func (m *minion) end(tag string, rc int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.held, tag)
	for len(m.conns) == 0 {
		m.came.Wait()
	}
	for c := range m.conns {
		send(c, cause("FINISH", tag, rc))
		return
	}
}

func (m *minion) counted(key string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.count[key]
}

func send(w io.Writer, l line) {
	b, err := json.Marshal(l)
	if err != nil {
		panic(err)
	}
	w.Write(append(b, '\n'))
}

// feed is a stand-in command channel.
type feed struct {
	srv    *httptest.Server
	mu     sync.Mutex
	more   chan struct{} // closed when an event is added
	events []string
	asked  chan int // what each call resumes from
}

func newFeed(t *testing.T) *feed {
	f := &feed{more: make(chan struct{}), asked: make(chan int, 1000)}
	f.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.URL.Query().Get("resume"))
		block, _ := strconv.Atoi(r.URL.Query().Get("block"))
		select {
		case f.asked <- after:
		default:
		}
		limit := time.After(time.Duration(block) * time.Millisecond)
		for {
			f.mu.Lock()
			n, more := len(f.events), f.more
			f.mu.Unlock()
			if n > after {
				break
			}
			select {
			case <-more:
				continue
			case <-limit:
			case <-r.Context().Done():
				return
			}
			break
		}
		io.WriteString(w, f.known(after))
	}))
	t.Cleanup(f.srv.Close)
	return f
}

// known is the answer to a call that has heard all events up to after.
func (f *feed) known(after int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprintf(`{"cursor":%d,"cmds":[%s]}`, len(f.events), strings.Join(f.events[min(after, len(f.events)):], ","))
}

func (f *feed) add(complete bool, members ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.events) + 1
	f.events = append(f.events, fmt.Sprintf(`{"cursor":%d,"nodes":{"revision":%d,"complete":%v,"members":[%s]}}`,
		n, n, complete, strings.Join(members, ",")))
	close(f.more)
	f.more = make(chan struct{})
}

// heard waits until the program asks for what follows all events so far, which
// it does once it has applied them.
func (f *feed) heard(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	n := len(f.events)
	f.mu.Unlock()
	for wait(t, "the command channel is asked", f.asked) < n {
	}
}

func (m *minion) member(phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"hall-a","flavor":"std","cell":1,"phase":%q,"size":1,`+
		`"up_since_ms":0,"spare":[32,64]}`, m.name, m.ln.Addr(), phase)
}

const settingsText = `{"SelfIndex":0,"FleetSize":1,"Zone":"hall-a","Discovery":"subscribe","TickUs":2000,
 "Flavors":["std"],"FamilyInfo":{"View":true,"SaysYes":"accepted","CoresMultiple":1.0,"MemoryMultiple":1.0,
 "SizeCores":[32],"MemoryByKind":[64.0],"UnitCores":1.0,"UnitMemory":2.0,"Counts":"asked","ApartBy":["none","none"],
 "CalmLevel":[0.8,0.8],"LostAfter":[0.2,0.2],"KindByClass":[-1,-1],"ClassMost":[2,2],"ClassStartS":[10.0,8.0],
 "FreshOffers":50.0},
 "Limits":{"AttemptsCap":3,"Probes":true,"Cancel":true,"DialTimeoutUs":250000,"MaxRetryAfterUs":3000000},
 "Report":{"How":"answers","Fields":["x0","x1"]},"Parties":[],
 "Rules":{"AnswerSlackUs":8000,"AskWithinUs":10000000,"ColdShare":0.2,"ColdUs":16000000,"DrainGraceUs":2000000,
 "FallMultiple":4.0,"OverloadForUs":3000000},
 "RequestClasses":[{"Name":"guide-web","Semantics":"free","Group":"all","OnTimeUs":1000000,"DeadlineUs":6000000,
 "Importance":1.0,"WindowUs":5000000},{"Name":"archive-cut","Semantics":"single_shot","Group":"all",
 "OnTimeUs":6000000,"DeadlineUs":10000000,"Importance":5.0,"WindowUs":5000000}]}`

// configText is a configuration that knows all events so far.
func configText(f *feed) string {
	return fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"channel":%q,"known":%s,"settings":%s}`,
		f.srv.Listener.Addr(), f.known(0), settingsText)
}

// world is a program with the stand-ins round it.
type world struct {
	*program
	feed    *feed
	minions []*minion
	over    chan error
}

func newWorld(t *testing.T, names ...string) *world {
	return newWorldWith(t, config.Edge{GRPCListen: "127.0.0.1:0"}, names...)
}

func newWorldWith(t *testing.T, edge config.Edge, names ...string) *world {
	return newWorldOf(t, edge, 1024, names...)
}

func newWorldLimited(t *testing.T, sockets int64, names ...string) *world {
	return newWorldOf(t, config.Edge{}, sockets, names...)
}

func newWorldOf(t *testing.T, edge config.Edge, sockets int64, names ...string) *world {
	w := &world{feed: newFeed(t), over: make(chan error, 1)}
	var members []string
	for _, n := range names {
		m := newMinion(t, n)
		w.minions = append(w.minions, m)
		members = append(members, m.member("up"))
	}
	w.feed.add(true, members...)
	cfg, err := config.Parse([]byte(configText(w.feed)))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Sockets = sockets
	w.program, err = start(cfg, edge, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		err := w.Run()
		w.over <- err
		close(done)
	}()
	t.Cleanup(func() {
		w.l.Post(w.l.Stop)
		<-done
	})
	return w
}

// owner is a stand-in owner on JSON lines.
type owner struct {
	net.Conn
	lines chan line
}

func (w *world) owner(t *testing.T) *owner {
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	o := &owner{c, make(chan line, 1000)}
	go func() {
		defer close(o.lines)
		for r := bufio.NewScanner(c); r.Scan(); {
			var l line
			if json.Unmarshal(r.Bytes(), &l) != nil {
				return
			}
			o.lines <- l
		}
	}()
	return o
}

func setUp(tag, class, key string, leftMs int) line {
	blob := "about " + key
	return line{Verb: "START", Tag: tag, Blob: &blob, Opts: map[string]string{"class": class, "key": key,
		"left": strconv.Itoa(leftMs), "extras": "cores:1;memory:2;service:00000000b4d65521"}}
}
