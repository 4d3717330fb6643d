// Command standin plays the cases of the review against the project's own programs. It exits with 1 if the rule of the case
// was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// scene is what a case plays in.
type scene struct {
	record  *record
	root    string
	dir     string
	trouble bool
	seed    int64         // SEED, or drawn from the time
	orch    *orchestrator // the only one, where a case needs no more

	mu   sync.Mutex
	more []*orchestrator // others, which are ended too if the case is interrupted
}

func (s *scene) started(o *orchestrator) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.more = append(s.more, o)
}

// verdict is the result of a case: the breaks of its rule, or why it could not run.
type verdict struct {
	breaks []string
	failed error
}

// cases are the cases and search tools by name; each file registers its own.
var cases = map[string]func(*scene) verdict{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	root, err := filepath.Abs(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s := &scene{record: r, root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", seed: time.Now().UnixNano()}
	if text := os.Getenv("SEED"); text != "" {
		if s.seed, err = strconv.ParseInt(text, 10, 64); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
	}
	r.log("case %s, seed %d, trouble %v", name, s.seed, s.trouble)
	fmt.Printf("case %s, seed %d, trouble %v\n", name, s.seed, s.trouble)
	if s.orch, err = newOrchestrator(r, root, dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	result := make(chan verdict, 1)
	go func() { result <- cases[name](s) }()
	var v verdict
	select {
	case v = <-result:
	case got := <-interrupted:
		v.failed = fmt.Errorf("ended by %v", got)
	}
	s.orch.stop()
	s.mu.Lock()
	var stops sync.WaitGroup
	for _, o := range s.more {
		stops.Go(o.stop)
	}
	s.mu.Unlock()
	stops.Wait()
	code := 0
	switch {
	case v.failed != nil:
		r.log("the case could not run: %v", v.failed)
		fmt.Println("could not run:", v.failed)
		code = 2
	case len(v.breaks) > 0:
		for _, b := range v.breaks {
			r.log("BROKEN: %s", b)
			fmt.Println("broken:", b)
		}
		code = 1
	default:
		r.log("the rule held")
		fmt.Println("held")
	}
	return code
}
