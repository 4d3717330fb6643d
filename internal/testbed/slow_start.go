package testbed

import "time"

// This file owns the slow start of an emulated worker. A worker that was started a short time ago starts tasks
// slowly. If it is overloaded during slow start, it never responds to an offer again.

// slowStart counts the offers to a worker during slow start. A worker whose UpSince is zero runs
// at full speed. The lock of the CapacityModel guards the slowStart.
type slowStart struct {
	spec       *WorkerSpec
	offers     []time.Time // arrival times of the offers within the overload window
	peakLoad   float64     // highest ratio so far of the offers in the window to the tolerated number
	overloaded bool        // the worker was overloaded during slow start and ignores all offers from then on
}

func (s *slowStart) warmingUp() bool {
	return !s.spec.UpSince.IsZero() && time.Since(s.spec.UpSince) <= s.spec.SlowStart
}

// speed returns the current speed at which the worker starts tasks, as a fraction of full speed.
func (s *slowStart) speed() float64 {
	if !s.warmingUp() {
		return 1
	}
	return s.spec.ColdStartRate + (1-s.spec.ColdStartRate)*time.Since(s.spec.UpSince).Seconds()/s.spec.SlowStart.Seconds()
}

// countOffer counts an offer during slow start. It marks the worker as overloaded if the number
// of offers within the overload window exceeds the tolerated number.
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
		s.overloaded = true
	}
}
