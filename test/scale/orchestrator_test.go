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

// This file contains the processes of the orchestrators: their addresses, their start and end, and admin calls
// to them.

// Fixed ports of an orchestrator, so that its peer and admin addresses are known before it starts. Its loopback IP
// address depends on the process ID of the test and differs from the addresses of the workers.
const (
	peerPort  = 7101
	adminPort = 7102
)

// orchestrator is one orchestrator process. It can be started again after it has ended.
type orchestrator struct {
	testbed.Process
	rig           *rig
	index         int
	address       string // address for clients; set by the first start
	starts        int    // number of starts so far
	subscription  *hollow.Subscription
	clients       *pool
	prober        *prober
	admitted      atomic.Bool // whether clients may submit tasks to the orchestrator
	lastPeerBytes int64       // number of bytes of membership messages that the last admin reply stated
}

func newOrchestrator(r *rig, index int) (*orchestrator, error) {
	list, err := r.discovery.Subscribe()
	if err != nil {
		return nil, err
	}
	o := &orchestrator{Process: testbed.Process{Name: fmt.Sprint("n", index)}, rig: r, index: index, subscription: list}
	o.clients = newPool(o)
	o.prober = newProber(o)
	return o, nil
}

func (o *orchestrator) ownAddress(port int) string {
	return fmt.Sprintf("127.%d.240.%d:%d", 16+os.Getpid()%200, o.index+1, port)
}

func (o *orchestrator) peerAddress() string  { return o.ownAddress(peerPort) }
func (o *orchestrator) adminAddress() string { return o.ownAddress(adminPort) }

func (o *orchestrator) listenAddress() string {
	if o.address == "" {
		return "127.0.0.1:0"
	}
	return o.address
}

// start starts the process with the current worker list. It returns once the process logs that it serves
// clients.
func (o *orchestrator) start() error {
	directory := filepath.Join(o.rig.directory, o.Name)
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return err
	}
	config, operatorsFile := filepath.Join(directory, "config.json"), filepath.Join(directory, "ravenhitch.conf")
	text, err := o.configuration()
	if err != nil {
		return err
	}
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(operatorsFile, []byte(o.operatorsFile()), 0o600); err != nil {
		return err
	}
	o.starts++
	o.Bin, o.Args = o.rig.binary, []string{"-conf", operatorsFile}
	o.Env = []string{"ROUTER_CONFIG=" + config, "ROUTER_LISTEN=", "ROUTER_NAME=", "ROUTER_MGMT=", "TMPDIR=" + directory}
	if err := o.Start(); err != nil {
		return err
	}
	address, err := o.WaitForLog(fmt.Sprintf("msg=serving name=%s listen=", o.Name))
	if o.address == "" { // a restart uses the same address and must not write the field, because clients read it concurrently
		o.address = address
	}
	return err
}

// kill ends the process with SIGKILL.
func (o *orchestrator) kill() { o.End(syscall.SIGKILL) }

// adminTimeout limits the dial of an admin call, and separately the call and its reply.
const adminTimeout = 2 * time.Second

// adminCall makes an admin call as operators do and parses the line of JSON in the reply into response.
func (o *orchestrator) adminCall(call string, response any) error {
	conn, err := net.DialTimeout("tcp", o.adminAddress(), adminTimeout)
	if err != nil {
		return err
	}
	defer testbed.CloseQuietly(conn)
	if err := conn.SetDeadline(time.Now().Add(adminTimeout)); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(conn, call); err != nil {
		return err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(line), response)
}

// activeTasks returns the number of the orchestrator's tasks that are in flight or running.
func (o *orchestrator) activeTasks() (int, error) {
	var answer struct{ Active int }
	err := o.adminCall("DUMP", &answer)
	return answer.Active, err
}

// peerBytes returns the number of bytes of membership messages in both directions since the process
// started. If the orchestrator does not answer, peerBytes returns the number from its last answer.
func (o *orchestrator) peerBytes() int64 {
	var answer struct {
		Traffic struct {
			Sent     int64 `json:"sent_bytes"`
			Received int64 `json:"received_bytes"`
		} `json:"traffic"`
	}
	if o.adminCall("PEERS", &answer) == nil {
		o.lastPeerBytes = answer.Traffic.Sent + answer.Traffic.Received
	}
	return o.lastPeerBytes
}

// logBytes returns the length of the orchestrator's log in bytes.
func (o *orchestrator) logBytes() (n int64) {
	for _, line := range o.Lines() {
		n += int64(len(line) + 1)
	}
	return n
}

// warnings counts the warnings in the log by message. It also returns the first log line with each message.
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
