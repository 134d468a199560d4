// Package backfill plans each worker's slots over time, so that a large job can be held
// room for while small ones fill the gaps.
//
// The terms are those of the scheduling literature. A reservation keeps a job's slots
// at one worker from the time at which they are expected to come free, its shadow
// time. A backfill is a smaller job that starts ahead of it in a gap: either it ends,
// by the stated quantile of its run time, before the shadow time, or it fits into
// the extra slots that the reserved job leaves (EASY: Lifka, The ANL/IBM SP
// Scheduling System, 1995). Under Easy one job at a time has a reservation, the most
// urgent; under Conservative each that is due has one (Mu'alem and Feitelson, 2001).
//
// What it costs is counted: the time for which a reserved slot lies idle, against a
// budget. What it may cost others is bounded: a job that a reservation has kept
// waiting for MaxJobDelay passes, and a reservation ends after Longest.
//
// This package does no I/O and has no clock or randomness: time is what the caller
// passes in, on a clock that does not run back. It never decides whether or where a
// job is sent; it says what a plan would bear. The same calls give the same plan.
package backfill

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Mode says how many jobs may have a reservation at once.
type Mode string

// The modes.
const (
	Easy         Mode = "easy"
	Conservative Mode = "conservative"
)

// Settings bound a plan.
type Settings struct {
	Mode            Mode
	Quantile        float64       // of run times that a backfill is judged by, 0.5 to 0.99
	MaxReservations int           // reservations at once, 1 or more; under Easy one, whatever this says
	ReservationTTL  time.Duration // life of a reservation, over 0
	IdleBudget      float64       // part of all slot time that reservations may leave idle, over 0 to 0.5
	MaxJobDelay     time.Duration // how long reservations may keep one job waiting, 0 or more
	LargeRuns       float64       // a job of one slot is large from this many typical runs on, over 1; 0: never
}

// Validate names what no plan can be made by.
func (s *Settings) Validate() error {
	switch {
	case s.Mode != Easy && s.Mode != Conservative:
		return fmt.Errorf("mode: %q is neither %q nor %q", s.Mode, Easy, Conservative)
	case s.Quantile < 0.5 || s.Quantile > 0.99:
		return fmt.Errorf("quantile: %v is not in 0.5 to 0.99", s.Quantile)
	case s.MaxReservations < 1:
		return fmt.Errorf("most: %d is under 1", s.MaxReservations)
	case s.ReservationTTL <= 0:
		return errors.New("longest: must be over 0")
	case s.IdleBudget <= 0 || s.IdleBudget > 0.5:
		return fmt.Errorf("budget: %v is not over 0 and up to 0.5", s.IdleBudget)
	case s.MaxJobDelay < 0:
		return errors.New("small_wait: must not be negative")
	case s.LargeRuns != 0 && s.LargeRuns <= 1:
		return fmt.Errorf("large: %v is neither 0 nor over 1", s.LargeRuns)
	}
	return nil
}

// IsLarge tells whether room may be held for a job of so many slots and so many
// typical runs.
func (s *Settings) IsLarge(slots, runs float64) bool {
	return slots > 1 || s.LargeRuns > 0 && runs >= s.LargeRuns
}

// RunTime is what is known of a run time: its logarithm (of seconds) is taken as
// normal, which long-tailed sizes are nearer to than to any bounded law.
type RunTime struct{ LogMean, LogStdDev float64 }

// Quantile is the time under which a run stays with probability q.
func (l RunTime) Quantile(q float64) time.Duration {
	return span(math.Exp(l.LogMean + l.LogStdDev*normal(q)))
}

// Remaining is that of what is left of a run after it has taken so long already. The
// longer it has run past what was expected, the longer it will: sizes have no
// memory of the estimate.
func (l RunTime) Remaining(ran time.Duration, q float64) time.Duration {
	if ran <= 0 {
		return l.Quantile(q)
	}
	if l.LogStdDev < 1e-6 {
		return max(l.Quantile(q)-ran, 0)
	}
	done := 0.5 * math.Erfc(-(math.Log(ran.Seconds())-l.LogMean)/l.LogStdDev/math.Sqrt2)
	if done > 1-1e-9 { // far past all that was seen
		return ran
	}
	return max(span(math.Exp(l.LogMean+l.LogStdDev*normal(done+q*(1-done))))-ran, 0)
}

