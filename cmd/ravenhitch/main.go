// Command ravenhitch is one orchestrator on real sockets. This file owns the start of the
// process: what the environment and the files say, limits, and signals.
package main

import (
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"ravenhitch/internal/config"
)

func main() {
	path := flag.String("conf", "deploy/ravenhitch.conf", "the operators' file")
	flag.Func("edge", "no longer read; see -conf", func(string) error {
		fmt.Fprintln(os.Stderr, "ravenhitch: -edge is no longer read: what it named moved to deploy/ravenhitch.conf, see -conf")
		os.Exit(1)
		return nil
	})
	if len(os.Args) > 1 && !strings.HasPrefix(os.Args[1], "-") {
		os.Exit(command(os.Args[1:], os.Stdout, os.Stderr))
	}
	flag.Parse()
	if err := run(*path); err != nil {
		fmt.Fprintln(os.Stderr, "ravenhitch:", err)
		os.Exit(1)
	}
}

func run(edgePath string) error {
	path := os.Getenv("ROUTER_CONFIG")
	if path == "" {
		return errors.New("ROUTER_CONFIG is not set")
	}
	cfg, err := config.Load(path)
	if err != nil {
		return err
	}
	if err := override(&cfg); err != nil {
		return err
	}
	edge, err := config.LoadOperators(edgePath)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: edge.LogLevel}))
	runtime.GOMAXPROCS(1)
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(cfg.MemoryMB << 20 * 6 / 10)
	}
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	p, err := start(cfg, edge, log.With("name", cfg.Name))
	if err != nil {
		return err
	}
	go func() {
		for s := range signals {
			if s == syscall.SIGHUP {
				p.Reload(path)
			} else {
				p.Stop()
			}
		}
	}()
	return p.Run()
}

// override sets what the environment says in place of the configuration.
func override(cfg *config.Config) (err error) {
	if v := os.Getenv("ROUTER_LISTEN"); v != "" {
		cfg.Listen = v
	}
	if v := os.Getenv("ROUTER_MGMT"); v != "" {
		cfg.AdminAddr = v
	}
	if v := os.Getenv("ROUTER_INHERITED_FD"); v != "" {
		if cfg.Inherited, err = strconv.Atoi(v); err != nil || cfg.Inherited < 3 {
			return fmt.Errorf("ROUTER_INHERITED_FD: expected the number of a descriptor, 3 or more, got %.40q", v)
		}
	}
	if v := os.Getenv("ROUTER_NAME"); v != "" {
		cfg.Name = v
	}
	return nil
}

// Reload takes up the configuration file as it is now: of a running program only
// the command channel's address can change, the rest waits for a restart. The file
// is read and checked as a whole first; one that can't be used changes nothing. It
// may be called from any goroutine.
func (p *server) Reload(path string) {
	if p.grpcFront != nil && p.tokenKeysPath != "" {
		if keys, err := loadKeys(p.tokenKeysPath); err != nil {
			p.log.Error("retry token keys not reloaded", "err", err)
		} else {
			p.grpcFront.SetKeys(keys)
			p.log.Info("retry token keys reloaded")
		}
	}
	p.loop.Post(func() {
		cfg, err := config.Load(path)
		if err != nil {
			p.log.Error("configuration not reloaded", "err", err)
			return
		}
		p.log.Info("configuration reloaded", "channel", cfg.DiscoveryAddr)
		p.follower.SetAddress(cfg.DiscoveryAddr)
	})
}
