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

// settings are those of the example in the wire page, as nested JSON.
const settings = `{"Callers":{"MarksRetry":false},"Discovery":"subscribe","FamilyInfo":{"ApartBy":["none","none","none"],"Bound":false,
"CalmLevel":[0.8,0.8,0.8],"CheckAfterUs":3000000,"ClassMost":[2,2,2],"ClassPriority":[0,0,0],"ClassStartS":[10.0,10.0,8.0],
"CoresMultiple":1.0,"Counts":"asked","EvictWeight":2.0,"FreshOffers":56.0,"KindByClass":[-1,-1,-1],"LostAfter":[0.25,0.15,0.15],
"MakesRoom":false,"MemoryByKind":[56.0,117.0],"MemoryMultiple":1.0,"PressureNotes":true,"RefusedPrice":0.02,"SaysUse":true,
"SaysYes":"accepted","ShareCores":[],"SizeCores":[26,63],"UnitCores":1.05,"UnitMemory":2.13,"View":true},
"Flavors":["node-32","node-64"],"FleetSize":3,"Limits":{"AttemptsCap":3,"Cancel":true,"ConnIdleUs":30000000,"CpuUsPerRequest":0.0,
"CpuUsPerS":500000,"DialTimeoutUs":250000,"MaxOpen":1000000,"MaxRetryAfterUs":3000000,"Multiplex":1048576,"Peers":false,"Probes":true,
"RetryAfter":true,"SecondCopies":false},"OverShareWorth":0.1,"Parties":[],"Prices":{"Connection":0.0,"CrossZone":0.03,
"Discovery":0.004,"Fleet":0.25,"Handshake":0.0,"LateFail":0.0,"Moves":0.1,"Origin":0.0,"Peer":0.0,"Probe":0.003,"Waste":0.16},
"Report":{"Fields":["x0","x1"],"How":"answers"},"RequestClasses":[
{"DeadlineUs":6000000,"Group":"all","Importance":1.0,"LateWorth":0.1,"Name":"guide-web","OnTimeUs":1000000,"RunsOn":true,"Semantics":"free","WindowUs":5000000},
{"DeadlineUs":5000000,"Group":"all","Importance":3.0,"LateWorth":0.1,"Name":"live-relay","OnTimeUs":700000,"RunsOn":true,"Semantics":"free","WindowUs":5000000},
{"DeadlineUs":10000000,"Group":"all","Importance":5.0,"LateWorth":0.2,"Name":"archive-cut","OnTimeUs":6000000,"RunsOn":true,"Semantics":"single_shot","WindowUs":5000000}],
"Rules":{"AnswerSlackUs":8000,"AskWithinUs":10000000,"ColdShare":0.21,"ColdUs":16000000,"DrainGraceUs":2000000,"FallMultiple":4.0,"OverloadForUs":3000000},
"ScoringMix":{"Whole":0.55,"WorstClass":0.2,"WorstTenant":0.0,"WorstWindow":0.25},"SelfIndex":0,"ServiceType":"place","TickUs":2000,
"Tier":0,"Tiers":["efir-fleet"],"ValueBy":"work","WeightKind":"none","Zone":"hall-a","Zones":["hall-a","hall-b","hall-c"]}`

type orchestrator struct {
	record *record
	root   string // of the repository
	dir    string // a temporary folder
	addr   string
	conf   string // operators' file, "" for that of the repository
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
	return &orchestrator{record: r, root: root, dir: dir, addr: addr}, nil
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
	if err := json.Unmarshal([]byte(settings), &compact); err != nil {
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
	if err := cmd.Start(); err != nil {
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
