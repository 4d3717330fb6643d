package simwire

// This file maps the paths of settings on the wire to the settings of a scheduler. It adds no values for missing
// settings except the defaults in this file.

import (
	"fmt"
	"slices"
	"strings"

	"ravenhitch/placement"
)

var (
	// effects maps each wire value of the setting Semantics of a class to the Effect of the class.
	effects = map[string]placement.Effect{
		"free":        placement.Safe,
		"guarded":     placement.Keyed,
		"single_shot": placement.Unsafe,
	}
	// scopes maps the names of scopes on the wire to the scopes.
	scopes = map[string]placement.Scope{
		"":        placement.ScopeNone,
		"none":    placement.ScopeNone,
		"machine": placement.ScopeWorker,
		"cell":    placement.ScopeCell,
		"zone":    placement.ScopeZone,
		"all":     placement.ScopeAll,
	}
)

// ParseSettings parses path=value pairs into the settings of a scheduler. It ignores unknown paths. An
// error that it returns is a *SettingError.
func ParseSettings(pairs []string) (placement.Settings, error) {
	r := &settingsReader{values: make(map[string]string, len(pairs))}
	for _, pair := range pairs {
		path, value, found := strings.Cut(pair, "=")
		if !found {
			return placement.Settings{}, &SettingError{Want: "path=value", Got: pair}
		}
		r.values[path] = value
	}
	s := r.scalars()
	s.Kinds = r.kinds()
	s.Classes = r.classes()
	s.Tenants = r.tenants()
	return s, r.err
}

// scalars returns all settings except kinds, classes and tenants.
func (r *settingsReader) scalars() placement.Settings {
	return placement.Settings{
		SelfIndex:          int(r.int("SelfIndex")),
		FleetSize:          int(r.int("FleetSize")),
		Zone:               r.values["Zone"],
		OverQuotaWeight:    r.float("OverShareWorth"),
		PollsDiscovery:     r.values["Discovery"] == "subscribe",
		PollWithinUs:       r.int("Rules.AskWithinUs"),
		HasView:            r.bool("FamilyInfo.View"),
		AcceptMeansRunning: r.values["FamilyInfo.SaysYes"] == "running",
		Probes:             r.bool("Limits.Probes") && r.values["Report.How"] == "probe",
		Pings:              r.bool("Limits.Probes"),
		RetryAfter:         r.bool("Limits.RetryAfter"),
		Cancel:             r.bool("Limits.Cancel"),
		ReportsUsage:       r.values["FamilyInfo.Counts"] == "used",
		CoresOvercommit:    r.float("FamilyInfo.CoresMultiple"),
		MemoryOvercommit:   r.float("FamilyInfo.MemoryMultiple"),
		UnitCores:          r.float("FamilyInfo.UnitCores"),
		UnitMemory:         r.float("FamilyInfo.UnitMemory"),
		MaxAttempts:        int(r.int("Limits.AttemptsCap")),
		MigrationCost:      r.float("Prices.Moves"),
		AnswerSlackUs:      r.int("Rules.AnswerSlackUs"),
		DrainGraceUs:       r.int("Rules.DrainGraceUs"),
		ColdStartRate:      r.float("Rules.ColdShare"),
		WarmUpUs:           r.int("Rules.ColdUs"),
		SlowStartWindowUs:  r.int("Rules.OverloadForUs"),
		SlowStartOffers:    r.float("FamilyInfo.FreshOffers"),
		TickUs:             r.int("TickUs"),
		MaxRetryAfterUs:    r.int("Limits.MaxRetryAfterUs"),
		ReportsFree:        slices.Contains(r.list("Report.Fields"), "x0"),
	}
}

// kinds returns the kinds of worker. On the wire, their names and their sizes are separate lists, each with
// one item for each kind.
func (r *settingsReader) kinds() []placement.Kind {
	names := r.list("Flavors")
	cores, memory := r.floats("FamilyInfo.SizeCores"), r.floats("FamilyInfo.MemoryByKind")
	wantItems := fmt.Sprintf("%d items, one for each kind", len(names))
	if len(cores) != len(names) {
		r.fail("FamilyInfo.SizeCores", wantItems)
		return nil
	}
	if len(memory) != len(names) {
		r.fail("FamilyInfo.MemoryByKind", wantItems)
		return nil
	}
	var kinds []placement.Kind
	for i, name := range names {
		kinds = append(kinds, placement.Kind{Name: name, Cores: cores[i], Memory: memory[i]})
	}
	return kinds
}

// classes returns the request classes with all their settings.
func (r *settingsReader) classes() []placement.Class {
	count := int(r.int("RequestClasses.count"))
	if count < 0 || count > len(r.values) {
		r.fail("RequestClasses.count", "the number of classes")
		return nil
	}
	saturationLoad := r.perClass("FamilyInfo.CalmLevel", count, 1)
	saturationRange := r.perClass("FamilyInfo.LostAfter", count, 1)
	kind := r.perClass("FamilyInfo.KindByClass", count, -1)
	maxPerDomain := r.perClass("FamilyInfo.ClassMost", count, 0)
	startBonus := r.perClass("FamilyInfo.ClassStartS", count, 0)
	spread := r.list("FamilyInfo.ApartBy")
	if len(spread) == 0 {
		spread = make([]string, count)
	}
	if len(spread) != count {
		r.fail("FamilyInfo.ApartBy", fmt.Sprintf("%d items, one for each class", count))
		return nil
	}
	var classes []placement.Class
	for i := range count {
		class := r.class(fmt.Sprintf("RequestClasses.%d.", i))
		class.Spread = r.scope("FamilyInfo.ApartBy", spread[i])
		class.StartBonusS = startBonus[i]
		class.Kind = int(kind[i])
		class.MaxPerDomain = int(maxPerDomain[i])
		class.SaturationLoad = saturationLoad[i]
		class.SaturationRange = saturationRange[i]
		classes = append(classes, class)
	}
	return classes
}

// class returns one class with the settings whose paths begin with path. The other settings of a class are
// items of lists that have one item for each class. The caller reads these lists.
func (r *settingsReader) class(path string) placement.Class {
	effect, known := effects[r.values[path+"Semantics"]]
	if !known {
		r.fail(path+"Semantics", "free, guarded or single_shot")
	}
	return placement.Class{
		Name:        r.values[path+"Name"],
		Effect:      effect,
		Group:       r.scope(path+"Group", r.values[path+"Group"]),
		WindowUs:    r.int(path + "WindowUs"),
		ObjectiveUs: r.int(path + "OnTimeUs"),
		DeadlineUs:  r.int(path + "DeadlineUs"),
		Weight:      r.float(path + "Importance"),
	}
}

// tenants returns the tenants and their quotas of cores.
func (r *settingsReader) tenants() []placement.Tenant {
	count := int(r.int("Parties.count"))
	if count <= 0 {
		return nil
	}
	quotas := r.floats("FamilyInfo.ShareCores")
	if len(quotas) != count {
		r.fail("FamilyInfo.ShareCores", fmt.Sprintf("%d items, one for each tenant", count))
		return nil
	}
	var tenants []placement.Tenant
	for i := range count {
		name := r.values[fmt.Sprintf("Parties.%d.Name", i)]
		tenants = append(tenants, placement.Tenant{Name: name, QuotaCores: quotas[i]})
	}
	return tenants
}
