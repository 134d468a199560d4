package backfill

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// exactly returns a run time that is known exactly.
func exactly(d time.Duration) RunTime { return RunTime{LogMean: math.Log(d.Seconds())} }

func near(a, b, tolerance time.Duration) bool { return (a - b).Abs() <= tolerance }

// newPlan returns a plan for 100 slots that has ticked for a second, with the largest idle budget.
func newPlan(mode Mode) *Plan {
	s := DefaultSettings()
	s.Mode, s.IdleBudget = mode, 0.5
	p := New(s)
	p.Tick(0, 100)
	p.Tick(time.Second, 100)
	return p
}

// Two of three slots are in use, until 1 s and 3 s. The shadow time of a job of one slot is now, of a job of
// two slots 1 s, and of a job of three slots 3 s, each without extra slots. A job of four slots has no shadow
// time.
func TestShadowTime(t *testing.T) {
	p := newPlan(Conservative)
	p.Start(0, 1, 11, 1, exactly(time.Second))
	p.Start(0, 1, 12, 1, exactly(3*time.Second))
	for slots, want := range map[float64]time.Duration{1: 500 * ms, 2: time.Second, 3: 3 * time.Second} {
		if at, extra, ok := p.ShadowTime(500*ms, 1, 99, slots, 3, SlowStart{}); !ok || !near(at, want, ms) || extra != 0 {
			t.Errorf("%v slots: shadow time %v, %v extra slots, ok %v; want shadow time %v, no extra slots",
				slots, at, extra, ok, want)
		}
	}
	if _, _, ok := p.ShadowTime(0, 1, 99, 4, 3, SlowStart{}); ok {
		t.Error("shadow time for more slots than the worker has")
	}
}

// By the rule of EASY, a job may be backfilled if it ends before the shadow time or fits beside the reserved
// job. Any other job waits, but for no longer than MaxJobDelay.
func TestMayBackfill(t *testing.T) {
	p := newPlan(Easy)
	now := 1000 * ms
	p.Start(now, 1, 11, 2, exactly(time.Second))
	at, _, _ := p.ShadowTime(now, 1, 99, 3, 4, SlowStart{})
	if !p.Reserve(now, 1, 99, 3, 4, at) {
		t.Fatal("Reserve returned false")
	}
	mayBackfill := func(job uint64, slots float64, run time.Duration, warmUp SlowStart) bool {
		return p.MayBackfill(now, 1, job, slots, 4, exactly(run), warmUp)
	}
	if !mayBackfill(21, 1, 900*ms, SlowStart{}) || !mayBackfill(22, 2, 900*ms, SlowStart{}) {
		t.Error("a job that ends before the shadow time may not start")
	}
	if !mayBackfill(23, 1, time.Minute, SlowStart{}) {
		t.Error("a job that fits into the extra slot may not start")
	}
	if mayBackfill(24, 2, 1100*ms, SlowStart{}) {
		t.Error("a job that delays the reservation may start")
	}
	// On a warming worker, the job takes longer, and so does the run that the reservation waits for.
	if warming := (SlowStart{Launched: now, Share: 0.3, Time: 8 * time.Second}); mayBackfill(25, 2, 1100*ms, warming) ||
		!mayBackfill(26, 2, 900*ms, warming) {
		t.Error("the warm-up is not applied to both the job and the run that the reservation waits for")
	}
	if !mayBackfill(99, 4, time.Minute, SlowStart{}) {
		t.Error("the job with the reservation may not start")
	}
	if now += p.MaxJobDelay; !mayBackfill(24, 2, 1100*ms, SlowStart{}) {
		t.Error("a job may not start after MaxJobDelay")
	}
	if p.Delayed != 2 || p.Backfilled != 4 {
		t.Errorf("%d jobs delayed, want 2; %d backfilled, want 4", p.Delayed, p.Backfilled)
	}
	p.Start(now, 1, 99, 2, exactly(time.Second))
	if !mayBackfill(25, 2, time.Minute, SlowStart{}) || p.ReservationOf(99) != nil || p.Fulfilled != 1 {
		t.Error("the reservation remains after its job has started")
	}
}

