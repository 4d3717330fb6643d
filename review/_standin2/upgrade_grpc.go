package main

import (
	"bufio"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"ravenhitch/internal/testbed"
)

// upgradeTime is the time within which the new process says yes.
const upgradeTime = 6 * time.Second

// upgradeWithGRPC starts the program a second time, as the platform does for a new version: with another second address and
// everything else unchanged. The operators' file turns the gRPC front on. With TROUBLE=plain it does not.
func upgradeWithGRPC(h *harness) {
	m := h.newMinion("s-a1", "hall-a")
	discovery := testbed.NewDiscovery(h)
	discovery.Add(true, m.entry(m.listen("n0"), "up"))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.cannotRun("%v", err)
	}
	inherited, err := listener.(*net.TCPListener).File()
	if err != nil {
		h.cannotRun("%v", err)
	}
	listen := listener.Addr().String()
	config := testbed.Deployment{Orchestrators: 3, MaxRetryAfter: 3 * time.Second}.Config(0, listen, "",
		discovery.Server.Listener.Addr().String(), 7, discovery)
	configPath, operatorsPath := filepath.Join(h.dir, "config.json"), filepath.Join(h.dir, "operators.conf")
	operators := "[grpc]\nlisten " + h.freeAddress() + "\n"
	if os.Getenv("TROUBLE") == "plain" {
		operators = ""
	}
	tmp := filepath.Join(h.dir, "tmp")
	for path, text := range map[string]string{configPath: config, operatorsPath: operators} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			h.cannotRun("%v", err)
		}
	}
	if err := os.Mkdir(tmp, 0o700); err != nil {
		h.cannotRun("%v", err)
	}
	begin := func(name string) (*testbed.Process, string) {
		mgmt := h.freeAddress()
		p := &testbed.Process{Name: name, Bin: "/bin/sh", Args: []string{"-c", h.runCommand() + " -conf " + operatorsPath},
			Env: []string{"ROUTER_CONFIG=" + configPath, "TMPDIR=" + tmp, "ROUTER_MGMT=" + mgmt, "ROUTER_INHERITED_FD=3"},
			StartCommand: func(cmd *exec.Cmd) error {
				cmd.ExtraFiles = []*os.File{inherited}
				return startCommand(cmd)
			}}
		if err := p.Start(); err != nil {
			h.cannotRun("%v", err)
		}
		h.Cleanup(func() {
			p.End(syscall.SIGKILL)
			for _, line := range p.Lines() {
				h.note("log of %s: %s", name, line)
			}
		})
		h.note("%s is started, second address %s", name, mgmt)
		return p, mgmt
	}
	old, oldAddr := begin("old")
	if !h.waitFor(upgradeTime, func() bool { return h.call(oldAddr, "HEALTH") == "+OK" }) {
		h.cannotRun("the old process is not ready")
	}
	client := h.dialOwner("owner", listen)
	place := func(tag, key string) {
		client.send(testbed.StartLine(tag, "guide-web", key, 5000))
		if !h.waitFor(5*time.Second, func() bool { return len(client.messages(tag, "STARTED")) == 1 }) {
			h.cannotRun("the task %s was not placed", key)
		}
	}
	place(testbed.RequestID(1), "web-1")
	if !h.trouble {
		return
	}
	next, nextAddr := begin("new")
	ready := h.waitFor(upgradeTime, func() bool { return !next.IsRunning() || h.call(nextAddr, "HEALTH") == "+OK" })
	switch {
	case !next.IsRunning():
		code, _ := next.Exit()
		h.breaks("the new process ended by itself with exit code %d: %s", code, strings.Join(next.Lines(), " / "))
	case !ready:
		h.breaks("the new process was not ready within %v", upgradeTime)
	default:
		h.note("the new process says yes")
		old.Signal(syscall.SIGTERM)
		h.sleep(2 * time.Second)
		if !next.IsRunning() {
			h.breaks("the new process ended by itself")
		}
	}
}

// call makes one call at a second address and returns the answer, or "".
func (h *harness) call(addr, line string) string {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return ""
	}
	defer testbed.CloseQuietly(conn)
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write([]byte(line + "\n")); err != nil {
		return ""
	}
	answer, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(answer)
}
