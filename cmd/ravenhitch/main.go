// Command ravenhitch runs one orchestrator, or one of its sub-commands (see runCommand). This file starts the
// process of an orchestrator: it reads the command line, the environment and the configuration files, sets the
// limits of the runtime, and handles signals. The serving itself belongs to the type server.
package main

import (
	"context"
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

const (
	// maxQueuedSignals is the maximum number of signals that wait to be handled; further signals are dropped.
	maxQueuedSignals = 8
	// firstInheritableFD is the lowest file descriptor that a process can inherit as a listening socket: the
	// descriptors below it belong to the standard streams.
	firstInheritableFD = 3
	// The memory limit of the Go runtime is memoryLimitNumerator/memoryLimitDenominator of the memory that
	// the process may use.
	memoryLimitNumerator, memoryLimitDenominator = 6, 10

	bytesPerMBShift = 20
)

func main() {
	operatorsPath := flag.String("conf", "deploy/ravenhitch.conf", "the operators' file")
	flag.Func("edge", "no longer read; see -conf", func(string) error {
		fmt.Fprintln(os.Stderr, "ravenhitch: -edge is no longer read: its settings are now in deploy/ravenhitch.conf, see -conf")
		os.Exit(1)
		return nil
	})
	if len(os.Args) > 1 && !strings.HasPrefix(os.Args[1], "-") {
		os.Exit(runCommand(os.Args[1:], os.Stdout, os.Stderr))
	}
	flag.Parse()
	if err := serve(*operatorsPath); err != nil && !errors.Is(err, errStopped) {
		fmt.Fprintln(os.Stderr, "ravenhitch:", err)
		os.Exit(1)
	}
}

// serve runs an orchestrator until a signal ends it. The path of the configuration file comes from the
// environment; operatorsPath is the path of the operators' file.
func serve(operatorsPath string) error {
	configPath := os.Getenv("ROUTER_CONFIG")
	if configPath == "" {
		return errors.New("environment variable ROUTER_CONFIG is not set; expected the path of the configuration file")
	}
	signals := make(chan os.Signal, maxQueuedSignals)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	starting, endStarting := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer endStarting()
	startLog := slog.New(slog.NewTextHandler(os.Stderr, nil))
	var cfg config.Config
	err := retryTransient(starting, startLog, "start", func() (err error) {
		cfg, err = config.Load(configPath)
		return err
	})
	if err != nil {
		return err
	}
	if err := overrideFromEnvironment(&cfg); err != nil {
		return err
	}
	var operators config.OperatorSettings
	err = retryTransient(starting, startLog, "start", func() (err error) {
		operators, err = config.LoadOperatorSettings(operatorsPath)
		return err
	})
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: operators.LogLevel}))
	setRuntimeLimits(cfg)
	server, err := start(starting, cfg, operators, log.With("name", cfg.Name))
	if err != nil {
		return err
	}
	go server.handleSignals(signals, configPath)
	return server.Run()
}

// setRuntimeLimits limits the Go runtime to one processor, because most of the work is done by one event loop. It
// also limits the memory of the runtime if the configuration sets a limit.
func setRuntimeLimits(cfg config.Config) {
	runtime.GOMAXPROCS(1)
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(cfg.MemoryMB << bytesPerMBShift * memoryLimitNumerator / memoryLimitDenominator)
	}
}

// handleSignals reloads on SIGHUP and stops the server on any other signal. It returns when the server has
// stopped. The signals stay registered until the process ends, because a late signal would otherwise kill the process.
// Reloads run on a goroutine of their own, because a slow disk must not delay a stop.
func (s *server) handleSignals(signals <-chan os.Signal, configPath string) {
	reloads := make(chan struct{}, 1)
	go s.runReloads(reloads, configPath)
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				s.Stop()
				continue
			}
			select {
			case reloads <- struct{}{}:
			default: // a reload that has not begun yet reads what this one would
			}
		case <-s.stopped:
			return
		}
	}
}

// overrideFromEnvironment replaces settings of the configuration by the values of environment variables.
func overrideFromEnvironment(cfg *config.Config) (err error) {
	if v := os.Getenv("ROUTER_LISTEN"); v != "" {
		cfg.Listen = v
	}
	if v := os.Getenv("ROUTER_MGMT"); v != "" {
		cfg.AdminAddr = v
	}
	if v := os.Getenv("ROUTER_INHERITED_FD"); v != "" {
		if cfg.InheritedFD, err = strconv.Atoi(v); err != nil || cfg.InheritedFD < firstInheritableFD {
			return fmt.Errorf("ROUTER_INHERITED_FD: expected the number of a descriptor, %d or more, got %.40q", firstInheritableFD, v)
		}
	}
	if v := os.Getenv("ROUTER_NAME"); v != "" {
		cfg.Name = v
	}
	return nil
}
