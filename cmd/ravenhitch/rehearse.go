package main

// This file owns the rehearse sub-command. It starts a fleet of orchestrators as processes, plays a schedule of
// faults and writes a recording. It serves no clients, ends by itself, and leaves no process running.

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/fleet"
)

// defaultSchedule is played if no other schedule and no seed is given. It cuts off a zone, kills an orchestrator
// while the zone is cut off, ends both faults, and finally pauses an orchestrator.
const defaultSchedule = "2s cut hall-b; 5s kill n3; 9s mend hall-b; 11s start n3; 14s pause n2 2s; 17s heal"

type rehearseCommand struct {
	Orchestrators int      `default:"5" help:"How many orchestrators, 2 to 32."`
	Workers       int      `name:"nodes" default:"4" help:"How many nodes, 1 to 64."`
	Seconds       int      `default:"20" help:"How long the schedule is played, 5 to 3600."`
	Schedule      string   `placeholder:"TEXT" xor:"schedule" help:"The faults, as '2s cut n0->n1; 6s kill n2; 9s heal'."`
	ScheduleFile  string   `name:"file" placeholder:"FILE" xor:"schedule" help:"A file with the faults."`
	Seed          uint64   `placeholder:"N" xor:"schedule" help:"Draw the faults from a seed."`
	Programs      []string `name:"program" placeholder:"FILE" help:"The program to start, this one unless it is named; several are taken in turn."`
	OutputDir     string   `name:"out" default:"rehearsal" placeholder:"FOLDER" help:"Where the record and the picture go."`
}

// Run plays the rehearsal and prints its progress to out.
func (c *rehearseCommand) Run(out io.Writer) (err error) {
	if err := c.checkBounds(); err != nil {
		return err
	}
	if err := c.setDefaultProgram(); err != nil {
		return err
	}
	steps, err := c.parseSchedule()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "rehearsal")
	if err != nil {
		return err
	}
	// An error is ignored, because dir contains only settings and stored files of processes that have ended.
	defer func() { _ = os.RemoveAll(dir) }()
	host := &rehearsalHost{out: out}
	defer host.runCleanups()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(interrupts)
	defer func() {
		if reason := recover(); reason != nil {
			err = host.recoverFatal(reason)
		}
	}()
	return c.play(host, dir, steps, interrupts)
}

// checkBounds returns an error if the value of a numeric flag is out of bounds.
func (c *rehearseCommand) checkBounds() error {
	for _, flag := range []struct {
		name            string
		value, min, max int
	}{
		{"orchestrators", c.Orchestrators, 2, 32},
		{"nodes", c.Workers, 1, 64},
		{"seconds", c.Seconds, 5, 3600},
	} {
		if flag.value < flag.min || flag.value > flag.max {
			return fmt.Errorf("--%s: expected %d to %d, got %d", flag.name, flag.min, flag.max, flag.value)
		}
	}
	return nil
}

// setDefaultProgram makes the rehearsal start this program if the flags name no program.
func (c *rehearseCommand) setDefaultProgram() error {
	if len(c.Programs) > 0 {
		return nil
	}
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	c.Programs = []string{executable}
	return nil
}

// parseSchedule returns the steps of the schedule that the flags give, or of defaultSchedule if the flags give neither
// a schedule nor a seed. It returns no steps if the schedule is to be drawn from a seed.
func (c *rehearseCommand) parseSchedule() ([]testbed.Step, error) {
	text := c.Schedule
	if c.ScheduleFile != "" {
		b, err := os.ReadFile(c.ScheduleFile)
		if err != nil {
			return nil, err
		}
		text = strings.ReplaceAll(strings.TrimSpace(string(b)), "\n", ";")
	} else if text == "" && c.Seed == 0 {
		text = defaultSchedule
	}
	return testbed.ParseSchedule(text)
}

// play starts the fleet, plays the schedule and writes the recording.
func (c *rehearseCommand) play(host *rehearsalHost, dir string, steps []testbed.Step, interrupts <-chan os.Signal) error {
	host.printf("starting %d orchestrators and %d nodes\n", c.Orchestrators, c.Workers)
	rig := fleet.New(host, fleet.Options{Programs: c.Programs, Dir: dir, Orchestrators: c.Orchestrators, Workers: c.Workers,
		Seed: max(1, c.Seed)})
	length := time.Duration(c.Seconds) * time.Second
	if len(steps) == 0 {
		steps = rig.DrawSchedule(c.Seed, length)
	}
	if err := rig.CheckSchedule(steps); err != nil {
		return err
	}
	host.printf("playing for %s: %s\n", length, testbed.FormatSchedule(steps))
	rig.StartSampling()
	placed := rig.SubmitTasks(length)
	if err := showUntilPlayed(host, rig, placed, steps, length, interrupts); err != nil {
		return err
	}
	return c.saveRecording(host, rig, placed, steps)
}

// showUntilPlayed plays the schedule and shows the progress every second. If an interrupt ends the rehearsal
// early, the goroutine that plays the schedule is not stopped. It ends when the process exits, which happens right
// after the cleanups of the rehearsal.
func showUntilPlayed(host *rehearsalHost, rig *fleet.Fleet, placed *fleet.Placements, steps []testbed.Step, length time.Duration,
	interrupts <-chan os.Signal) error {
	played := make(chan struct{})
	go func() {
		rig.RunSchedule(steps, length)
		placed.Wait()
		close(played)
	}()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	progress := newProgressTable(host.out)
	for {
		select {
		case <-ticker.C:
			if snapshot, ok := rig.LatestSnapshot(); ok {
				progress.show(snapshot, placed.Seconds())
			}
		case <-interrupts:
			return fmt.Errorf("%w: interrupted by a signal", errEndedEarly)
		case <-played:
			return nil
		}
	}
}
