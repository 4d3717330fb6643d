package placement

// This file owns the lag of the view: how late lists show what this scheduler did. It must never change
// what is known of a worker.

const (
	// lagDecay is what is left of the evidence for a lag after each change of the view, and
	// minLagObservations how much evidence a lag needs.
	lagDecay           = 0.98
	minLagObservations = 20
)

// lagEstimator learns the lag of the view.
type lagEstimator struct {
	*environment
	loads *loadTracker
	// squaredErrors are those of each lag, observations the changes seen; old ones count less.
	squaredErrors [lagSteps]float64
	observations  float64
}

// learn compares a change of the view with own changes. The lag that explains the changes
// best is believed. It guards against counting own placements twice and against dropping them
// early; it covers any delay, also one that grows. Where own placements are few beside those of
// others it learns slowly.
func (e *lagEstimator) learn(worker *workerInfo, entry Entry) {
	kind := e.kindOf(worker)
	if kind == nil {
		return
	}
	seen := (worker.FreeCores - entry.FreeCores) / kind.Cores
	e.observations = e.observations*lagDecay + 1
	best := 0
	for i := range e.squaredErrors {
		lag := int64(i+1) * lagStep
		changed, _ := worker.deltasSince(worker.viewedAt - lag)
		recent, _ := worker.deltasSince(e.now - lag)
		difference := seen - (changed-recent)/kind.Cores
		e.squaredErrors[i] = e.squaredErrors[i]*lagDecay + difference*difference
		if e.squaredErrors[i] < e.squaredErrors[best] {
			best = i
		}
	}
	if e.observations > minLagObservations {
		e.loads.setLag(int64(best+1) * lagStep)
	}
}
