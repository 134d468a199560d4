package claimant

// This file owns how many steps a dispatcher holds at once beside fresh work. It must never starve
// either: with fresh work waiting steps keep to their share, of which one is always theirs.

// Load is what a dispatcher has to do, as far as it bears on steps.
type Load struct {
	HeldSteps      int     // steps
	RunningSteps   int     // of them, at workers
	OpenRequests   int     // requests open that are no steps
	QueuedRequests int     // of them, at no worker
	StepShare      float64 // of all that is open that may be steps while fresh work waits; 0: 0.2
	MaxSteps       int     // steps at once; 0: 256
}

// TargetSteps is how many steps to hold now, those held among them. Where no fresh work waits it is what
// runs and half as many more, so that few wait here that could run elsewhere.
func (r Load) TargetSteps() int {
	share, most := r.StepShare, r.MaxSteps
	if share == 0 {
		share = 0.2
	}
	if most == 0 {
		most = 256
	}
	if r.QueuedRequests > 0 {
		return max(min(int(share*float64(r.OpenRequests+r.HeldSteps)), most), 1)
	}
	return min(r.RunningSteps+max(4, r.RunningSteps/2), most)
}
