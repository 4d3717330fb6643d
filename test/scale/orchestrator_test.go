package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/hollow"
)

// This file owns the orchestrators' processes: addresses, start, end, and what they tell.

// Addresses of an orchestrator. Those that others must know before it starts have a loopback
// address of this process's own, apart from the workers', and a fixed port.
const (
	peersPort  = 7101
	managePort = 7102
)

// orchestrator is one process, which may be started again.
type orchestrator struct {
	testbed.Process
	rig      *rig
	index    int
	address  string // where clients connect, once it has started
	starts   int
	list     *hollow.Subscription
	clients  *pool
	prober   *prober
	admitted atomic.Bool // clients may ask it
	peerMark int64       // bytes of peers' messages when they could last be asked for
}

func newOrchestrator(r *rig, index int) (*orchestrator, error) {
	list, err := r.source.Subscribe()
	if err != nil {
		return nil, err
	}
	o := &orchestrator{Process: testbed.Process{Name: fmt.Sprint("n", index)}, rig: r, index: index, list: list}
	o.clients = newPool(o)
	o.prober = newProber(o)
	return o, nil
}

func (o *orchestrator) own(port int) string {
	return fmt.Sprintf("127.%d.240.%d:%d", 16+os.Getpid()%200, o.index+1, port)
}

func (o *orchestrator) peers() string  { return o.own(peersPort) }
func (o *orchestrator) manage() string { return o.own(managePort) }

func (o *orchestrator) listen() string {
	if o.address == "" {
		return "127.0.0.1:0"
	}
	return o.address
}

// start starts it with the list as it is, and returns once it says that it serves.
func (o *orchestrator) start() error {
	directory := filepath.Join(o.rig.directory, o.Name)
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return err
	}
	config, edge := filepath.Join(directory, "config.json"), filepath.Join(directory, "ravenhitch.conf")
	text, err := o.configuration()
	if err != nil {
		return err
	}
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(edge, []byte(o.edge()), 0o600); err != nil {
		return err
	}
	o.starts++
	o.Process.Bin, o.Process.Args = o.rig.binary, []string{"-conf", edge}
	o.Process.Env = []string{"ROUTER_CONFIG=" + config, "ROUTER_LISTEN=", "ROUTER_NAME=", "ROUTER_MGMT=", "TMPDIR=" + directory}
	if err := o.Process.Start(); err != nil {
		return err
	}
	address, err := o.Process.WaitForLog(fmt.Sprintf("msg=serving name=%s listen=", o.Name))
	if o.address == "" { // it keeps its address, which clients read meanwhile
		o.address = address
	}
	return err
}

// kill ends it at once.
func (o *orchestrator) kill() { o.End(syscall.SIGKILL) }

// askPatience is how long an orchestrator may take to answer a call of its operators.
const askPatience = 2 * time.Second

// ask makes a call as operators do, and reads the line of JSON that answers it.
func (o *orchestrator) ask(call string, into any) error {
	c, err := net.DialTimeout("tcp", o.manage(), askPatience)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(askPatience))
	fmt.Fprintln(c, call)
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(line), into)
}

// active is how many tasks it knows of, open or running.
func (o *orchestrator) active() (int, error) {
	var told struct{ Active int }
	err := o.ask("DUMP", &told)
	return told.Active, err
}

// peerBytes is what it has exchanged with other orchestrators since its start, both ways; where
// it can't be asked, what it told last.
func (o *orchestrator) peerBytes() int64 {
	var told struct {
		Traffic struct {
			Sent     int64 `json:"sent_bytes"`
			Received int64 `json:"received_bytes"`
		} `json:"traffic"`
	}
	if o.ask("PEERS", &told) == nil {
		o.peerMark = told.Traffic.Sent + told.Traffic.Received
	}
	return o.peerMark
}

// logBytes is how much it has logged.
func (o *orchestrator) logBytes() (n int64) {
	for _, line := range o.Lines() {
		n += int64(len(line) + 1)
	}
	return n
}

// warnings counts its log's lines that are no plain information by their text, and returns the first
// of each.
func (o *orchestrator) warnings() (count map[string]int, first []string) {
	count = map[string]int{}
	for _, line := range o.Lines() {
		_, after, ok := strings.Cut(line, "level=WARN msg=")
		if !ok {
			continue
		}
		text, _, _ := strings.Cut(after, " name=")
		if count[text]++; count[text] == 1 {
			first = append(first, line)
		}
	}
	return count, first
}
