package placement

import "errors"

// This file checks the settings. It must not change a setting. The error texts must stay as they are, since
// operators read them. Some texts name a setting as deployments do (CoresMultiple, MemoryMultiple,
// FreshOffers, AttemptsCap), others by its field in Settings or Class. "Apart" stands for Class.Spread, and
// "a time" for any of several durations.

// SettingError reports a setting that is missing or invalid, or that contradicts another one. [New] returns
// one for each check that failed, joined.
type SettingError struct {
	Setting string // name in a deployment, field name, or description such as "a time"
	Problem string
}

// Error returns the name of the setting and the problem.
func (e *SettingError) Error() string { return e.Setting + " " + e.Problem }

// check returns a [SettingError] for each check that failed, joined with [errors.Join], or nil.
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

// checkClass checks the settings of one class. It passes the result of each check to require.
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
