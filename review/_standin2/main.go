// Command review2 plays one case of the second review: it starts the program's processes and its own stand-ins, and
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// longest is the time after which a case is ended. It may take 120 s.
const longest = 110 * time.Second

// cases are the cases by name.
var cases = map[string]func(*harness){
	"stale-release":   staleRelease,
	"second-start":    secondStart,
	"ends-dropped":    endsDropped,
	"keyed-twice":     keyedTwice,
	"upgrade":         upgradeWithGRPC,
	"blind":           blind,
	"handed-lost":     handedLost,
	"ends-after-kill": endsAfterKill,
}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE")
		return 2
	}
	h, err := newHarness()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() {
		if problem := recover(); problem != nil {
			h.note("ended: %v", problem)
			fmt.Println("the case could not run:", problem)
			code = 2
		}
		h.close()
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case received := <-signals:
			h.note("ended by a signal: %v", received)
		case <-time.After(longest):
			h.note("ended: not over after %v", longest)
		}
		h.close()
		os.Exit(2)
	}()
	h.note("case %s, trouble %v", os.Args[1], h.trouble)
	cases[os.Args[1]](h)
	if len(h.broken) > 0 {
		fmt.Println("rule broken:", strings.Join(h.broken, "; "))
		return 1
	}
	h.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