// normal is the standard normal law's quantile.
func normal(q float64) float64 { return math.Sqrt2 * math.Erfinv(2*q-1) }

func span(seconds float64) time.Duration {
	return time.Duration(min(seconds, 1e9) * float64(time.Second))
}

// SlowStart is a worker's way from cold to warm: it has Share of its capacity at Launched
// and all of it Time later, and rises evenly. The zero value is a warm worker.
type SlowStart struct {
	Launched time.Duration
	Share    float64 // over 0 to 1
	Time     time.Duration
}

// RunTimeFrom is how long a run that takes so long on a warm worker takes from now on.
func (r SlowStart) RunTimeFrom(now, warm time.Duration) time.Duration {
	age, full := (now - r.Launched).Seconds(), r.Time.Seconds()
	if r.Time <= 0 || age >= full || r.Share >= 1 {
		return warm
	}
	age = max(age, 0)
	share := max(r.Share, 0.01)
	slope := (1 - share) / full
	have := share + slope*age // capacity now
	work := warm.Seconds()
	if until := (have + 1) / 2 * (full - age); work > until { // done after the ramp
		return span(full - age + work - until)
	}
	// have*t + slope*t*t/2 = work
	return span((math.Sqrt(have*have+2*slope*work) - have) / slope)
}

// run is one job at work, or on its way to it.
type run struct {
	job   uint64
	slots float64
	began time.Duration
	RunTime
}

// Reservation is room held for one job.
type Reservation struct {
	Job, Worker          uint64
	Slots                float64
	CreatedAt, ExpiresAt time.Duration // it ends by itself at Until
	ShadowTime           time.Duration // when its slots were expected to be free, as of the last look
	IdleSlotSeconds      float64       // slot seconds that it has left idle
}

// machine is one worker's side of the plan.
type machine struct {
	runs  []run
	kept  []*Reservation
	used  float64
	slots float64 // as last told
	ramp  SlowStart
	seen  time.Duration // up to which idle time is counted
}

// Plan is one dispatcher's plan. It is not safe for concurrent use.
type Plan struct {
	Settings
	share    float64 // part of the bounds that is this process's
	machines map[uint64]*machine
	byJob    map[uint64]*Reservation
	denied   map[uint64]time.Duration // when a reservation first kept a job waiting
	idle     float64                  // slot seconds left idle, fading
	passed   float64                  // slot seconds passed, fading
	tickAt   time.Duration
	used     float64 // slots of all runs
	ticked   bool
	began    time.Duration // at the first tick

	Created, Fulfilled, Backfilled, Delayed, Expired int // counts since the start
}

// New makes an empty plan. The settings must be sound.
func New(s Settings) *Plan {
	return &Plan{Settings: s, share: 1, machines: map[uint64]*machine{}, byJob: map[uint64]*Reservation{}, denied: map[uint64]time.Duration{}}
}

// SetShare bounds this process to its part where several hold room together.
func (p *Plan) SetShare(part float64) { p.share = part }

func (p *Plan) machine(worker uint64) *machine {
	m := p.machines[worker]
	if m == nil {
		m = &machine{}
		p.machines[worker] = m
	}
	return m
}

// Start notes that a job was sent, or that it has begun.
func (p *Plan) Start(now time.Duration, worker, job uint64, slots float64, l RunTime) {
	p.Release(now, job, true)
	delete(p.denied, job)
	m := p.machine(worker)
	p.count(now, m)
	for i := range m.runs {
		if m.runs[i].job == job {
			m.runs[i].began, m.runs[i].RunTime = now, l
			return
		}
	}
	m.runs = append(m.runs, run{job, slots, now, l})
	m.used += slots
	p.used += slots
}

// End notes that a job is no longer at a worker.
func (p *Plan) End(now time.Duration, worker, job uint64) {
	m := p.machines[worker]
	if m == nil {
		return
	}
	p.count(now, m)
	for i := range m.runs {
		if m.runs[i].job == job {
			m.used = max(m.used-m.runs[i].slots, 0)
			p.used = max(p.used-m.runs[i].slots, 0)
			m.runs = slices.Delete(m.runs, i, i+1)
			break
		}
	}
	p.tidy(worker, m)
}

// Forget notes that a job is gone altogether: its room is free.
func (p *Plan) Forget(now time.Duration, job uint64) {
	p.Release(now, job, false)
	delete(p.denied, job)
}

