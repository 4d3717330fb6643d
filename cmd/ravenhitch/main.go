// Command ravenhitch is one orchestrator on real sockets. This file owns its
// start and its end: limits, signals and the order in which the parts are joined.
// It must never decide on a task, and never end while a request that was taken
// can still be answered in time.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"ravenhitch/internal/config"
	"ravenhitch/internal/core"
	"ravenhitch/internal/loop"
	"ravenhitch/internal/platform"
)

const (
	// stillComing is how long after SIGTERM requests keep coming.
	stillComing = 800_000
	// lastCall is how long after SIGTERM what is still open is answered: the kill
	// comes no sooner than 3.7 s after it.
	lastCall = 3_100_000
	// spareSockets are descriptors that are no sockets of the loop: standard
	// streams, epoll, eventfd, and what the runtime opens for itself.
	spareSockets = 32
)

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := run(log); err != nil {
		fmt.Fprintln(os.Stderr, "ravenhitch:", err)
		os.Exit(1)
	}
}

func run(log *slog.Logger) error {
	path := os.Getenv("ROUTER_CONFIG")
	if path == "" {
		return errors.New("ROUTER_CONFIG is not set")
	}
	cfg, err := config.Load(path)
	if err != nil {
		return err
	}
	if v := os.Getenv("ROUTER_LISTEN"); v != "" {
		cfg.Listen = v
	}
	if v := os.Getenv("ROUTER_NAME"); v != "" {
		cfg.Name = v
	}
	log = log.With("name", cfg.Name)
	runtime.GOMAXPROCS(1)
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(cfg.MemoryMB << 20 * 6 / 10)
	}
	sockets := int(cfg.Sockets)
	if sockets <= 0 {
		sockets = 1024
	}
	l, err := loop.New(max(16, sockets-spareSockets))
	if err != nil {
		return err
	}
	defer l.Close()
	nodes := platform.NewNodes(l, cfg.DialTimeoutUs, log)
	c, err := core.New(cfg.Settings, cfg.Seed, nodes, log)
	if err != nil {
		return err
	}
	nodes.Use(c)
	front := platform.NewFront(l, c, sockets/2, log)
	channel := platform.NewChannel(l, c, nodes, cfg.Channel, cfg.DialTimeoutUs, log)
	channel.Apply(cfg.Known, true)
	channel.Start()
	addr, err := front.Listen(cfg.Listen)
	if err != nil {
		return err
	}
	log.Info("serving", "listen", addr, "known", cfg.Known.Cursor)

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		l.Post(func() {
			log.Info("told to end", "open", c.Open(), "standing", c.Standing())
			end(l, c, l.Now())
		})
	}()
	var timer *loop.Timer
	var due int64
	err = l.Run(func(now int64) {
		nodes.Gather()
		c.Turn(now)
		if next := c.Next(); next != due || !timer.Pending() {
			timer.Stop()
			if due = next; due > 0 {
				timer = l.At(due, func() {})
			}
		}
	})
	log.Info("ended", "counts", fmt.Sprintf("%+v", c.Counts()))
	return err
}

// end keeps serving while requests still come, then ends once nothing is open,
// and answers what is left before the kill comes.
func end(l *loop.Loop, c *core.Core, since int64) {
	switch age := l.Now() - since; {
	case age >= lastCall:
		c.Quit(l.Now())
		l.Stop()
	case age >= stillComing && c.Open() == 0:
		l.Stop()
	default:
		l.After(10_000, func() { end(l, c, since) })
	}
}