// Quantiles of a run time and of its remaining time are those of a log-normal distribution. A run takes
// longer on a warming worker, and the less so the warmer the worker is.
func TestRunTimeQuantilesAndWarmUp(t *testing.T) {
	l := RunTime{LogMean: 0, LogStdDev: 0.5}
	if got := l.Quantile(0.8); !near(got, 1523*ms, 2*ms) {
		t.Error(got)
	}
	// P(X <= x | X > 1 s) = 0.8 where x is the 0.9 quantile of X; the elapsed second is subtracted from x.
	if got := l.Remaining(time.Second, 0.8); !near(got, 898*ms, 2*ms) {
		t.Error(got)
	}
	if got := l.Remaining(100*time.Second, 0.8); got < 10*time.Second {
		t.Errorf("a run far beyond the distribution has %v left, want at least 10 s", got)
	}
	if got := exactly(time.Second).Remaining(400*ms, 0.8); !near(got, 600*ms, ms) {
		t.Error(got)
	}
	r := SlowStart{Launched: 0, Share: 0.3, Time: 8 * time.Second}
	// The warm-up does (0.3+1)/2*8 = 5.2 s of work.
	for warm, want := range map[time.Duration]time.Duration{5200 * ms: 8 * time.Second, 6200 * ms: 9 * time.Second} {
		if got := r.RunTimeFrom(0, warm); !near(got, want, ms) {
			t.Errorf("a run of %v takes %v on a warming worker, want %v", warm, got, want)
		}
	}
	if got := r.RunTimeFrom(0, 300*ms); got < 850*ms || got > time.Second {
		t.Errorf("a run of 300 ms takes %v on a warming worker, want 850 ms to 1 s", got)
	}
	if got := r.RunTimeFrom(9*time.Second, time.Second); got != time.Second {
		t.Error(got)
	}
}

// A reservation ends when its worker is removed, when its job ends and when it expires. With a share of half,
// half of MaxReservations may be made, and mode Easy allows one.
func TestReservationsEndAndAreLimited(t *testing.T) {
	p := newPlan(Conservative)
	now := time.Second
	for job := range uint64(3) {
		p.Reserve(now, job%2, 90+job, 1, 4, now)
	}
	if got := p.RemoveWorker(now, 0); !cmp.Equal(got, []uint64{90, 92}) || p.ReservationOf(90) != nil ||
		p.ReservationOf(91) == nil {
		t.Error(got)
	}
	p.Forget(now, 91)
	if len(p.Reservations()) != 0 || !p.MayBackfill(now, 1, 5, 4, 4, exactly(time.Hour), SlowStart{}) {
		t.Error(p.Reservations())
	}
	p.Reserve(now, 1, 93, 1, 4, now)
	if got := p.Tick(now+p.ReservationTTL, 100); !cmp.Equal(got, []uint64{93}) || p.Expired != 1 {
		t.Error(got)
	}
	p.SetShare(0.5)
	for job := range uint64(20) {
		p.Reserve(now, 100+job, 200+job, 1, 4, now)
	}
	if n := len(p.Reservations()); n != p.MaxReservations/2 {
		t.Errorf("%d reservations, want half of %d", n, p.MaxReservations)
	}
	e := newPlan(Easy)
	if !e.Reserve(now, 1, 1, 1, 4, now) || e.Reserve(now, 2, 2, 1, 4, now) {
		t.Error("mode Easy does not allow exactly one reservation")
	}
}