func (p *Plan) tidy(worker uint64, m *machine) {
	if len(m.runs) == 0 && len(m.kept) == 0 {
		delete(p.machines, worker)
	}
}

// count adds up what reservations leave idle at a worker.
func (p *Plan) count(now time.Duration, m *machine) {
	dt := (now - m.seen).Seconds()
	if dt <= 0 {
		return
	}
	if m.seen = now; len(m.kept) == 0 {
		return
	}
	free := max(m.slots-m.used, 0)
	for _, r := range m.kept {
		idle := min(free, r.Slots)
		free -= idle
		r.IdleSlotSeconds += idle * dt
		p.idle += idle * dt
	}
}

// window is how far back the budget looks.
const window = 60 * time.Second

// Tick ends reservations whose time is up and goes on with the budget, for a fleet
// of so many slots. It tells which jobs have lost theirs.
func (p *Plan) Tick(now time.Duration, slots float64) (lapsed []uint64) {
	if dt := now - p.tickAt; dt > 0 && p.tickAt != 0 {
		fade := math.Exp(-dt.Seconds() / window.Seconds())
		p.idle *= fade
		p.passed = p.passed*fade + slots*dt.Seconds()
	}
	p.tickAt = now
	if !p.ticked {
		p.ticked, p.began = true, now
	}
	for job, r := range p.byJob {
		if now >= r.ExpiresAt {
			lapsed = append(lapsed, job)
		}
	}
	slices.Sort(lapsed)
	for _, job := range lapsed {
		p.Expired++
		p.Release(now, job, false)
	}
	return lapsed
}

// ReservationOf is a job's reservation; nil: it has none.
func (p *Plan) ReservationOf(job uint64) *Reservation { return p.byJob[job] }

// Reservations are all there are, by the time at which they were made.
func (p *Plan) Reservations() []Reservation {
	var out []Reservation
	for _, r := range p.byJob {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Reservation) int {
		return cmp.Or(cmp.Compare(a.CreatedAt, b.CreatedAt), cmp.Compare(a.Job, b.Job))
	})
	return out
}

// UsedSlots is how many slots all runs take.
func (p *Plan) UsedSlots() float64 { return p.used }

// settle is how long slots and run times are guesses after a start.
const settle = 5 * time.Second

// WarmedUp tells that the plan has been told of the fleet for long enough.
func (p *Plan) WarmedUp(now time.Duration) bool { return p.ticked && now-p.began >= settle }

// AtLimit tells that no further reservation may be made now.
func (p *Plan) AtLimit() bool {
	most := float64(p.MaxReservations)
	if p.Mode == Easy {
		most = 1
	}
	return float64(len(p.byJob)) >= math.Ceil(most*p.share) || p.idle > p.IdleBudget*p.share*max(p.passed, 1)
}

// IdleShare is the part of the slot time of the last minute or so that reservations
// have left idle.
func (p *Plan) IdleShare() float64 { return p.idle / max(p.passed, 1) }

// ShadowTime is when a worker of so many slots is expected to have as many free, by the
// quantile of what its runs have left, and how many there are beyond them then. It
// is never where the worker has not as many. What is held for the job itself does not
// stand in its way.
func (p *Plan) ShadowTime(now time.Duration, worker, job uint64, slots, capacity float64, ramp SlowStart) (at time.Duration, extra float64, ok bool) {
	if slots > capacity {
		return 0, 0, false
	}
	m := p.machines[worker]
	if m == nil {
		return now, capacity - slots, true
	}
	promised := 0.0
	own := p.byJob[job]
	for _, r := range m.kept { // room that is held already
		if r != own {
			promised += r.Slots
		}
	}
	at, extra, ok = p.free(now, m, slots, capacity-promised, ramp)
	if own != nil && own.Worker == worker && ok {
		own.ShadowTime = at
	}
	return at, extra, ok
}

