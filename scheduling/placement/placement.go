// Package placement decides which tasks of a dispatcher's own queue go to which
// workers, and when, by the ACHQ rule: the head of the queue goes to the fastest
// worker that has room, at once if that is the fastest of all, else with the
// probability of the worker's soft threshold on the length of the queue.
//
// It has no I/O and no clock; randomness comes from the seed alone.
package placement

import (
	"hash/maphash"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"linnetlift/scheduling/achq"
	"linnetlift/scheduling/job"
)

// Bounds of a decision.
const (
	nearEqual = 0.15 // speeds this close (ln) count as the same
	lookAhead = 100  // steps tried behind one that fits nowhere
	untaught  = 5    // visits before which a threshold follows its starting rule
	jitter    = 0.25 // weight of a dispatcher's own order among workers that are alike
	speedStep = 0.1  // weight of one run in a worker's speed
	kindStep  = 0.03 // and in its kind's
	surprise  = 1.0  // bound (ln) on what one run tells of speed
	distrust  = 0.35 // part of recent runs that failed or were lost at which a worker is left alone
	pauseBase = 400 * time.Millisecond
	pauseMost = 8 * time.Second
	forgiveIn = 4 * time.Second

	reserveMost = 0.15             // of a worker, at most so much is kept free for urgent tasks
	reserveSpan = 20 * time.Second // over which the urgent part of the work is measured
	reserveFull = 0.8              // so much where all tasks of higher priority had to wait
	reserveFar  = 0.25             // away from its data work goes only where so much stays free: it takes more of everything
	promptly    = 100 * time.Millisecond
	waitStep    = 0.04 // weight of one task in how many had to wait
	priorities  = 3    // that are told apart; lower ones count as the last
)

// Worker is a worker as a dispatcher knows it.
type Worker struct {
	ID       string
	Service  string
	Rack     string
	Kind     string
	Labels   []string
	Capacity job.Resources
	Used     job.Resources // by all dispatchers, as last told
	Reserved job.Resources // by own placements that are under way
	Draining bool

	near       achq.Arm      // threshold for work whose data is not elsewhere
	far        achq.Arm      // and for work that takes longer here for being away from its data
	slow       float64       // ln of run time against the kind's
	own        float64       // share of the worker that own tasks take
	bad        float64       // part of recent runs that did not end well through its fault
	badAt      time.Duration // when bad was so
	pauseUntil time.Duration
	pauses     int
	order      float64
}

func (w *Worker) room() job.Resources { return w.Capacity.Minus(w.Used).Minus(w.Reserved) }

func (w *Worker) hasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// Unit is what is placed in one go: a task, or all members of a gang.
type Unit struct {
	Job      *job.Job
	Key      job.StepKey
	Indices  []int
	Since    time.Duration // in the queue since then
	Deadline time.Duration // when the job's objective is over
	avoid    string        // worker at which its last run did not end well
}

// Step returns the step that the unit belongs to.
func (u *Unit) Step() *job.Step { return &u.Job.Request.Steps[u.Key.Step] }

// Avoid sets the worker that the unit had better not go to again.
func (u *Unit) Avoid(worker string) { u.avoid = worker }

// Decision is that a unit goes to workers, one for each of its indices.
type Decision struct {
	Unit    *Unit
	Workers []string
}

// Placer decides for the workers of one service.
type Placer struct {
	farX    float64
	random  *rand.Rand
	seed    maphash.Seed
	peers   int // dispatchers that place on the same workers
	workers map[string]*Worker
	list    []*Worker // by ID
	kinds   map[string]float64
	queue   []*Unit
	learner achq.Learner
	stepAt  time.Duration
	now     time.Duration
	running int

	urgentWork float64 // core-milliseconds queued lately by urgent units, and by all
	allWork    float64
	workAt     time.Duration
	pressure   [priorities]float64 // part of the lately placed units of higher priority that had to wait
}

// New returns a placer without workers. FarX is how many times as long work takes away from its data.
func New(farX float64, seed uint64) *Placer {
	return &Placer{farX: max(farX, 1), peers: 1, random: rand.New(rand.NewPCG(seed, 1)), seed: maphash.MakeSeed(),
		workers: map[string]*Worker{}, kinds: map[string]float64{}}
}

