package main

// upgrade starts a new version under load, again and again, and looks for breaks of several rules. It is a search tool.

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upgrade"] = playUpgrade }

// version is one process of the orchestrator that inherits the platform's listening socket.
type version struct {
	cmd   *exec.Cmd
	mgmt  string
	ended chan struct{}
}

func (s *scene) startVersion(c *channel, socket *os.File, addr, tmp string) (*version, error) {
	run, err := runCommand(s.root)
	if err != nil {
		return nil, err
	}
	mgmt, err := freeAddress()
	if err != nil {
		return nil, err
	}
	known, _, _ := c.state(0)
	var compact map[string]any
	if err := json.Unmarshal([]byte(almatySettings), &compact); err != nil {
		return nil, err
	}
	b, _ := json.Marshal(compact)
	config := fmt.Sprintf(`{"name":"n1","listen":%q,"mgmt":%q,"seed":"%016x","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"channel":%q,"known":%s,"settings":%s}`,
		addr, mgmt, time.Now().UnixNano(), c.addr, known, b)
	path := filepath.Join(s.dir, fmt.Sprintf("config-%d.json", time.Now().UnixNano()))
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir = s.root
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "ROUTER_NAME=n1", "ROUTER_LISTEN="+addr, "ROUTER_MGMT="+mgmt, "ROUTER_INHERITED_FD=3", "TMPDIR="+tmp)
	cmd.ExtraFiles = []*os.File{socket}
	log, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := startChild(cmd); err != nil {
		return nil, err
	}
	v := &version{cmd: cmd, mgmt: mgmt, ended: make(chan struct{})}
	s.record.log("version %d started", cmd.Process.Pid)
	go func() {
		for scanner := bufio.NewScanner(log); scanner.Scan(); {
			s.record.log("version %d: %s", cmd.Process.Pid, scanner.Text())
		}
		_ = cmd.Wait()
		s.record.log("version %d ended: %v", cmd.Process.Pid, cmd.ProcessState)
		close(v.ended)
	}()
	for deadline := time.Now().Add(6 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if strings.HasPrefix(call(mgmt, "HEALTH"), "+OK") {
			return v, nil
		}
	}
	return v, errors.New("no yes within 6 s")
}

func call(addr, line string) string {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprintln(conn, line)
	text, _ := bufio.NewReader(conn).ReadString('\n')
	return text
}

func (v *version) end(r *record) {
	_ = v.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-v.ended:
	case <-time.After(5700 * time.Millisecond):
		r.log("version %d is killed", v.cmd.Process.Pid)
		_ = v.cmd.Process.Kill()
		<-v.ended
	}
}

// ownerPool keeps connections to the orchestrator.
type ownerPool struct {
	mu    sync.Mutex
	s     *scene
	addr  string
	book  *ledger
	conns []*client
	open  map[string]*sentSetUp
	n     int
}

type sentSetUp struct {
	tag, key, class string
	left            time.Duration
	c               *client
	at              time.Time
	again           bool
}

func (p *ownerPool) keep(i int) {
	for {
		p.mu.Lock()
		p.n++
		name := fmt.Sprint("owner", p.n)
		p.mu.Unlock()
		o, err := dialClient(p.s.record, p.addr, name)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		o.onMessage = func(m message) {
			p.book.mu.Lock()
			t := p.book.get(m.Tag)
			t.answers = append(t.answers, received{m, time.Now()})
			p.book.mu.Unlock()
			p.mu.Lock()
			delete(p.open, m.Tag)
			p.mu.Unlock()
		}
		p.mu.Lock()
		p.conns[i] = o
		p.mu.Unlock()
		<-o.ended
		p.mu.Lock()
		var again []*sentSetUp
		for tag, u := range p.open {
			if u.c == o && !u.again && time.Since(u.at) < 60*time.Millisecond {
				u.again = true
				again = append(again, u)
			} else if u.c == o {
				p.s.record.log("set-up %s unanswered at the end of its connection, sent %v before", tag, time.Since(u.at))
			}
		}
		p.mu.Unlock()
		for _, u := range again {
			p.s.record.log("set-up %s goes out again", u.tag)
			p.send(u)
		}
	}
}

