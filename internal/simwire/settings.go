package simwire

import (
	"fmt"
	"strconv"
	"strings"

	"ravenhitch/placement"
)

// conf holds the settings as they came. Reading keeps the first error.
type conf struct {
	m   map[string]string
	err error
}

func (c *conf) bad(key, want string) {
	if c.err == nil {
		c.err = fmt.Errorf("%w: %s: expected %s, got %.40q", ErrSetting, key, want, c.m[key])
	}
}

func (c *conf) num(key string) float64 {
	s, ok := c.m[key]
	if !ok || s == "" || s == "-" {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		c.bad(key, "a number")
	}
	return v
}

func (c *conf) int(key string) int64 { return int64(c.num(key)) }

func (c *conf) bool(key string) bool {
	s := c.m[key]
	return s == "true" || s == "1"
}

func (c *conf) list(key string) []string {
	s := c.m[key]
	if s == "" || s == "-" {
		return nil
	}
	return strings.Split(s, ",")
}

func (c *conf) nums(key string) []float64 {
	var out []float64
	for _, s := range c.list(key) {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil {
			c.bad(key, "numbers")
		}
		out = append(out, v)
	}
	return out
}

// perClass returns the list at key, which must have n items where it is there;
// a list that is not there is all def.
func (c *conf) perClass(key string, n int, def float64) []float64 {
	l := c.nums(key)
	if len(l) == 0 {
		for range n {
			l = append(l, def)
		}
	}
	if len(l) != n {
		c.bad(key, fmt.Sprintf("%d items, one for each class", n))
		return make([]float64, n)
	}
	return l
}

var effects = map[string]placement.Effect{
	"free": placement.Safe, "guarded": placement.Keyed, "single_shot": placement.Unsafe}

var scopes = map[string]placement.Scope{
	"": placement.ScopeNone, "none": placement.ScopeNone, "machine": placement.ScopeMachine,
	"cell": placement.ScopeCell, "zone": placement.ScopeZone, "all": placement.ScopeAll}

func (c *conf) scope(key, s string) placement.Scope {
	v, ok := scopes[s]
	if !ok {
		c.bad(key, "none, machine, cell, zone or all")
	}
	return v
}

// Settings reads the pairs of the Conf field. Unknown keys are skipped.
func Settings(pairs []string) (placement.Settings, error) {
	c := &conf{m: make(map[string]string, len(pairs))}
	for _, p := range pairs {
		k, v, ok := strings.Cut(p, "=")
		if !ok {
			return placement.Settings{}, fmt.Errorf("%w: expected path=value, got %.40q", ErrSetting, p)
		}
		c.m[k] = v
	}
	s := placement.Settings{
		SelfIndex:          int(c.int("SelfIndex")),
		FleetSize:          int(c.int("FleetSize")),
		Zone:               c.m["Zone"],
		OverQuotaWeight:    c.num("OverShareWorth"),
		PollsDiscovery:     c.m["Discovery"] == "subscribe",
		PollWithinUs:       c.int("Rules.AskWithinUs"),
		HasView:            c.bool("FamilyInfo.View"),
		AcceptMeansRunning: c.m["FamilyInfo.SaysYes"] == "running",
		Probes:             c.bool("Limits.Probes") && c.m["Report.How"] == "probe",
		Pings:              c.bool("Limits.Probes"),
		RetryAfter:         c.bool("Limits.RetryAfter"),
		Cancel:             c.bool("Limits.Cancel"),
		ReportsUsage:       c.m["FamilyInfo.Counts"] == "used",
		CoresOvercommit:    c.num("FamilyInfo.CoresMultiple"),
		MemoryOvercommit:   c.num("FamilyInfo.MemoryMultiple"),
		UnitCores:          c.num("FamilyInfo.UnitCores"),
		UnitMemory:         c.num("FamilyInfo.UnitMemory"),
		MaxAttempts:        int(c.int("Limits.AttemptsCap")),
		MigrationCost:      c.num("Prices.Moves"),
		AnswerSlackUs:      c.int("Rules.AnswerSlackUs"),
		DrainGraceUs:       c.int("Rules.DrainGraceUs"),
		ColdStartRate:      c.num("Rules.ColdShare"),
		WarmUpUs:           c.int("Rules.ColdUs"),
		SlowStartWindowUs:  c.int("Rules.OverloadForUs"),
		SlowStartOffers:    c.num("FamilyInfo.FreshOffers"),
		TickUs:             c.int("TickUs"),
		MaxRetryAfterUs:    c.int("Limits.MaxRetryAfterUs"),
	}
	for _, f := range c.list("Report.Fields") {
		s.ReportsFree = s.ReportsFree || f == "x0"
	}
	c.kinds(&s)
	c.classes(&s)
	c.tenants(&s)
	return s, c.err
}

