package placement

// This file owns the estimate of the lag of the view. The view of a worker is the free capacity in its
// latest list entry. The lag is the delay after which lists show a change that this scheduler made to
// the requested capacity of a worker. The file must not change the state of a worker.

const (
	// lagDecay is the factor by which each observation (see lagEstimator) reduces the weight of the
	// earlier ones.
	lagDecay = 0.98
	// minLagObservations is the value that lagEstimator.observations must exceed before the estimated
	// lag is used.
	minLagObservations = 20
)

// lagEstimator estimates the lag of the view. An observation is one list entry, which is compared with
// the previous list entry of the same worker.
type lagEstimator struct {
	*environment
	loads *loadTracker
	// squaredErrors holds, for each possible lag, the decayed sum of the squared differences between
	// the observed changes of free cores and the changes that the lag predicts. The element with index
	// i belongs to a lag of i+1 times lagStep.
	squaredErrors [lagSteps]float64
	// observations is the weighted number of observations so far. Each new observation has the weight 1
	// and multiplies the weight of the earlier ones by lagDecay.
	observations float64
}

// learn compares two things: the change of a worker's free cores since its previous list entry, and the
// changes that this scheduler made. After enough observations (see minLagObservations), it sets the
// assumed lag to the possible lag with the smallest sum in squaredErrors. With a correct lag, a
// placement of this scheduler is neither counted twice nor ignored before lists show it. The estimate
// follows a lag that changes, up to lagSteps times lagStep. Learning is slow if this scheduler makes few
// of the placements.
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