// SetPeers enters how many dispatchers place on the same workers.
func (p *Placer) SetPeers(count int) { p.peers = max(count, 1) }

// SetWorker enters a worker or what has changed of it.
func (p *Placer) SetWorker(id, service string, labels []string, capacity, used job.Resources, draining bool) {
	worker := p.workers[id]
	if worker == nil {
		worker = &Worker{ID: id, Service: service, order: p.random.Float64()}
		p.workers[id] = worker
		at, _ := slices.BinarySearchFunc(p.list, id, func(w *Worker, id string) int {
			if w.ID < id {
				return -1
			}
			return 1
		})
		p.list = slices.Insert(p.list, at, worker)
	}
	worker.Labels, worker.Capacity, worker.Used, worker.Draining = labels, capacity, used, draining
	if len(labels) > 0 {
		worker.Kind = labels[0]
	}
	if len(labels) > 1 {
		worker.Rack = labels[1]
	}
}

// SetUsed enters how much of a worker is taken.
func (p *Placer) SetUsed(id string, used job.Resources) {
	if worker := p.workers[id]; worker != nil {
		worker.Used = used
	}
}

// RemoveWorker forgets a worker.
func (p *Placer) RemoveWorker(id string) {
	worker := p.workers[id]
	if worker == nil {
		return
	}
	delete(p.workers, id)
	p.list = slices.DeleteFunc(p.list, func(w *Worker) bool { return w == worker })
}

// Release gives back what a placement under way had reserved.
func (p *Placer) Release(id string, amount job.Resources) {
	if worker := p.workers[id]; worker != nil {
		worker.Reserved = worker.Reserved.Minus(amount)
	}
}

// Started enters that an own task now runs at a worker, and Ended that it does no more.
func (p *Placer) Started(id string, asks job.Resources) { p.own(id, asks, 1) }

// Ended enters that an own task runs no more at a worker.
func (p *Placer) Ended(id string, asks job.Resources) { p.own(id, asks, -1) }

func (p *Placer) own(id string, asks job.Resources, sign float64) {
	p.running += int(sign)
	if worker := p.workers[id]; worker != nil {
		worker.own = max(0, worker.own+sign*share(asks, worker.Capacity))
	}
}

// share returns the largest part of a worker that the amount takes.
func share(amount, capacity job.Resources) float64 {
	part := 0.0
	for _, pair := range [3][2]int64{{amount.Cpu, capacity.Cpu}, {amount.MemMb, capacity.MemMb}, {amount.Gpu, capacity.Gpu}} {
		if pair[1] > 0 {
			part = max(part, float64(pair[0])/float64(pair[1]))
		}
	}
	return part
}

// Learn enters how long a run took against what was expected of it at a sound worker of usual speed.
func (p *Placer) Learn(id string, took, expected time.Duration) {
	worker := p.workers[id]
	if worker == nil || took <= 0 || expected <= 0 {
		return
	}
	worker.bad *= 0.9
	worker.pauses = 0
	seen := math.Log(float64(took) / float64(expected))
	seen = min(max(seen, -surprise), surprise+worker.slow)
	kind := p.kinds[worker.Kind]
	p.kinds[worker.Kind] = kind + kindStep*(seen-worker.slow-kind)
	worker.slow += speedStep * (seen - kind - worker.slow)
}

// badness returns how little the worker is to be trusted, which fades with time.
func (w *Worker) badness(now time.Duration) float64 {
	return w.bad * math.Exp(-float64(max(now-w.badAt, 0))/float64(forgiveIn))
}

// Blame enters that a run did not end well through the worker's fault. It is left alone for a while,
// longer each time.
func (p *Placer) Blame(now time.Duration, id string, weight float64) {
	worker := p.workers[id]
	if worker == nil {
		return
	}
	worker.bad = worker.badness(now)
	worker.badAt = now
	worker.bad += weight * (1 - worker.bad)
	if worker.bad > distrust {
		pause := min(pauseBase<<min(worker.pauses, 5), pauseMost)
		worker.pauses++
		worker.pauseUntil = max(worker.pauseUntil, now+pause)
	}
}

