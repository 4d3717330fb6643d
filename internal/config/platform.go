// Package config owns the formats of an orchestrator's configuration: the configuration file of the
// platform and discovery's lists of workers, which are both JSON, and the operators' file. It must
// never keep state or open any other file. It must also never supply a value for a missing setting of
// the scheduler. Package simwire alone defines the defaults, both for the simulator's wire and for
// the configuration.
package config

// This file owns the configuration file of the platform, which it parses with gjson.

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"github.com/tidwall/gjson"

	"ravenhitch/internal/simwire"
	"ravenhitch/placement"
)

// Config is the configuration with which an orchestrator starts.
type Config struct {
	Name, Listen, DiscoveryAddr string
	AdminAddr                   string // address for admin calls, or "" for none
	InheritedFD                 int    // descriptor of an inherited listening socket, or 0; not set by Parse
	Seed                        uint64
	MemoryMB, Sockets           int64 // limits of the process: memory in MB and number of sockets; 0 if missing
	DialTimeoutUs               int64
	ConnIdleUs                  int64 // idle time after which a connection of a JSON lines client is closed; 0: never
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

// validateAddresses checks that each address has the form address:port. The address for admin calls may
// also be empty.
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

// parseSeed parses the seed of the random numbers, which is hexadecimal.
func parseSeed(text string) (uint64, error) {
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, &FieldError{Field: "seed", Want: "up to 16 hex digits", Got: fmt.Sprintf("%.40q", text)}
	}
	return seed, nil
}

// parseInitial parses the initial list of workers. It returns an error if any worker in it is invalid.
func parseInitial(known gjson.Result) (Update, error) {
	initial, err := ParseUpdate([]byte(known.Raw))
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
	settings, err := simwire.ParseSettings(Pairs(object))
	if err != nil {
		return placement.Settings{}, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	return settings, nil
}
