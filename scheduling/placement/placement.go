// Package placement decides which tasks of a dispatcher's own queue go to which
// workers, and when, by the ACHQ rule: the head of the queue goes to the fastest
// worker that has room, at once if that is the fastest of all, else with the
// probability of the worker's soft threshold on the length of the queue.
//
// It has no I/O and no clock; randomness comes from the seed alone.
package placement

import (
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"time"

	"yardflow/scheduling/achq"
	"yardflow/scheduling/job"
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

	otherChoices = 3 // workers named beside the chosen one
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

	near       achq.Parameters // threshold for work whose data is not elsewhere
	far        achq.Parameters // and for work that takes longer here for being away from its data
	slow       float64         // ln of run time against the kind's
	own        float64         // share of the worker that own tasks take
	bad        float64         // part of recent runs that did not end well through its fault
	badAt      time.Duration   // when bad was so
	pauseUntil time.Duration
	pauses     int
	order      float64
}

// Unit is what is placed in one go: a task, or all members of a gang.
type Unit struct {
	Job         *job.Job
	StepKey     job.StepKey
	TaskIndices []int
	EnqueuedAt  time.Duration // in the queue since then
	Deadline    time.Duration // when the job's objective is over
	// CriticalPath is how long the job takes from here on where nothing has to wait.
	CriticalPath time.Duration
	avoid        string // worker at which its last run did not end well
	late         bool   // its objective can't be met any more
}

// Step returns the step that the unit belongs to.
func (u *Unit) Step() *job.Step { return &u.Job.Request.Steps[u.StepKey.Step] }

// AvoidWorker sets the worker that the unit had better not go to again.
func (u *Unit) AvoidWorker(worker string) { u.avoid = worker }

// Decision is that a unit goes to workers, one for each of its indices.
type Decision struct {
	Unit         *Unit
	Workers      []string
	Alternatives []string // for a unit of one task: workers that are as good, in case others have taken the room meanwhile
}

// Scheduler decides for the workers of one service.
type Scheduler struct {
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

	fitting []candidate // workers with room for the unit that was looked at last

	free  float64 // of the service, in thousandths of cores
	total float64

	urgentWork float64 // core-milliseconds queued lately by urgent units, and by all
	allWork    float64
	workAt     time.Duration
	pressure   [priorities]float64 // part of the lately placed units of higher priority that had to wait
}

// New returns a placer without workers. FarFactor is how many times as long work takes away from its data.
func New(farX float64, seed uint64) *Scheduler {
	return &Scheduler{farX: max(farX, 1), peers: 1, random: rand.New(rand.NewPCG(seed, 1)), seed: maphash.MakeSeed(),
		workers: map[string]*Worker{}, kinds: map[string]float64{}}
}

// SetPeers enters how many dispatchers place on the same workers.
func (p *Scheduler) SetPeers(count int) { p.peers = max(count, 1) }

// Enqueue puts a unit into the queue: by priority, then by deadline. Units that will be late whatever is done come
// behind those of their priority that can still be in time: under overload each late one would make another
// one late, and a late one loses nothing more by waiting.
func (p *Scheduler) Enqueue(unit *Unit) {
	p.measure(unit)
	unit.late = unit.isLate(unit.EnqueuedAt)
	p.insert(unit)
}

// isLate reports whether the objective can't be met any more. Clients' estimates may be off by half.
func (u *Unit) isLate(now time.Duration) bool { return now+u.CriticalPath/2 > u.Deadline }

// moveLate moves units behind the others that have become late.
func (p *Scheduler) moveLate(now time.Duration) {
	var moved []*Unit
	p.queue = slices.DeleteFunc(p.queue, func(u *Unit) bool {
		if u.late || !u.isLate(now) {
			return false
		}
		u.late = true
		moved = append(moved, u)
		return true
	})
	for _, unit := range moved {
		p.insert(unit)
	}
}

func (p *Scheduler) insert(unit *Unit) {
	at, _ := slices.BinarySearchFunc(p.queue, unit, func(a, b *Unit) int {
		if before(a, b) {
			return -1
		}
		return 1
	})
	p.queue = slices.Insert(p.queue, at, unit)
}

