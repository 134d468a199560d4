package claimant

// Defaults of Load.
const (
	defaultStepShare = 0.2
	defaultMaxSteps  = 256
)

// minLookahead is how many steps are claimed beyond those running where no client's request queues: enough that the
// workers do not run idle for a round trip to the coordinators.
const minLookahead = 4

// Load is what a dispatcher has to do, as far as it bears on how many steps it should claim.
type Load struct {
	HeldSteps      int     // claims held
	RunningSteps   int     // of these, at workers
	OpenRequests   int     // clients' requests that have not ended
	QueuedRequests int     // of these, not at a worker
	StepShare      float64 // fraction of all that is open that may be steps while clients' requests queue; 0: 0.2
	MaxSteps       int     // claims at once; 0: 256
}

// TargetSteps returns how many claims to hold now, those held already counted. While clients' requests queue, steps keep
// to their share, but one may always run, so that neither starves the other. Else it is half as many again as run, so that
// few steps wait here that could run at another dispatcher.
func (l Load) TargetSteps() int {
	share, limit := l.StepShare, l.MaxSteps
	if share == 0 {
		share = defaultStepShare
	}
	if limit == 0 {
		limit = defaultMaxSteps
	}
	if l.QueuedRequests > 0 {
		return max(min(int(share*float64(l.OpenRequests+l.HeldSteps)), limit), 1)
	}
	return min(l.RunningSteps+max(minLookahead, l.RunningSteps/2), limit)
}