// free is when so many slots of a worker's capacity are expected to be free, and
// what is free beyond them then.
func (p *Plan) free(now time.Duration, m *machine, slots, capacity float64, ramp SlowStart) (at time.Duration, extra float64, ok bool) {
	free := capacity - m.used
	if free >= slots {
		return now, free - slots, true
	}
	type end struct {
		at    time.Duration
		slots float64
	}
	ends := make([]end, 0, 16)
	for _, r := range m.runs {
		ends = append(ends, end{now + ramp.RunTimeFrom(now, r.Remaining(now-r.began, p.Quantile)), r.slots})
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
	for i, e := range ends {
		if free += e.slots; free < slots {
			continue
		}
		for _, same := range ends[i+1:] { // what ends with it is free as well
			if same.at <= e.at {
				free += same.slots
			}
		}
		return e.at, free - slots, true
	}
	return 0, 0, false
}

// Reserve holds a job's slots at a worker, from the shadow time on. It is false
// where the bounds do not allow it. A job that has a reservation keeps it, and its
// age with it; it moves where its slots come free sooner by a good part of its life.
func (p *Plan) Reserve(now time.Duration, worker, job uint64, slots, capacity float64, ramp SlowStart, shadow time.Duration) bool {
	made, until := now, now+p.ReservationTTL
	if old := p.byJob[job]; old != nil {
		if old.Worker == worker || shadow+p.ReservationTTL/10 >= old.ShadowTime {
			return true
		}
		made, until = old.CreatedAt, old.ExpiresAt
		p.Release(now, job, false)
	} else if p.AtLimit() {
		return false
	}
	if slots > capacity {
		return false
	}
	m := p.machine(worker)
	promised := slots
	for _, r := range m.kept {
		promised += r.Slots
	}
	if promised > capacity {
		p.tidy(worker, m)
		return false
	}
	p.count(now, m)
	m.slots, m.ramp = capacity, ramp
	r := &Reservation{Job: job, Worker: worker, Slots: slots, CreatedAt: made, ExpiresAt: until, ShadowTime: shadow}
	m.kept = append(m.kept, r)
	if p.byJob[job] = r; made == now {
		p.Created++
	}
	return true
}

// Release ends a job's reservation: it was used, or is of no use any more.
func (p *Plan) Release(now time.Duration, job uint64, used bool) {
	r := p.byJob[job]
	if r == nil {
		return
	}
	m := p.machines[r.Worker]
	p.count(now, m)
	m.kept = slices.DeleteFunc(m.kept, func(o *Reservation) bool { return o == r })
	delete(p.byJob, job)
	if used {
		p.Fulfilled++
	}
	p.tidy(r.Worker, m)
}

// RemoveWorker ends all reservations at a worker that may get nothing new, and tells whose
// they were: they are to be held room for elsewhere.
func (p *Plan) RemoveWorker(now time.Duration, worker uint64) (jobs []uint64) {
	if m := p.machines[worker]; m != nil {
		for _, r := range slices.Clone(m.kept) {
			jobs = append(jobs, r.Job)
			p.Release(now, r.Job, false)
		}
	}
	return jobs
}

// MayBackfill tells whether a job may start at a worker of so many slots now without
// delaying a reservation there, by the quantile of its run time; one that has a
// reservation there itself, or has waited for MaxJobDelay because of them, may.
func (p *Plan) MayBackfill(now time.Duration, worker, job uint64, slots, capacity float64, l RunTime, ramp SlowStart) bool {
	m := p.machines[worker]
	if m == nil || len(m.kept) == 0 {
		return true
	}
	if own := p.byJob[job]; own != nil && own.Worker == worker {
		return true
	}
	p.count(now, m)
	m.slots, m.ramp = capacity, ramp
	promised := 0.0
	for _, r := range m.kept {
		promised += r.Slots
	}
	// Slots beyond what is promised are anybody's.
	if capacity-m.used-promised >= slots {
		return true
	}
	at, extra, ok := p.free(now, m, promised, capacity, ramp)
	for _, r := range m.kept {
		r.ShadowTime = at
	}
	if ok && (now+ramp.RunTimeFrom(now, l.Quantile(p.Quantile)) <= at || extra >= slots) {
		p.Backfilled++
		return true
	}
	since, before := p.denied[job]
	if !before {
		p.denied[job] = now
		p.Delayed++
		return p.MaxJobDelay == 0
	}
	return now-since >= p.MaxJobDelay
}

// DefaultSettings is what a plan is bounded by where nothing else is said.
func DefaultSettings() Settings {
	return Settings{Mode: Conservative, Quantile: 0.8, MaxReservations: 8, ReservationTTL: 4 * time.Second, IdleBudget: 0.05, MaxJobDelay: 400 * time.Millisecond}
}