func (c *conf) kinds(s *placement.Settings) {
	names := c.list("Flavors")
	cores, mem := c.nums("FamilyInfo.SizeCores"), c.nums("FamilyInfo.MemoryByKind")
	if len(cores) != len(names) {
		c.bad("FamilyInfo.SizeCores", fmt.Sprintf("%d items, one for each kind", len(names)))
		return
	}
	if len(mem) != len(names) {
		c.bad("FamilyInfo.MemoryByKind", fmt.Sprintf("%d items, one for each kind", len(names)))
		return
	}
	for i, n := range names {
		s.Kinds = append(s.Kinds, placement.Kind{Name: n, Cores: cores[i], Memory: mem[i]})
	}
}

func (c *conf) classes(s *placement.Settings) {
	n := int(c.int("RequestClasses.count"))
	if n < 0 || n > len(c.m) {
		c.bad("RequestClasses.count", "the number of classes")
		return
	}
	calm := c.perClass("FamilyInfo.CalmLevel", n, 1)
	fade := c.perClass("FamilyInfo.LostAfter", n, 1)
	kind := c.perClass("FamilyInfo.KindByClass", n, -1)
	most := c.perClass("FamilyInfo.ClassMost", n, 0)
	start := c.perClass("FamilyInfo.ClassStartS", n, 0)
	apart := c.list("FamilyInfo.ApartBy")
	if len(apart) == 0 {
		apart = make([]string, n)
	}
	if len(apart) != n {
		c.bad("FamilyInfo.ApartBy", fmt.Sprintf("%d items, one for each class", n))
		return
	}
	for i := range n {
		p := fmt.Sprintf("RequestClasses.%d.", i)
		e, ok := effects[c.m[p+"Semantics"]]
		if !ok {
			c.bad(p+"Semantics", "free, guarded or single_shot")
		}
		s.Classes = append(s.Classes, placement.Class{
			Name: c.m[p+"Name"], Effect: e, Group: c.scope(p+"Group", c.m[p+"Group"]),
			WindowUs: c.int(p + "WindowUs"), ObjectiveUs: c.int(p + "OnTimeUs"), DeadlineUs: c.int(p + "DeadlineUs"),
			Weight: c.num(p + "Importance"), StartBonusS: start[i], Kind: int(kind[i]),
			Spread: c.scope("FamilyInfo.ApartBy", apart[i]), MaxPerDomain: int(most[i]), SaturationLoad: calm[i], SaturationRange: fade[i],
		})
	}
}

func (c *conf) tenants(s *placement.Settings) {
	n := int(c.int("Parties.count"))
	if n <= 0 {
		return
	}
	share := c.nums("FamilyInfo.ShareCores")
	if len(share) != n {
		c.bad("FamilyInfo.ShareCores", fmt.Sprintf("%d items, one for each tenant", n))
		return
	}
	for i := range n {
		s.Tenants = append(s.Tenants, placement.Tenant{
			Name: c.m[fmt.Sprintf("Parties.%d.Name", i)], QuotaCores: share[i]})
	}
}
