package testbed

import "time"

// This file owns how a worker that has just started performs: slowly at first, and not at
// all after an overload. A CapacityModel guards it by its lock.

// slowStart counts the offers to a worker that is warming up. Without a start time the
// worker has run for long.
type slowStart struct {
	spec     *WorkerSpec
	offers   []time.Time // within the overload window
	peakLoad float64     // of offers, over what it can take
	fallen   bool        // overloaded: it answers nothing any more
}

func (s *slowStart) warmingUp() bool {
	return !s.spec.UpSince.IsZero() && time.Since(s.spec.UpSince) <= s.spec.SlowStart
}

// speed is its share of full speed.
func (s *slowStart) speed() float64 {
	if !s.warmingUp() {
		return 1
	}
	return s.spec.ColdStartRate + (1-s.spec.ColdStartRate)*time.Since(s.spec.UpSince).Seconds()/s.spec.SlowStart.Seconds()
}

// countOffer counts an offer against what the worker can take, and overloads it by what is
// too much.
func (s *slowStart) countOffer() {
	if !s.warmingUp() {
		return
	}
	now := time.Now()
	s.offers = append(s.offers, now)
	for len(s.offers) > 0 && now.Sub(s.offers[0]) > s.spec.OverloadWindow {
		s.offers = s.offers[1:]
	}
	starts := s.speed() * float64(s.spec.MaxStarting) * s.spec.OverloadWindow.Seconds() / s.spec.MeanStartTime.Seconds()
	limit := max(s.spec.InitialBudget, s.spec.FallMultiple*starts)
	s.peakLoad = max(s.peakLoad, float64(len(s.offers))/limit)
	if s.peakLoad > 1 {
		s.fallen = true
	}
}