// Beyond the idle budget, no further reservation is made until enough idle time has faded.
func TestIdleBudgetLimitsReservations(t *testing.T) {
	s := DefaultSettings()
	s.IdleBudget = 0.05
	p := New(s)
	p.Tick(time.Second, 10)
	p.Tick(11*time.Second, 10) // 100 slot-seconds, of which 5 may be idle
	now := 11 * time.Second
	p.Reserve(now, 1, 1, 2, 4, now)
	now += 3 * time.Second
	p.Release(now, 1, false)
	p.Tick(now, 10)
	if got := p.IdleShare(); math.Abs(got-6/130.0) > 0.004 {
		t.Error("idle share", got)
	}
	if p.AtLimit() {
		t.Error("AtLimit is true within the idle budget")
	}
	p.Reserve(now, 1, 2, 2, 4, now)
	p.Release(now+time.Second, 2, false)
	if p.Tick(now+time.Second, 10); !p.AtLimit() {
		t.Errorf("AtLimit is false with an idle share of %.3f", p.IdleShare())
	}
	for range 90 {
		now += time.Second
		p.Tick(now, 10)
	}
	if p.AtLimit() {
		t.Error("AtLimit is still true 90 s after the last reservation")
	}
}

func TestValidateNamesTheInvalidSetting(t *testing.T) {
	for want, invalidate := range map[string]func(*Settings){
		"mode": func(s *Settings) { s.Mode = "hard" }, "quantile": func(s *Settings) { s.Quantile = 1 },
		"most":    func(s *Settings) { s.MaxReservations = 0 },
		"longest": func(s *Settings) { s.ReservationTTL = 0 }, "budget": func(s *Settings) { s.IdleBudget = 0.6 },
		"small_wait": func(s *Settings) { s.MaxJobDelay = -1 }, "large": func(s *Settings) { s.LargeRuns = 1 },
	} {
		s := DefaultSettings()
		if err := s.Validate(); err != nil {
			t.Fatal(err)
		}
		invalidate(&s)
		if err := s.Validate(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got error %v, want one that begins with %s", err, want)
		}
	}
}

// simulation drives a plan, and a second plan (twin) that must agree with it, through random jobs at one
// worker.
type simulation struct {
	*rapid.T
	plan, twin *Plan
	now        time.Duration
	estimate   float64 // ratio of estimated to actual run times
	runs       map[uint64]simulatedRun
	job        uint64
	shadow     time.Duration // first shadow time of the only reservation; negative if there is none or several
}

type simulatedRun struct {
	slots float64
	end   time.Duration
}

const workerSlots = 4

func (s *simulation) tick() {
	s.plan.Tick(s.now, 1e6)
	s.twin.Tick(s.now, 1e6)
}

func (s *simulation) used() (n float64) {
	for _, r := range s.runs {
		n += r.slots
	}
	return n
}

func (s *simulation) start(job uint64, slots float64, run time.Duration, r RunTime) {
	s.plan.Start(s.now, 1, job, slots, r)
	s.twin.Start(s.now, 1, job, slots, r)
	s.runs[job] = simulatedRun{slots, s.now + run}
}

// advance moves the time forward and ends the runs that are over.
func (s *simulation) advance(elapsed time.Duration) {
	s.now += elapsed
	for id, r := range s.runs {
		if r.end <= s.now {
			delete(s.runs, id)
		}
	}
	for id := uint64(1); id <= s.job; id++ {
		if _, running := s.runs[id]; !running {
			s.plan.End(s.now, 1, id)
			s.twin.End(s.now, 1, id)
		}
	}
	s.tick()
}

// reserve requests a reservation for the current job.
func (s *simulation) reserve(slots float64) {
	at, _, ok := s.plan.ShadowTime(s.now, 1, s.job, slots, workerSlots, SlowStart{})
	twinAt, _, twinOK := s.twin.ShadowTime(s.now, 1, s.job, slots, workerSlots, SlowStart{})
	if at != twinAt || ok != twinOK {
		s.Fatal("the same calls gave different shadow times")
	}
	if ok && s.plan.Reserve(s.now, 1, s.job, slots, workerSlots, at) !=
		s.twin.Reserve(s.now, 1, s.job, slots, workerSlots, at) {
		s.Fatal("the same calls to Reserve gave different results")
	}
	if ok && len(s.plan.Reservations()) == 1 && s.plan.ReservationOf(s.job) != nil {
		s.shadow = at
	}
}

