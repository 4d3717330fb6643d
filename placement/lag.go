package placement

// This file owns the estimate of the view's lag, which is the delay after which lists show the
// placements of this scheduler. It must not change the state of a worker.

const (
	// lagDecay is the factor by which each change of the view reduces the weight of earlier changes.
	lagDecay = 0.98
	// minLagObservations is the decayed number of observations (see lagEstimator) that must be exceeded
	// before the estimated lag is used.
	minLagObservations = 20
)

// lagEstimator estimates the lag of the view.
type lagEstimator struct {
	*environment
	loads *loadTracker
	// squaredErrors is the decayed sum of squared prediction errors for each possible lag. The element
	// with index i belongs to a lag of i+1 times lagStep.
	squaredErrors [lagSteps]float64
	// observations is the number of changes of the view seen, each weighted by lagDecay for every later
	// change.
	observations float64
}

// learn compares a change of the view with the changes that this scheduler made, and selects the lag
// with the smallest prediction error. A correct lag prevents this scheduler's placements from being
// counted twice and from being dropped too early. The estimate covers any lag up to lagSteps times
// lagStep, including a lag that increases. Learning is slow if this scheduler makes few of the
// placements.
func (e *lagEstimator) learn(worker *workerInfo, entry Entry) {
	kind := e.kindOf(worker)
	if kind == nil {
		return
	}
	observedChange := (worker.FreeCores - entry.FreeCores) / kind.Cores
	e.observations = e.observations*lagDecay + 1
	best := 0
	for i := range e.squaredErrors {
		lag := int64(i+1) * lagStep
		afterPreviousView, _ := worker.deltasSince(worker.viewedAt - lag)
		afterCurrentView, _ := worker.deltasSince(e.now - lag)
		difference := observedChange - (afterPreviousView-afterCurrentView)/kind.Cores
		e.squaredErrors[i] = e.squaredErrors[i]*lagDecay + difference*difference
		if e.squaredErrors[i] < e.squaredErrors[best] {
			best = i
		}
	}
	if e.observations > minLagObservations {
		e.loads.setLag(int64(best+1) * lagStep)
	}
}
