package discovery

// This file converts the start times of workers, which are Unix times of the system's clock, to the clock of the event
// loop. That clock does not follow a step of the system's clock. A start time may have been taken before a step or
// after it, so the most recent time that it can stand for counts: slow start must not take a worker that has just
// started for one that is warm. This file must never convert the same start time of a worker to two different times,
// unless the first response or the first start shows that the clock of this host was wrong when the process started.

import (
	"maps"
	"slices"
)

const (
	// minClockStep is the smallest change of the difference between the two clocks that counts as a step, in
	// microseconds. A smaller change is drift.
	minClockStep = 500 * millisecond
	// maxClockSkew is the maximum time by which a start time may be ahead of the present, in microseconds, because
	// discovery runs on another host. Such a start was just now.
	maxClockSkew = 1 * second
	// maxClockSteps is the maximum number of earlier differences between the clocks that are considered.
	maxClockSteps = 8
)

// startTimes converts start times. The zero value is ready for use.
type startTimes struct {
	server    serverClock
	offsets   []int64 // differences between the system's clock and the loop's clock, latest first
	corrected bool    // a difference was not that of this host's clock, which is wrong
	converted map[string]startTime
}

// startTime is a start time of a worker, on the system's clock and on the loop's clock, and the time of the loop's clock at
// which it was first listed, in microseconds. The worker has not started later than that.
type startTime struct{ system, loop, listed int64 }

// observe records what both clocks show at the same moment.
func (s *startTimes) observe(system, loop int64) {
	offset := s.server.correct(system - loop)
	s.corrected = s.corrected || offset != system-loop
	if len(s.offsets) > 0 && max(offset-s.offsets[0], s.offsets[0]-offset) < minClockStep {
		s.offsets[0] = offset
		return
	}
	s.offsets = append([]int64{offset}, s.offsets[:min(len(s.offsets), maxClockSteps)]...)
}

// isExact reports whether the converted start times are the times of the starts. Otherwise, a start may have been earlier.
func (s *startTimes) isExact() bool {
	return !s.corrected && len(s.offsets) == 1 && !s.server.isCoarse()
}

// convert returns the start time of a worker on the loop's clock. now is the time of that clock. A start time of 0, which
// means long ago, stays 0.
func (s *startTimes) convert(worker string, system, now int64) int64 {
	if system == 0 {
		delete(s.converted, worker)
		return 0
	}
	if known, ok := s.converted[worker]; ok && known.system == system {
		return known.loop
	}
	if s.converted == nil {
		s.converted = map[string]startTime{}
	}
	at := s.latest(system, now)
	s.converted[worker] = startTime{system: system, loop: at, listed: now}
	return at
}

// latest returns the most recent time of the loop's clock that a start time can stand for.
func (s *startTimes) latest(system, now int64) int64 {
	latest := int64(0)
	for _, offset := range s.offsets {
		if at := system - offset; at <= now+maxClockSkew {
			latest = max(latest, at)
		}
	}
	if latest == 0 { // the start is in the future by each difference, so it was just now
		return now
	}
	return min(latest, now)
}

// observeStart records a start of a worker that a live event reports for the first time, and what both clocks of this host
// show. If discovery sends no dates, and the start shows that the clock of this host is or was wrong, observeStart converts the
// known start times again and returns those that change, by worker. The clock of discovery is then known coarsely: each
// start is taken for later than it is, by up to maxReportDelay.
func (s *startTimes) observeStart(worker string, start, system, loop int64) (changed map[string]int64) {
	if known, ok := s.converted[worker]; start == 0 || ok && known.system == start {
		return nil
	}
	switch {
	case s.server.isCoarse():
		s.server.observeStart(start, loop)
		return nil
	case s.server.known || !s.hasBeenWrong(start, system, loop):
		return nil
	}
	s.server.observeStart(start, loop)
	return s.reconvert(system, loop)
}

// hasBeenWrong reports whether the clock of this host can't be right, or can't have been before a step, as it contradicts a
// start that was reported for the first time now. Such a clock may still be wrong by less than a start shows.
func (s *startTimes) hasBeenWrong(start, system, loop int64) bool {
	return contradictsStart(system-loop, start, loop) || slices.ContainsFunc(s.offsets, func(offset int64) bool {
		return contradictsStart(offset, start, loop)
	})
}

// observeDate records the date of a response of discovery, in microseconds, and what both clocks of this host show. If it
// is the first one and shows that the clock of this host has been wrong so far, observeDate converts the known start times
// again and returns those that change, by worker.
func (s *startTimes) observeDate(date, system, loop int64) (changed map[string]int64) {
	isFirst := !s.server.known
	s.server.observe(date, loop)
	if offset := system - loop; !isFirst || s.server.correct(offset) == offset {
		return nil
	}
	return s.reconvert(system, loop)
}

// reconvert converts the known start times with the differences between the clocks that are known now, and returns those
// that change, by worker.
func (s *startTimes) reconvert(system, loop int64) (changed map[string]int64) {
	s.offsets = nil
	s.observe(system, loop)
	changed = map[string]int64{}
	for worker, start := range maps.Clone(s.converted) {
		if at := s.latest(start.system, start.listed); at != start.loop {
			start.loop = at
			s.converted[worker] = start
			changed[worker] = at
		}
	}
	return changed
}

// forget forgets the start time of a worker that has left the list.
func (s *startTimes) forget(worker string) { delete(s.converted, worker) }
