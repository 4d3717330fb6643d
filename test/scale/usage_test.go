package scale

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// This file reads the resource usage of a process from /proc.

// usage holds the resources that a process has used so far, its resident memory, and the number of its open
// descriptors.
type usage struct {
	cpuSeconds  float64
	residentMB  float64 // resident memory in MiB
	peakMB      float64 // maximum of residentMB so far, in MiB
	descriptors int
	read        int64 // bytes that the process read from files and sockets, without datagrams
	written     int64 // bytes that the process wrote to files and sockets, without datagrams
}

// errNoThreads is the error for a process that has no threads because it has ended.
var errNoThreads = errors.New("process has ended: no threads")

// processUsage reads the resource usage of a running process.
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
			continue // the thread has ended
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

// fields parses the lines of a file that start with a name, a colon and an integer, and ignores the rest of such a
// line, for instance a unit. It skips other lines.
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
