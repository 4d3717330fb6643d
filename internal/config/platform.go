// Package config owns the form of the configuration and of the command
// channel's lists, both decoded with gjson. It holds no state, opens nothing but
// the configuration file, and never fills in a figure that the settings lack:
// what they mean is decided in package wire, for the simulator's wire and for
// this one alike.
package config

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"ravenhitch/internal/simwire"
	"ravenhitch/placement"
)

// ErrConfig is wrapped by every error of this package.
var ErrConfig = errors.New("configuration")

// Config is what an orchestrator is told at its start.
type Config struct {
	Name, Listen, DiscoveryAddr string
	AdminAddr                   string // where operators' staff call, "" where nobody does
	Inherited                   int    // the descriptor of the listening socket that the platform holds, or 0
	Seed                        uint64
	MemoryMB, Sockets           int64
	DialTimeoutUs               int64
	ConnIdleUs                  int64 // 0: idle connections stay
	Initial                     Update
	Settings                    placement.Settings
}

// Update is what the command channel tells.
type Update struct {
	Cursor int64
	Events []Event
	Bad    []error // members that were left out
}

// Event is one numbered event of the command channel.
type Event struct {
	Cursor   int64
	HasNodes bool
	Complete bool
	Members  []Member
}

// Member is one minion of a list.
type Member struct {
	placement.Entry
	Addr string
}

// Load reads the configuration file.
func Load(path string) (Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	return Parse(b)
}

// Parse reads a configuration.
func Parse(b []byte) (Config, error) {
	if !gjson.ValidBytes(b) {
		return Config{}, fmt.Errorf("%w: not valid JSON", ErrConfig)
	}
	j := gjson.ParseBytes(b)
	c := Config{
		Name: j.Get("name").String(), Listen: j.Get("listen").String(), DiscoveryAddr: j.Get("channel").String(),
		MemoryMB: j.Get("limits.memory_mb").Int(), Sockets: j.Get("limits.sockets").Int(),
		DialTimeoutUs: j.Get("settings.Limits.DialTimeoutUs").Int(),
		ConnIdleUs:    max(0, j.Get("settings.Limits.ConnIdleUs").Int()),
	}
	c.AdminAddr = j.Get("mgmt").String()
	places := map[string]string{"listen": c.Listen, "channel": c.DiscoveryAddr}
	if c.AdminAddr != "" {
		places["mgmt"] = c.AdminAddr
	}
	for name, addr := range places {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return Config{}, fmt.Errorf("%w: %s: expected address:port, got %.60q", ErrConfig, name, addr)
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(j.Get("seed").String(), 16, 64); err != nil {
		return Config{}, fmt.Errorf("%w: seed: expected up to 16 hex digits, got %.40q", ErrConfig, j.Get("seed").String())
	}
	if c.Initial, err = update(j.Get("known")); err == nil && len(c.Initial.Bad) > 0 {
		err = c.Initial.Bad[0]
	}
	if err != nil {
		return Config{}, fmt.Errorf("known: %w", err)
	}
	if !j.Get("settings").IsObject() {
		return Config{}, fmt.Errorf("%w: settings: expected an object", ErrConfig)
	}
	if c.Settings, err = simwire.Settings(Pairs(j.Get("settings"))); err != nil {
		return Config{}, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	if c.DialTimeoutUs <= 0 {
		return Config{}, fmt.Errorf("%w: settings.Limits.DialTimeoutUs: expected a time above 0", ErrConfig)
	}
	return c, nil
}

// Pairs lays nested settings out as the path=value pairs of the simulator's wire.
func Pairs(j gjson.Result) []string {
	var out []string
	flatten("", j, &out)
	return out
}

func flatten(path string, j gjson.Result, out *[]string) {
	under := func(name string) string {
		if path == "" {
			return name
		}
		return path + "." + name
	}
	switch {
	case j.IsObject():
		j.ForEach(func(k, v gjson.Result) bool {
			flatten(under(k.String()), v, out)
			return true
		})
	case j.IsArray():
		items := j.Array()
		if len(items) > 0 && items[0].IsObject() {
			*out = append(*out, under("count")+"="+strconv.Itoa(len(items)))
			for i, v := range items {
				flatten(under(strconv.Itoa(i)), v, out)
			}
			return
		}
		var parts []string
		for _, v := range items {
			parts = append(parts, plain(v))
		}
		*out = append(*out, path+"="+strings.Join(parts, ","))
	default:
		*out = append(*out, path+"="+plain(j))
	}
}

var plainer = strings.NewReplacer(" ", "_", ",", "_")

func plain(j gjson.Result) string {
	if j.Type == gjson.Null {
		return "-"
	}
	return plainer.Replace(j.String())
}

// ParseUpdate reads an answer of the command channel.
func ParseUpdate(b []byte) (Update, error) {
	if !gjson.ValidBytes(b) {
		return Update{}, fmt.Errorf("%w: not valid JSON", ErrConfig)
	}
	return update(gjson.ParseBytes(b))
}

var states = map[string]placement.WorkerState{"up": placement.Ready, "draining": placement.Draining,
	"removed": placement.Removed}

func update(j gjson.Result) (Update, error) {
	if !j.IsObject() {
		return Update{}, fmt.Errorf("%w: expected an object", ErrConfig)
	}
	u := Update{Cursor: j.Get("cursor").Int()}
	j.Get("cmds").ForEach(func(_, v gjson.Result) bool {
		ev := Event{Cursor: v.Get("cursor").Int()}
		if n := v.Get("nodes"); n.IsObject() {
			ev.HasNodes, ev.Complete = true, n.Get("complete").Bool()
			n.Get("members").ForEach(func(_, v gjson.Result) bool {
				// One bad member must not keep the others from being heard of.
				if m, err := member(v); err != nil {
					u.Bad = append(u.Bad, err)
				} else {
					ev.Members = append(ev.Members, m)
				}
				return true
			})
		}
		u.Events = append(u.Events, ev)
		return true
	})
	return u, nil
}

func member(v gjson.Result) (Member, error) {
	m := Member{Addr: v.Get("host_port").String(), Entry: placement.Entry{
		Worker: v.Get("id").String(), Kind: v.Get("flavor").String(), Zone: v.Get("locality").String(),
		Cell: int(v.Get("cell").Int()), StartedAtUs: v.Get("up_since_ms").Int() * 1000,
		FreeCores: v.Get("spare.0").Float(), FreeMemory: v.Get("spare.1").Float(),
	}}
	if m.Worker == "" {
		return m, fmt.Errorf("%w: a member without an id", ErrConfig)
	}
	var ok bool
	if m.State, ok = states[v.Get("phase").String()]; !ok {
		return m, fmt.Errorf("%w: member %.40q: phase %.40q is unknown", ErrConfig, m.Worker, v.Get("phase").String())
	}
	if _, err := netip.ParseAddrPort(m.Addr); err != nil && m.State != placement.Removed {
		return m, fmt.Errorf("%w: member %.40q: host_port %.60q is no address", ErrConfig, m.Worker, m.Addr)
	}
	return m, nil
}
