package main

// This file owns the orchestrator under test: its configuration and its process, started by the command of the deploy file.

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

type orchestrator struct {
	record *record
	root   string // of the repository
	dir    string // a temporary folder
	addr   string
	conf   string // operators' file, "" for that of the repository
	site   string // settings as JSON
	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
}

// runCommand returns the command `run` of the deploy file.
func runCommand(root string) (string, error) {
	b, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(b)
	if found == nil {
		return "", errors.New("deploy/balancer.toml names no run")
	}
	return string(found[1]), nil
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func newOrchestrator(r *record, root, dir string) (*orchestrator, error) {
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return &orchestrator{record: r, root: root, dir: dir, addr: addr, site: almatySettings}, nil
}

// start starts the process with what the channel holds up to now, and waits until it passes a test.
func (o *orchestrator) start(c *channel) error {
	run, err := runCommand(o.root)
	if err != nil {
		return err
	}
	if o.conf != "" {
		run += " -conf " + o.conf
	}
	known, _, _ := c.state(0)
	var compact map[string]any
	if err := json.Unmarshal([]byte(o.site), &compact); err != nil {
		return err
	}
	s, _ := json.Marshal(compact)
	config := fmt.Sprintf(`{"name":"n1","listen":%q,"seed":"%016x","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"channel":%q,"known":%s,"settings":%s}`,
		o.addr, time.Now().UnixNano(), c.addr, known, s)
	path := filepath.Join(o.dir, "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return err
	}
	tmp, err := os.MkdirTemp(o.dir, "tmp")
	if err != nil {
		return err
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir = o.root
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "ROUTER_NAME=n1", "ROUTER_LISTEN="+o.addr, "TMPDIR="+tmp)
	log, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := startChild(cmd); err != nil {
		return err
	}
	o.mu.Lock()
	o.cmd, o.ended = cmd, make(chan struct{})
	o.mu.Unlock()
	o.record.log("orchestrator started, process %d, listens at %s", cmd.Process.Pid, o.addr)
	go func() {
		for scanner := bufio.NewScanner(log); scanner.Scan(); {
			o.record.log("orchestrator's log: %s", scanner.Text())
		}
		_ = cmd.Wait()
		o.record.log("orchestrator ended: %v", cmd.ProcessState)
		close(o.ended)
	}()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if o.test() {
			return nil
		}
	}
	return errors.New("the orchestrator passed no test within 10 s")
}

func (o *orchestrator) test() bool {
	conn, err := net.DialTimeout("tcp", o.addr, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	l, zero, passed := &link{Conn: conn}, 0, false
	if l.send(message{Verb: "ECHO", Tag: "0000000000000001", Opts: map[string]any{}, RC: &zero}) != nil {
		return false
	}
	l.receive(func(m message) {
		passed = m.Verb == "ECHOED" && m.code() == 1
		_ = conn.Close()
	})
	return passed
}

func (o *orchestrator) kill() {
	_ = o.cmd.Process.Signal(syscall.SIGKILL)
	<-o.ended
}

// stop ends the process at the end of a run.
func (o *orchestrator) stop() {
	o.mu.Lock()
	cmd := o.cmd
	o.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-o.ended:
	case <-time.After(5 * time.Second):
		o.kill()
	}
}