// backfill starts the current job if the plan allows it.
func (s *simulation) backfill(slots float64, run time.Duration, r RunTime) {
	may := s.plan.MayBackfill(s.now, 1, s.job, slots, workerSlots, r, SlowStart{})
	if may != s.twin.MayBackfill(s.now, 1, s.job, slots, workerSlots, r, SlowStart{}) {
		s.Fatal("the same calls to MayBackfill gave different results")
	}
	if may {
		s.start(s.job, slots, run, r)
	}
}

// startReserved starts the jobs whose reserved slots are free, and checks the slots reserved and in use.
func (s *simulation) startReserved(run time.Duration, r RunTime) {
	reserved := 0.0
	for _, o := range s.plan.Reservations() {
		reserved += o.Slots
		if s.used()+o.Slots > workerSlots {
			continue
		}
		if s.estimate == 1 && len(s.plan.Reservations()) == 1 && s.shadow >= 0 && s.now > s.shadow+401*ms {
			s.Fatalf("reserved job starts at %v, but its shadow time was %v", s.now, s.shadow)
		}
		s.start(o.Job, o.Slots, run, r)
		s.shadow = -1
	}
	if reserved > workerSlots || s.used() > workerSlots {
		s.Fatalf("%v slots are reserved and %v in use, of %d", reserved, s.used(), workerSlots)
	}
	if diff := cmp.Diff(s.plan.Reservations(), s.twin.Reservations()); diff != "" {
		s.Fatal(diff)
	}
}

// In random plans, with run times estimated wrong by a factor of up to 4, the slots reserved and the slots in
// use each stay within the worker's slots, every reservation ends, and the same calls give the same plan.
// With correct estimates, no backfill delays a reserved job past its shadow time.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultSettings()
		s.Mode = rapid.SampledFrom([]Mode{Easy, Conservative}).Draw(t, "mode")
		s.IdleBudget, s.MaxJobDelay, s.ReservationTTL = 0.5, time.Hour, time.Hour
		sim := &simulation{T: t, plan: New(s), twin: New(s), runs: map[uint64]simulatedRun{}, shadow: -1,
			estimate: rapid.SampledFrom([]float64{0.25, 1, 1, 4}).Draw(t, "estimates off by")}
		sim.tick()
		sim.now = time.Second
		sim.tick()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			sim.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "elapsed ms")) * ms)
			sim.job++
			slots := float64(rapid.IntRange(1, workerSlots).Draw(t, "slots"))
			run := time.Duration(rapid.IntRange(10, 2000).Draw(t, "run time in ms")) * ms
			r := RunTime{LogMean: math.Log(run.Seconds() * sim.estimate)}
			if rapid.Bool().Draw(t, "large") {
				sim.reserve(slots)
			} else if sim.used()+slots <= workerSlots {
				sim.backfill(slots, run, r)
			}
			sim.startReserved(run, r)
		}
		sim.plan.Tick(sim.now+s.ReservationTTL+time.Second, 1e6)
		if n := len(sim.plan.Reservations()); n > 0 {
			t.Fatalf("%d reservations have not ended after ReservationTTL", n)
		}
	})
}

// BenchmarkBackfill measures the plan's part of one decision, with many workers.
func BenchmarkBackfill(b *testing.B) {
	for _, n := range []uint64{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newPlan(Conservative)
			now := time.Second
			for w := range n {
				for j := range uint64(4) {
					p.Start(now, w, w*10+j, 1, RunTime{0, 0.5})
				}
			}
			for w := range uint64(4) {
				p.Reserve(now, w, 1e6+w, 2, 4, now)
			}
			b.ReportAllocs()
			for i := uint64(0); b.Loop(); i++ {
				p.ShadowTime(now, i%n, 1, 2, 4, SlowStart{})
				p.MayBackfill(now, i%n, 1, 1, 4, RunTime{0, 0.5}, SlowStart{})
			}
		})
	}
}
