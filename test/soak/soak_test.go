// Package soak plays short lives of the real program and judges them by what clients and workers saw: one to three
// processes serve drawn traffic beside drawn faults until signals end them, and clients go on using their connections
// until the platform's kill is due.
//
//	go test ./test/soak -run TestSoak -v -args -seeds 50 -first 1
//
// Each seed draws one life. A broken seed prints its command, its counts and the story of its first case.
//
// This file owns the flags and the test.
package soak

import (
	"flag"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"ravenhitch/internal/testbed"
)

var (
	seedsFlag = flag.Int("seeds", 24, "lives to play, each of a seed of its own")
	firstFlag = flag.Uint64("first", 1, "the first seed")
	lanesFlag = flag.Int("lanes", 4, "lives that are played at a time")
	logsFlag  = flag.String("logs", "", "folder for the logs of the processes; \"\": none")
)

// build builds the program once.
var build = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	return testbed.BuildProgram(directory)
})

// Every request has one response in time, every completion is reported, nothing runs twice or after its client left, and
// each process ends by itself before the kill, whatever fails meanwhile.
func TestSoak(t *testing.T) {
	binary, err := build()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := os.RemoveAll(filepath.Dir(binary)); err != nil {
			t.Error(err)
		}
	})
	var total verdict
	var mutex sync.Mutex
	lanes := make(chan struct{}, *lanesFlag)
	var lives sync.WaitGroup
	for i := range *seedsFlag {
		lanes <- struct{}{}
		lives.Go(func() {
			defer func() { <-lanes }()
			t.Run("", func(t *testing.T) {
				plan := drawPlan(*firstFlag + uint64(i))
				l := playLife(t, binary, plan)
				v := l.judge()
				t.Logf("soak seed=%d %s: %s", plan.seed, plan, v)
				l.saveLogs(*logsFlag)
				if v.broken() > 0 {
					t.Errorf("seed %d is broken: go test ./test/soak -run TestSoak -v -args -seeds 1 -first %d\n%s",
						plan.seed, plan.seed, v.story)
				}
				mutex.Lock()
				defer mutex.Unlock()
				total.add(v)
			})
		})
	}
	lives.Wait()
	t.Logf("soak: seeds=%d %s", *seedsFlag, total)
}
