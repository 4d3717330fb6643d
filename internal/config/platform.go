// Package config owns the form of what an orchestrator is configured by: the
// configuration of the platform and the lists of discovery, both JSON, and the operators'
// file. It must never hold state, open anything but these files, or fill in a setting that
// is missing: what the settings mean is decided in package simwire, for the simulator's
// wire and for the configuration alike.
package config

// This file owns the configuration of the platform, which is decoded with gjson.

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"github.com/tidwall/gjson"

	"ravenhitch/internal/simwire"
	"ravenhitch/placement"
)

// Config is the configuration that an orchestrator starts with.
type Config struct {
	Name, Listen, DiscoveryAddr string
	AdminAddr                   string // of the operators' calls, "" for none
	InheritedFD                 int    // descriptor of an inherited listening socket, or 0
	Seed                        uint64
	MemoryMB, Sockets           int64 // limits of the process
	DialTimeoutUs               int64
	ConnIdleUs                  int64 // 0: idle connections stay open
	Initial                     Update
	Settings                    placement.Settings
}

// Load reads the configuration file. Its errors wrap ErrConfig.
func Load(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	return Parse(text)
}

// Parse parses a configuration. Its errors wrap ErrConfig.
func Parse(text []byte) (Config, error) {
	if !gjson.ValidBytes(text) {
		return Config{}, errInvalidJSON
	}
	root := gjson.ParseBytes(text)
	c := Config{
		Name:          root.Get("name").String(),
		Listen:        root.Get("listen").String(),
		DiscoveryAddr: root.Get("channel").String(),
		AdminAddr:     root.Get("mgmt").String(),
		MemoryMB:      root.Get("limits.memory_mb").Int(),
		Sockets:       root.Get("limits.sockets").Int(),
		DialTimeoutUs: root.Get("settings.Limits.DialTimeoutUs").Int(),
		ConnIdleUs:    max(0, root.Get("settings.Limits.ConnIdleUs").Int()),
	}
	if err := c.validateAddresses(); err != nil {
		return Config{}, err
	}
	var err error
	if c.Seed, err = parseSeed(root.Get("seed").String()); err != nil {
		return Config{}, err
	}
	if c.Initial, err = parseInitial(root.Get("known")); err != nil {
		return Config{}, err
	}
	if c.Settings, err = parseSettings(root.Get("settings")); err != nil {
		return Config{}, err
	}
	if c.DialTimeoutUs <= 0 {
		return Config{}, &FieldError{Field: "settings.Limits.DialTimeoutUs", Want: "a time above 0"}
	}
	return c, nil
}

// validateAddresses checks the form of the addresses.
func (c *Config) validateAddresses() error {
	for _, field := range []struct {
		name, addr string
		optional   bool
	}{
		{"listen", c.Listen, false},
		{"channel", c.DiscoveryAddr, false},
		{"mgmt", c.AdminAddr, true},
	} {
		if field.optional && field.addr == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(field.addr); err != nil {
			return &FieldError{Field: field.name, Want: "address:port", Got: fmt.Sprintf("%.60q", field.addr)}
		}
	}
	return nil
}

// parseSeed parses the seed of random numbers.
func parseSeed(text string) (uint64, error) {
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, &FieldError{Field: "seed", Want: "up to 16 hex digits", Got: fmt.Sprintf("%.40q", text)}
	}
	return seed, nil
}

// parseInitial parses the list of workers at the start, which must be valid as a whole.
func parseInitial(known gjson.Result) (Update, error) {
	initial, err := parseUpdate(known)
	if err == nil && len(initial.InvalidWorkers) > 0 {
		err = initial.InvalidWorkers[0]
	}
	if err != nil {
		return Update{}, fmt.Errorf("known: %w", err)
	}
	return initial, nil
}

// parseSettings parses the settings of the scheduler.
func parseSettings(object gjson.Result) (placement.Settings, error) {
	if !object.IsObject() {
		return placement.Settings{}, &FieldError{Field: "settings", Want: "an object"}
	}
	settings, err := simwire.Settings(Pairs(object))
	if err != nil {
		return placement.Settings{}, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	return settings, nil
}
