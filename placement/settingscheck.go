package placement

import "errors"

// This file owns the checks of the settings. It must never change a setting. The texts are settled,
// since operators read them: some name a setting as deployments do (CoresMultiple, MemoryMultiple,
// FreshOffers, AttemptsCap), others by the field here, and a few in words ("Apart" is Class.Spread).

// SettingError is an error of [New]: a setting is missing or contradicts another.
type SettingError struct {
	Setting string // its name, as the top of the file says
	Problem string
}

// Error names the setting and the problem.
func (e *SettingError) Error() string { return e.Setting + " " + e.Problem }

// check returns a [SettingError] for each invalid setting, joined, or nil.
func (s *Settings) check() error {
	var errs []error
	require := func(ok bool, setting, problem string) {
		if !ok {
			errs = append(errs, &SettingError{setting, problem})
		}
	}
	require(s.FleetSize >= 1, "FleetSize", "is missing")
	require(s.SelfIndex >= 0 && s.SelfIndex < max(1, s.FleetSize), "SelfIndex", "is not below FleetSize")
	require(len(s.Classes) > 0, "Classes", "is missing")
	require(len(s.Kinds) > 0, "Kinds", "is missing")
	require(s.CoresOvercommit > 0, "CoresMultiple", "is missing")
	require(s.MemoryOvercommit > 0, "MemoryMultiple", "is missing")
	require(s.TickUs >= 0 && s.AnswerSlackUs >= 0 && s.DrainGraceUs >= 0 && s.WarmUpUs >= 0 &&
		s.SlowStartWindowUs >= 0 && s.PollWithinUs >= 0, "a time", "is negative")
	require(s.SlowStartOffers >= 0, "FreshOffers", "is negative")
	require(s.MaxAttempts >= 0, "AttemptsCap", "is negative")
	for _, kind := range s.Kinds {
		require(kind.Cores > 0 && kind.Memory > 0, "Kind "+kind.Name, "has no size")
	}
	for i := range s.Classes {
		s.checkClass(&s.Classes[i], require)
	}
	return errors.Join(errs...)
}

// checkClass checks one class; require notes what does not hold.
func (s *Settings) checkClass(class *Class, require func(ok bool, setting, problem string)) {
	name := "Class " + class.Name + ": "
	require(class.Name != "", "a Class", "has no Name")
	require(class.Effect >= Safe && class.Effect <= Unsafe, name+"Effect", "is unknown")
	require(class.Effect != Keyed || class.Group >= ScopeCell && class.Group <= ScopeAll,
		name+"Group", "is missing or unknown")
	require(class.WindowUs >= 0 && class.ObjectiveUs >= 0 && class.DeadlineUs >= 0, name+"a time", "is negative")
	require(class.Kind >= -1 && class.Kind < len(s.Kinds), name+"Kind", "is unknown")
	require(class.Spread >= ScopeNone && class.Spread <= ScopeZone, name+"Apart", "is unknown")
}