// Add puts a unit into the queue: by priority, then by deadline.
func (p *Placer) Add(unit *Unit) {
	p.measure(unit)
	at, _ := slices.BinarySearchFunc(p.queue, unit, func(a, b *Unit) int {
		if before(a, b) {
			return -1
		}
		return 1
	})
	p.queue = slices.Insert(p.queue, at, unit)
}

// measure keeps which part of the work is urgent.
func (p *Placer) measure(unit *Unit) {
	if unit.Since > p.workAt {
		fade := math.Exp(-float64(unit.Since-p.workAt) / float64(reserveSpan))
		p.urgentWork *= fade
		p.allWork *= fade
		p.workAt = unit.Since
	}
	step := unit.Step()
	work := float64(step.Cpu) * float64(step.EstimateMs) * float64(len(unit.Indices))
	p.allWork += work
	if unit.Job.Priority == 0 {
		p.urgentWork += work
	}
}

// reserve returns the part of each worker that units of lower priority leave free, so that urgent ones of
// any dispatcher find room at once. It is the urgent part of the work, within a bound.
func (p *Placer) reserve(unit *Unit) float64 {
	if unit.Job.Priority == 0 || p.allWork == 0 || unit.Step().Gang {
		return 0
	}
	base := min(p.urgentWork/p.allWork, reserveMost)
	if p.now-unit.Since > (unit.Deadline-unit.Since)/2 {
		return base // it has made way for long enough
	}
	return base + p.pressure[rank(unit)]*(reserveFull-base)
}

// rank returns the unit's priority among those told apart.
func rank(unit *Unit) int { return min(max(unit.Job.Priority, 0), priorities-1) }

// placed keeps whether a unit had to wait, which those of lower priority make room for.
func (p *Placer) placed(now time.Duration, unit *Unit) {
	waited := 0.0
	if now-unit.Since > promptly {
		waited = 1
	}
	for lower := rank(unit) + 1; lower < priorities; lower++ {
		p.pressure[lower] += waitStep * (waited - p.pressure[lower])
	}
}

// fits reports whether a task of the step has room at the worker beside what is reserved.
func (w *Worker) fits(asks job.Resources, reserve float64) bool {
	room := w.room()
	if !room.Holds(asks) {
		return false
	}
	if reserve == 0 {
		return true
	}
	left := room.Minus(asks)
	return float64(left.Cpu) >= reserve*float64(w.Capacity.Cpu) && float64(left.MemMb) >= reserve*float64(w.Capacity.MemMb) ||
		w.Used.Plus(w.Reserved) == (job.Resources{})
}

func before(a, b *Unit) bool {
	if a.Job.Priority != b.Job.Priority {
		return a.Job.Priority < b.Job.Priority
	}
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.Since <= b.Since
}

// RemoveJob takes all units of a job out of the queue.
func (p *Placer) RemoveJob(id string) {
	p.queue = slices.DeleteFunc(p.queue, func(u *Unit) bool { return u.Job.ID == id })
}

// Queued returns how many units wait.
func (p *Placer) Queued() int { return len(p.queue) }

// Decide takes the decisions of one event. What it returns is no longer queued, and its room is reserved.
func (p *Placer) Decide(now time.Duration) []Decision {
	if len(p.queue) == 0 {
		return nil
	}
	var decisions []Decision
	p.now = now
	p.endStep(now)
	misfits := map[stepOf]bool{} // steps of which a task has found no place in this event
	for i := 0; i < len(p.queue) && len(misfits) < lookAhead; {
		unit := p.queue[i]
		step := stepOf{unit.Job.ID, unit.Key}
		if misfits[step] {
			i++
			continue
		}
		workers, slower := p.find(now, unit)
		if workers == nil || slower != nil && !p.accepts(now, unit, slower) {
			misfits[step] = true
			i++
			continue
		}
		p.queue = slices.Delete(p.queue, i, i+1)
		p.placed(now, unit)
		asks := unit.Step().Asks()
		for _, id := range workers {
			worker := p.workers[id]
			worker.Reserved = worker.Reserved.Plus(asks)
		}
		decisions = append(decisions, Decision{unit, workers})
		p.beginStep(now)
		p.endStep(now)
	}
	p.beginStep(now)
	return decisions
}