func (p *ownerPool) send(u *sentSetUp) {
	for {
		p.mu.Lock()
		c := p.conns[rand.Intn(len(p.conns))]
		if c != nil {
			select {
			case <-c.ended:
				c = nil
			default:
			}
		}
		if c != nil {
			u.c, u.at = c, time.Now()
			p.open[u.tag] = u
		}
		p.mu.Unlock()
		if c != nil {
			_ = c.setUp(u.tag, u.key, u.class, u.left, 0.5, 1, "")
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func playUpgrade(s *scene) verdict {
	seed := s.seed
	random := rand.New(rand.NewSource(seed))
	c, err := newChannel(s.record, 0)
	if err != nil {
		return verdict{failed: err}
	}
	book := &ledger{tasks: map[string]*ledgerTask{}, r: s.record}
	var entries []string
	var minions []*minion
	for i := range 4 {
		m, err := newMinion(s.record, fmt.Sprintf("s-%08x", 0xa1+i), []string{"hall-a", "hall-b"}[i%2], i+1, 63, 117, seed+int64(i))
		if err != nil {
			return verdict{failed: err}
		}
		m.sizeOf = func(string) (float64, float64) { return 0.5, 1 }
		m.lifeOf = func(string) time.Duration { return time.Second + time.Duration(rand.Int63n(int64(9*time.Second))) }
		m.busy, m.busyNote = 0.1, "busy"
		m.onArrived, m.onStarted, m.onEnded = book.arrived, book.started, book.ended
		m.onRefused = func(m *minion, tag, _ string) { book.attemptOver(m, tag) }
		m.onGivenUp = func(m *minion, tag string) { book.attemptOver(m, tag) }
		m.trouble = os.Getenv("KIND")
		m.run()
		minions = append(minions, m)
		entries = append(entries, m.entry("up"))
	}
	c.add(true, entries...)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return verdict{failed: err}
	}
	socket, err := listener.(*net.TCPListener).File()
	if err != nil {
		return verdict{failed: err}
	}
	addr := listener.Addr().String()
	tmp, err := os.MkdirTemp(s.dir, "tmp")
	if err != nil {
		return verdict{failed: err}
	}
	now, err := s.startVersion(c, socket, addr, tmp)
	if err != nil {
		return verdict{failed: err}
	}
	pool := &ownerPool{s: s, addr: addr, book: book, conns: make([]*client, 3), open: map[string]*sentSetUp{}}
	for i := range 3 {
		go pool.keep(i)
	}
	stop := make(chan struct{})
	for _, m := range minions {
		go m.faults(stop)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for until := time.Now().Add(60 * time.Second); time.Now().Before(until); {
			tag, key := fmt.Sprintf("%016x", random.Uint64()), fmt.Sprintf("%016x", random.Uint64())
			class, left := "guide-web", 6*time.Second
			if random.Intn(4) == 0 {
				class, left = "archive-cut", 10*time.Second
			}
			book.mu.Lock()
			t := book.get(tag)
			t.key, t.class, t.sent, t.left = key, class, time.Now(), left
			book.mu.Unlock()
			pool.send(&sentSetUp{tag: tag, key: key, class: class, left: left})
			time.Sleep(time.Duration(10+random.Intn(60)) * time.Millisecond)
		}
	}()
	for range 6 {
		time.Sleep(time.Duration(3+rand.Intn(4)) * time.Second)
		next, err := s.startVersion(c, socket, addr, tmp)
		if err != nil {
			return verdict{failed: err}
		}
		servedBefore := time.Now()
		now.end(s.record)
		now = next
		// What stands once the old process is gone is passed to the new one.
		book.mu.Lock()
		type held struct{ tag, key, class, at string }
		var stands []held
		for _, t := range book.tasks {
			at, release, by := t.served()
			if !at.IsZero() && release.IsZero() {
				stands = append(stands, held{t.tag, t.key, t.class, by})
			}
		}
		book.mu.Unlock()
		s.record.log("%d tasks are handed over, the old process took %v to end", len(stands), time.Since(servedBefore))
		time.Sleep(200 * time.Millisecond) // for the owners' new connections
		pool.mu.Lock()
		o := pool.conns[0]
		pool.mu.Unlock()
		for _, h := range stands {
			if o != nil {
				_ = o.setUp(h.tag, h.key, h.class, time.Second, 0.5, 1, h.at)
			}
		}
	}
	<-done
	close(stop)
	time.Sleep(20 * time.Second)
	now.end(s.record)
	return book.judge()
}
