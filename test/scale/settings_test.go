package scale

import (
	"encoding/json"
	"fmt"
	"strings"
)

// This file contains the configuration of an orchestrator.

const memoryLimitMB = 192

// settings returns the settings of one orchestrator in the platform's format.
func settings(index int, o options) map[string]any {
	var parties, requestClasses []map[string]any
	var shares []float64
	fleetCores := 0.0
	for i := range o.workers {
		fleetCores += kinds[i%len(kinds)].Cores
	}
	for i := range tenants {
		parties = append(parties, map[string]any{"Name": tenantName(i)})
		shares = append(shares, fleetCores/tenants)
	}
	var names []string
	var cores, memory []float64
	for _, k := range kinds {
		names, cores, memory = append(names, k.Name), append(cores, k.Cores), append(memory, k.Memory)
	}
	perClass := func(value any) (values []any) {
		for range classes {
			values = append(values, value)
		}
		return values
	}
	for _, c := range classes {
		importance := 1.0
		if c.urgent {
			importance = 5
		}
		requestClasses = append(requestClasses, map[string]any{
			"Name": c.name, "Semantics": c.semantics, "Group": "all", "Importance": importance,
			"OnTimeUs": c.latencyObjective.Microseconds(), "DeadlineUs": c.responseTimeout.Microseconds(),
			"WindowUs": repeatWindow.Microseconds(),
		})
	}
	return map[string]any{
		"SelfIndex": index, "FleetSize": o.fleetSize, "Zone": zoneNames()[index%zones], "Discovery": "subscribe", "TickUs": 2000,
		"OverShareWorth": 0.3, "Flavors": names, "Parties": parties,
		"FamilyInfo": map[string]any{"View": true, "SaysYes": "accepted", "CoresMultiple": 1.0, "MemoryMultiple": 1.0,
			"SizeCores": cores, "MemoryByKind": memory, "UnitCores": meanCores, "UnitMemory": 2 * meanCores, "Counts": "asked",
			"ApartBy": perClass("none"), "CalmLevel": perClass(0.8), "LostAfter": perClass(0.25), "KindByClass": perClass(-1),
			"ClassMost": perClass(0), "ClassStartS": perClass(10), "FreshOffers": 25.0, "ShareCores": shares},
		"Limits": map[string]any{"AttemptsCap": 3, "Probes": true, "RetryAfter": true, "Cancel": true, "DialTimeoutUs": 250_000,
			"MaxRetryAfterUs": 3_000_000, "ConnIdleUs": o.idle.Microseconds()},
		"Report": map[string]any{"How": "answers", "Fields": []string{"x0", "x1"}},
		"Rules": map[string]any{"AnswerSlackUs": 8000, "AskWithinUs": 10_000_000, "ColdShare": 0.21, "ColdUs": 16_000_000,
			"DrainGraceUs": 2_000_000, "FallMultiple": 4.0, "OverloadForUs": 3_000_000},
		"RequestClasses": requestClasses,
	}
}

// configuration returns the configuration file for the next start of an orchestrator.
func (o *orchestrator) configuration() ([]byte, error) {
	text, err := json.Marshal(map[string]any{"name": o.Name, "listen": o.listenAddress(), "mgmt": o.adminAddress(),
		"seed":    fmt.Sprintf("%x", o.rig.options.seed*1000+uint64(o.index*10+o.starts+1)),
		"limits":  map[string]any{"cores": 1.0, "memory_mb": memoryLimitMB, "sockets": o.rig.options.sockets},
		"channel": o.subscription.Address(), "known": json.RawMessage(o.subscription.InitialList()), "settings": settings(o.index, o.rig.options)})
	if err != nil {
		return nil, fmt.Errorf("marshal configuration of %s: %w", o.Name, err)
	}
	return text, nil
}

// operatorsFile returns the operators' file of an orchestrator. Unless -peers=false is set, the file names the
// other orchestrators.
func (o *orchestrator) operatorsFile() string {
	text := ""
	if o.rig.options.keepAlive > 0 {
		text = fmt.Sprintf("[workers]\nkeepalive %s\n", o.rig.options.keepAlive)
	}
	if o.rig.options.logs != "" {
		text += "[log]\nlevel debug\n"
	}
	if !o.rig.options.peers {
		return text
	}
	text += fmt.Sprintf("[peers]\nlisten %s\ncluster scale\n", o.peerAddress())
	for _, other := range o.rig.orchestrators {
		if other != o {
			text += fmt.Sprintf("member %s %s %s\n", other.Name, other.peerAddress(), other.zone())
		}
	}
	if o.rig.options.partition {
		text += "partition on\n" + o.rig.options.regionLines()
	}
	return text
}

// regionLines returns the lines of the operators' file that define the regions.
func (o options) regionLines() (text string) {
	zones := map[string][]string{}
	for zone, region := range o.regions() {
		zones[region] = append(zones[region], zone)
	}
	for region, names := range zones {
		text += fmt.Sprintf("region %s %s\n", region, strings.Join(names, " "))
	}
	return text
}

// zone returns the zone of an orchestrator.
func (o *orchestrator) zone() string { return zoneNames()[o.index%zones] }