func before(a, b *Unit) bool {
	if a.Job.Priority != b.Job.Priority {
		return a.Job.Priority < b.Job.Priority
	}
	if a.late != b.late {
		return b.late
	}
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.EnqueuedAt <= b.EnqueuedAt
}

// RemoveJob takes all units of a job out of the queue.
func (p *Scheduler) RemoveJob(id string) {
	p.queue = slices.DeleteFunc(p.queue, func(u *Unit) bool { return u.Job.ID == id })
}

// QueueLength returns how many units wait.
func (p *Scheduler) QueueLength() int { return len(p.queue) }

// Schedule takes the decisions of one event. What it returns is no longer queued, and its room is reserved.
func (p *Scheduler) Schedule(now time.Duration) []Decision {
	if len(p.queue) == 0 {
		return nil
	}
	var decisions []Decision
	p.now = now
	p.countFree(now)
	p.moveLate(now)
	p.endStep(now)
	misfits := map[stepOf]bool{} // steps of which a task has found no place in this event
	for i := 0; i < len(p.queue) && len(misfits) < lookAhead; {
		unit := p.queue[i]
		step := stepOf{unit.Job.ID, unit.StepKey}
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
		asks := unit.Step().Demand()
		for _, id := range workers {
			worker := p.workers[id]
			p.free -= worker.freeCpu()
			worker.Reserved = worker.Reserved.Plus(asks)
			p.free += worker.freeCpu()
		}
		decisions = append(decisions, Decision{Unit: unit, Workers: workers, Alternatives: p.others(unit, workers)})
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
	arm     *achq.Parameters
	ratio   float64 // how many times as long the work takes there
	faster  float64 // how many such tasks fit on the faster workers
	sameFar bool    // the faster ones are those near the unit's data
}

// accepts draws whether a unit goes to a slower worker. Its threshold starts at the number of held tasks
// that the faster workers get through meanwhile (the source's RSRT rule), for this dispatcher's share of them.
// A unit that has waited for as long as the slower worker takes longer is not kept any more.
func (p *Scheduler) accepts(now time.Duration, unit *Unit, slower *slowerChoice) bool {
	extra := (slower.ratio - 1) * float64(unit.Step().EstimateMs)
	if now-unit.EnqueuedAt >= time.Duration(extra)*time.Millisecond {
		return true
	}
	if slower.arm.Updates < untaught {
		slower.arm.Threshold = min((slower.ratio-1)*slower.faster/float64(p.peers), achq.MaxQueueLength)
	}
	probability := achq.AcceptanceProbability(p.competing(unit, slower), slower.arm)
	accepted := p.random.Float64() < probability
	p.learner.RecordDecision(slower.arm, probability, accepted)
	return accepted
}

// competing counts the held units that want the same faster workers.
func (p *Scheduler) competing(unit *Unit, slower *slowerChoice) int {
	if !slower.sameFar {
		return len(p.queue)
	}
	count := 0
	for _, other := range p.queue {
		if other.Step().Affinity == unit.Step().Affinity {
			count += len(other.TaskIndices)
		}
	}
	return count
}

func (p *Scheduler) beginStep(now time.Duration) {
	p.stepAt = now
	p.learner.BeginStep(float64(len(p.queue)+p.running), p.features)
}

func (p *Scheduler) endStep(now time.Duration) {
	p.learner.EndStep((now - p.stepAt).Seconds(), len(p.list), p.features, func(scale float64) {
		for _, worker := range p.list {
			worker.near.ValueWeight *= scale
			worker.far.ValueWeight *= scale
		}
	})
}

// features lists the non-zero parts of the state: the held queue and own shares of workers, over 1+k.
func (p *Scheduler) features(into []achq.Feature) []achq.Feature {
	k := float64(1 + len(p.list))
	if n := len(p.queue); n > 0 {
		into = append(into, achq.Feature{Value: min(float64(n)/achq.MaxQueueLength, 1) / k})
	}
	for _, worker := range p.list {
		if worker.own > 0 {
			into = append(into, achq.Feature{Parameters: &worker.near, Value: worker.own / k})
		}
	}
	return into
}