// stepOf names a step of a job; its tasks ask for the same.
type stepOf struct {
	job string
	key job.StepKey
}

// slowerChoice is that only slower workers than the fastest have room.
type slowerChoice struct {
	arm     *achq.Arm
	ratio   float64 // how many times as long the work takes there
	faster  float64 // how many such tasks fit on the faster workers
	sameFar bool    // the faster ones are those near the unit's data
}

// accepts draws whether a unit goes to a slower worker. Its threshold starts at the number of held tasks
// that the faster workers get through meanwhile (the source's RSRT rule), for this dispatcher's share of them.
// A unit that has waited for as long as the slower worker takes longer is not kept any more.
func (p *Placer) accepts(now time.Duration, unit *Unit, slower *slowerChoice) bool {
	extra := (slower.ratio - 1) * float64(unit.Step().EstimateMs)
	if now-unit.Since >= time.Duration(extra)*time.Millisecond {
		return true
	}
	if slower.arm.Visits < untaught {
		slower.arm.Theta = min((slower.ratio-1)*slower.faster/float64(p.peers), achq.BufferSize)
	}
	probability := achq.Accept(p.competing(unit, slower), slower.arm)
	accepted := p.random.Float64() < probability
	p.learner.Decided(slower.arm, probability, accepted)
	return accepted
}

// competing counts the held units that want the same faster workers.
func (p *Placer) competing(unit *Unit, slower *slowerChoice) int {
	if !slower.sameFar {
		return len(p.queue)
	}
	count := 0
	for _, other := range p.queue {
		if other.Step().Affinity == unit.Step().Affinity {
			count += len(other.Indices)
		}
	}
	return count
}

func (p *Placer) beginStep(now time.Duration) {
	p.stepAt = now
	p.learner.Begin(float64(len(p.queue)+p.running), p.features)
}

func (p *Placer) endStep(now time.Duration) {
	p.learner.End((now - p.stepAt).Seconds(), len(p.list), p.features, func(scale float64) {
		for _, worker := range p.list {
			worker.near.Omega *= scale
			worker.far.Omega *= scale
		}
	})
}

// features lists the non-zero parts of the state: the held queue and own shares of workers, over 1+k.
func (p *Placer) features(into []achq.Feature) []achq.Feature {
	k := float64(1 + len(p.list))
	if n := len(p.queue); n > 0 {
		into = append(into, achq.Feature{X: min(float64(n)/achq.BufferSize, 1) / k})
	}
	for _, worker := range p.list {
		if worker.own > 0 {
			into = append(into, achq.Feature{Arm: &worker.near, X: worker.own / k})
		}
	}
	return into
}

// slowness returns how many times as long (ln) work takes at the worker as at a usual one.
func (p *Placer) slowness(worker *Worker) float64 {
	return p.kinds[worker.Kind] + worker.slow + 2*worker.badness(p.now)
}

// able reports whether the unit may go to the worker, room aside.
func able(worker *Worker, step *job.Step) bool {
	return !worker.Draining && worker.hasLabel(step.Requires) && worker.Capacity.Holds(step.Asks())
}

