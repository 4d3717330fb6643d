package main

// chaos plays one kind of trouble at a time over a small fleet, and looks for breaks of several rules. It is a search tool.

import (
	"fmt"
	"os"
	"time"
)

func init() { cases["chaos"] = playChaos }

func playChaos(s *scene) verdict {
	nodes := 4
	if v := os.Getenv("NODES"); v != "" {
		if _, err := fmt.Sscan(v, &nodes); err != nil {
			return verdict{failed: err}
		}
	}
	book, err := playFleet(s, s.orch, fleetPlan{trouble: os.Getenv("KIND"), nodes: nodes, endings: os.Getenv("ENDINGS") != "", life: [2]time.Duration{2 * time.Second, 8 * time.Second},
		asking: 50 * time.Second, tail: 21 * time.Second})
	if err != nil {
		return verdict{failed: err}
	}
	return book.judge()
}
