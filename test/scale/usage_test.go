package scale

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// This file owns what the kernel reports of a process.

// usage is what a process has used so far, and has open.
type usage struct {
	cpuSeconds  float64
	residentMB  float64
	peakMB      float64
	descriptors int
	read        int64 // bytes of all reads and writes, sockets among them; datagrams are not
	written     int64
}

// errNoThreads says that a process has ended.
var errNoThreads = errors.New("no threads")

// processUsage reads what the kernel reports of a process that runs.
func processUsage(pid int) (usage, error) {
	var u usage
	root := fmt.Sprintf("/proc/%d", pid)
	threads, err := filepath.Glob(root + "/task/*/schedstat")
	if err != nil {
		return u, fmt.Errorf("process %d: %w", pid, err)
	}
	if len(threads) == 0 {
		return u, fmt.Errorf("process %d: %w", pid, errNoThreads)
	}
	for _, thread := range threads {
		text, err := os.ReadFile(thread)
		if err != nil {
			continue // it has just ended
		}
		first, _, _ := strings.Cut(string(text), " ")
		ran, _ := strconv.ParseFloat(first, 64)
		u.cpuSeconds += ran / 1e9
	}
	status, err := fields(root + "/status")
	if err != nil {
		return u, err
	}
	u.residentMB, u.peakMB = float64(status["VmRSS"])/1024, float64(status["VmHWM"])/1024
	traffic, err := fields(root + "/io")
	if err != nil {
		return u, err
	}
	u.read, u.written = traffic["rchar"], traffic["wchar"]
	open, err := os.ReadDir(root + "/fd")
	u.descriptors = len(open)
	return u, err
}

// fields reads the lines of a file with a name, a colon and a whole number; others are left out.
func fields(path string) (map[string]int64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	values := map[string]int64{}
	for _, line := range strings.Split(string(text), "\n") {
		name, value, _ := strings.Cut(line, ":")
		words := strings.Fields(value)
		if len(words) == 0 {
			continue
		}
		if n, err := strconv.ParseInt(words[0], 10, 64); err == nil {
			values[name] = n
		}
	}
	return values, nil
}