// find returns where the unit would go now, and what decides where that is not as fast as the fastest of all.
func (p *Placer) find(now time.Duration, unit *Unit) (workers []string, slower *slowerChoice) {
	if unit.Step().Gang {
		return p.findGang(now, unit)
	}
	step := unit.Step()
	far, reserve := math.Log(p.farX), p.reserve(unit)
	var best *Worker
	bestSlow, bestScore, fastest, bestFar := 0.0, 0.0, math.Inf(1), false
	for _, worker := range p.list {
		if !able(worker, step) {
			continue
		}
		slow := p.slowness(worker)
		isFar := step.Affinity != "" && worker.Rack != step.Affinity
		if isFar {
			slow += far
		}
		fastest = min(fastest, slow)
		if now < worker.pauseUntil || worker.ID == unit.avoid && now-unit.Since < pauseBase ||
			!worker.fits(step.Asks(), reserve) || isFar && !worker.fits(step.Asks(), max(reserve, reserveFar)) {
			continue
		}
		if most := step.AntiAffinity; most > 0 && unit.Job.CountAt(unit.Key, worker.ID) >= most {
			continue
		}
		score := share(worker.room().Minus(step.Asks()), worker.Capacity) + jitter*worker.order
		if best == nil || slow < bestSlow-nearEqual || slow < bestSlow+nearEqual && score < bestScore {
			best, bestSlow, bestScore, bestFar = worker, slow, score, isFar
		}
	}
	if best == nil {
		return nil, nil
	}
	if bestSlow > fastest+2*nearEqual {
		slower = &slowerChoice{arm: &best.near, ratio: math.Exp(bestSlow - fastest), sameFar: bestFar}
		if bestFar {
			slower.arm = &best.far
		}
		slower.faster = p.fasterRoom(step, bestSlow-nearEqual)
	}
	return []string{best.ID}, slower
}

// fasterRoom returns how many tasks of the step all workers hold at which it is faster than a bound.
func (p *Placer) fasterRoom(step *job.Step, bound float64) float64 {
	room := 0.0
	for _, worker := range p.list {
		slow := p.slowness(worker)
		if step.Affinity != "" && worker.Rack != step.Affinity {
			slow += math.Log(p.farX)
		}
		if able(worker, step) && slow < bound {
			room += 1 / max(share(step.Asks(), worker.Capacity), 0.01)
		}
	}
	return room
}

// findGang looks for room for all members, in one rack where the step asks for that.
func (p *Placer) findGang(now time.Duration, unit *Unit) (workers []string, slower *slowerChoice) {
	step := unit.Step()
	if !step.SameRack && step.Affinity == "" {
		return p.fill(now, unit, ""), nil
	}
	racks := []string{}
	for _, worker := range p.list {
		if able(worker, step) && !slices.Contains(racks, worker.Rack) &&
			(step.Affinity == "" || worker.Rack == step.Affinity) {
			racks = append(racks, worker.Rack)
		}
	}
	best := []string(nil)
	for _, rack := range racks {
		found := p.fill(now, unit, rack)
		if found != nil && (best == nil || p.workers[found[0]].order < p.workers[best[0]].order) {
			best = found
		}
	}
	if best != nil {
		return best, nil
	}
	if found := p.fill(now, unit, ""); found != nil {
		first := p.workers[found[0]]
		return found, &slowerChoice{arm: &first.far, ratio: p.farX, faster: float64(len(unit.Indices)) * float64(p.peers)}
	}
	return nil, nil
}

// fill places all members on workers of a rack ("" for any), or returns nil.
func (p *Placer) fill(now time.Duration, unit *Unit, rack string) []string {
	step := unit.Step()
	candidates := []*Worker{}
	for _, worker := range p.list {
		if able(worker, step) && now >= worker.pauseUntil && (rack == "" || worker.Rack == rack) &&
			worker.room().Holds(step.Asks()) {
			candidates = append(candidates, worker)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *Worker) int {
		scoreA := p.slowness(a)/nearEqual + share(a.room(), a.Capacity) + jitter*a.order
		scoreB := p.slowness(b)/nearEqual + share(b.room(), b.Capacity) + jitter*b.order
		switch {
		case scoreA < scoreB:
			return -1
		case scoreA > scoreB:
			return 1
		}
		return 0
	})
	workers := []string{}
	for _, worker := range candidates {
		room := worker.room()
		for count := 0; len(workers) < len(unit.Indices) && room.Holds(step.Asks()); count++ {
			if step.AntiAffinity > 0 && count >= step.AntiAffinity {
				break
			}
			workers = append(workers, worker.ID)
			room = room.Minus(step.Asks())
		}
	}
	if len(workers) < len(unit.Indices) {
		return nil
	}
	return workers
}
