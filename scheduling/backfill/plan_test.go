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

// exactly is a run time that is known.
func exactly(d time.Duration) RunTime { return RunTime{LogMean: math.Log(d.Seconds())} }

func near(a, b, by time.Duration) bool { return (a - b).Abs() <= by }

func plan(mode Mode) *Plan {
	s := DefaultSettings()
	s.Mode, s.IdleBudget = mode, 0.5
	p := New(s)
	p.Tick(0, 100)
	p.Tick(time.Second, 100)
	return p
}

// Two of three slots run, until 1 s and 3 s: a job of two has its shadow time at
// 1 s with nothing extra; one of three at 3 s.
func TestShadowTime(t *testing.T) {
	p := plan(Conservative)
	p.Start(0, 1, 11, 1, exactly(time.Second))
	p.Start(0, 1, 12, 1, exactly(3*time.Second))
	for slots, want := range map[float64]time.Duration{1: 500 * ms, 2: time.Second, 3: 3 * time.Second} {
		if at, extra, ok := p.ShadowTime(500*ms, 1, 99, slots, 3, SlowStart{}); !ok || !near(at, want, ms) || extra != 0 {
			t.Errorf("%v slots: %v, %v extra, %v; want %v", slots, at, extra, ok, want)
		}
	}
	if _, _, ok := p.ShadowTime(0, 1, 99, 4, 3, SlowStart{}); ok {
		t.Error("more slots than there are come free")
	}
}

// EASY's rule: a backfill ends before the shadow time, or fits beside the reserved job; any other waits,
// for MaxJobDelay and no longer.
func TestBackfill(t *testing.T) {
	p := plan(Easy)
	now := 1000 * ms
	p.Start(now, 1, 11, 2, exactly(time.Second))
	at, _, _ := p.ShadowTime(now, 1, 99, 3, 4, SlowStart{})
	if !p.Reserve(now, 1, 99, 3, 4, at) {
		t.Fatal("not reserved")
	}
	ask := func(job uint64, slots float64, run time.Duration, warmUp SlowStart) bool {
		return p.MayBackfill(now, 1, job, slots, 4, exactly(run), warmUp)
	}
	if !ask(21, 1, 900*ms, SlowStart{}) || !ask(22, 2, 900*ms, SlowStart{}) {
		t.Error("one that ends before the shadow time must wait")
	}
	if !ask(23, 1, time.Minute, SlowStart{}) {
		t.Error("one that fits into the extra slot must wait")
	}
	if ask(24, 2, 1100*ms, SlowStart{}) {
		t.Error("one that would delay the reservation may start")
	}
	// On a warming worker the same run takes longer; so does what the reservation waits for.
	if warming := (SlowStart{Launched: now, Share: 0.3, Time: 8 * time.Second}); ask(25, 2, 1100*ms, warming) || !ask(26, 2, 900*ms, warming) {
		t.Error("the warm-up counts for one side only")
	}
	if !ask(99, 4, time.Minute, SlowStart{}) {
		t.Error("the job itself must wait for its own slots")
	}
	if now += p.MaxJobDelay; !ask(24, 2, 1100*ms, SlowStart{}) {
		t.Error("kept waiting beyond the bound")
	}
	if p.Delayed != 2 || p.Backfilled != 4 {
		t.Errorf("%d denied, %d backfilled", p.Delayed, p.Backfilled)
	}
	p.Start(now, 1, 99, 2, exactly(time.Second))
	if !ask(25, 2, time.Minute, SlowStart{}) || p.ReservationOf(99) != nil || p.Fulfilled != 1 {
		t.Error("slots are reserved for a job that has begun")
	}
}

// A run time's quantiles, and what is left of a run after a while; a warming worker takes longer, less so as
// it warms up.
func TestRunTimes(t *testing.T) {
	l := RunTime{LogMean: 0, LogStdDev: 0.5}
	if got := l.Quantile(0.8); !near(got, 1523*ms, 2*ms) {
		t.Error(got)
	}
	// P(X <= x | X > 1 s) = 0.8 at the 0.9 quantile, less the second that has run.
	if got := l.Remaining(time.Second, 0.8); !near(got, 898*ms, 2*ms) {
		t.Error(got)
	}
	if got := l.Remaining(100*time.Second, 0.8); got < 10*time.Second {
		t.Errorf("a run that is far past all that was seen has %v left", got)
	}
	if got := exactly(time.Second).Remaining(400*ms, 0.8); !near(got, 600*ms, ms) {
		t.Error(got)
	}
	r := SlowStart{Launched: 0, Share: 0.3, Time: 8 * time.Second}
	// The warm-up does (0.3+1)/2*8 = 5.2 s of work.
	for warm, want := range map[time.Duration]time.Duration{5200 * ms: 8 * time.Second, 6200 * ms: 9 * time.Second} {
		if got := r.RunTimeFrom(0, warm); !near(got, want, ms) {
			t.Errorf("%v takes %v, want %v", warm, got, want)
		}
	}
	if got := r.RunTimeFrom(0, 300*ms); got < 850*ms || got > time.Second {
		t.Errorf("300ms take %v on a warming worker", got)
	}
	if got := r.RunTimeFrom(9*time.Second, time.Second); got != time.Second {
		t.Error(got)
	}
}

// A worker that is removed gives its reservations up; a job that ends frees its slots at once; a reservation
// expires; half the bounds hold for one of two processes.
func TestReservationsEnd(t *testing.T) {
	p := plan(Conservative)
	now := time.Second
	for job := range uint64(3) {
		p.Reserve(now, job%2, 90+job, 1, 4, now)
	}
	if got := p.RemoveWorker(now, 0); !cmp.Equal(got, []uint64{90, 92}) || p.ReservationOf(90) != nil || p.ReservationOf(91) == nil {
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
		t.Errorf("%d reservations for half of %d", n, p.MaxReservations)
	}
	e := plan(Easy)
	if !e.Reserve(now, 1, 1, 1, 4, now) || e.Reserve(now, 2, 2, 1, 4, now) {
		t.Error("EASY has one reservation")
	}
}

// Idle time is counted, and beyond the budget nothing more is reserved until it has faded.
func TestIdleBudget(t *testing.T) {
	s := DefaultSettings()
	s.IdleBudget = 0.05
	p := New(s)
	p.Tick(time.Second, 10)
	p.Tick(11*time.Second, 10) // 100 slot seconds: 5 may lie idle
	now := 11 * time.Second
	p.Reserve(now, 1, 1, 2, 4, now)
	now += 3 * time.Second
	p.Release(now, 1, false)
	p.Tick(now, 10)
	if got := p.IdleShare(); math.Abs(got-6/130.0) > 0.004 {
		t.Error("idle", got)
	}
	if p.AtLimit() {
		t.Error("at the limit within the budget")
	}
	p.Reserve(now, 1, 2, 2, 4, now)
	p.Release(now+time.Second, 2, false)
	if p.Tick(now+time.Second, 10); !p.AtLimit() {
		t.Errorf("idle %.3f of the slot time, and not at the limit", p.IdleShare())
	}
	for range 90 {
		now += time.Second
		p.Tick(now, 10)
	}
	if p.AtLimit() {
		t.Error("the budget never comes back")
	}
}

func TestSettingsAreValidated(t *testing.T) {
	for want, spoil := range map[string]func(*Settings){
		"mode": func(s *Settings) { s.Mode = "hard" }, "quantile": func(s *Settings) { s.Quantile = 1 }, "most": func(s *Settings) { s.MaxReservations = 0 },
		"longest": func(s *Settings) { s.ReservationTTL = 0 }, "budget": func(s *Settings) { s.IdleBudget = 0.6 },
		"small_wait": func(s *Settings) { s.MaxJobDelay = -1 }, "large": func(s *Settings) { s.LargeRuns = 1 },
	} {
		s := DefaultSettings()
		if err := s.Validate(); err != nil {
			t.Fatal(err)
		}
		spoil(&s)
		if err := s.Validate(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

// walk drives a plan, and a twin that must agree with it, through random jobs at one worker.
type walk struct {
	*rapid.T
	plan, twin *Plan
	now        time.Duration
	estimate   float64 // factor by which run times are estimated wrong
	runs       map[uint64]walkRun
	job        uint64
	shadow     time.Duration // first shadow time of the one reservation; below 0: there is none, or more
}

type walkRun struct {
	slots float64
	end   time.Duration
}

const walkSlots = 4

func (w *walk) tick() {
	w.plan.Tick(w.now, 1e6)
	w.twin.Tick(w.now, 1e6)
}

func (w *walk) used() (n float64) {
	for _, r := range w.runs {
		n += r.slots
	}
	return n
}

func (w *walk) start(job uint64, slots float64, run time.Duration, r RunTime) {
	w.plan.Start(w.now, 1, job, slots, r)
	w.twin.Start(w.now, 1, job, slots, r)
	w.runs[job] = walkRun{slots, w.now + run}
}

// advance lets time pass and ends the runs whose time is up.
func (w *walk) advance(by time.Duration) {
	w.now += by
	for id, r := range w.runs {
		if r.end <= w.now {
			delete(w.runs, id)
		}
	}
	for id := uint64(1); id <= w.job; id++ {
		if _, at := w.runs[id]; !at {
			w.plan.End(w.now, 1, id)
			w.twin.End(w.now, 1, id)
		}
	}
	w.tick()
}

// reserve asks for a reservation for the next job.
func (w *walk) reserve(slots float64) {
	at, _, ok := w.plan.ShadowTime(w.now, 1, w.job, slots, walkSlots, SlowStart{})
	at2, _, ok2 := w.twin.ShadowTime(w.now, 1, w.job, slots, walkSlots, SlowStart{})
	if at != at2 || ok != ok2 {
		w.Fatal("the same calls give another shadow time")
	}
	if ok && w.plan.Reserve(w.now, 1, w.job, slots, walkSlots, at) != w.twin.Reserve(w.now, 1, w.job, slots, walkSlots, at) {
		w.Fatal("the same calls give another reservation")
	}
	if ok && len(w.plan.Reservations()) == 1 && w.plan.ReservationOf(w.job) != nil {
		w.shadow = at
	}
}

// backfill starts the next job where the plan bears it.
func (w *walk) backfill(slots float64, run time.Duration, r RunTime) {
	may := w.plan.MayBackfill(w.now, 1, w.job, slots, walkSlots, r, SlowStart{})
	if may != w.twin.MayBackfill(w.now, 1, w.job, slots, walkSlots, r, SlowStart{}) {
		w.Fatal("the same calls give another answer")
	}
	if may {
		w.start(w.job, slots, run, r)
	}
}

// startReserved starts the jobs whose reserved slots are free, and checks what is reserved and what runs.
func (w *walk) startReserved(run time.Duration, r RunTime) {
	reserved := 0.0
	for _, o := range w.plan.Reservations() {
		reserved += o.Slots
		if w.used()+o.Slots > walkSlots {
			continue
		}
		if w.estimate == 1 && len(w.plan.Reservations()) == 1 && w.shadow >= 0 && w.now > w.shadow+401*ms {
			w.Fatalf("starts at %v, and its shadow time was %v", w.now, w.shadow)
		}
		w.start(o.Job, o.Slots, run, r)
		w.shadow = -1
	}
	if reserved > walkSlots || w.used() > walkSlots {
		w.Fatalf("%v slots are reserved and %v run, of %d", reserved, w.used(), walkSlots)
	}
	if diff := cmp.Diff(w.plan.Reservations(), w.twin.Reservations()); diff != "" {
		w.Fatal(diff)
	}
}

// Random plans, of runs whose time is known, with estimates off by up to a factor of 4: what is reserved and
// what runs never exceed a worker's slots, every reservation ends, the same calls give the same plan, and
// where the estimates are right no backfill delays a reservation past its shadow time.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultSettings()
		s.Mode = rapid.SampledFrom([]Mode{Easy, Conservative}).Draw(t, "mode")
		s.IdleBudget, s.MaxJobDelay, s.ReservationTTL = 0.5, time.Hour, time.Hour
		w := &walk{T: t, plan: New(s), twin: New(s), runs: map[uint64]walkRun{}, shadow: -1,
			estimate: rapid.SampledFrom([]float64{0.25, 1, 1, 4}).Draw(t, "estimates off by")}
		w.tick()
		w.now = time.Second
		w.tick()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "later")) * ms)
			w.job++
			slots := float64(rapid.IntRange(1, walkSlots).Draw(t, "slots"))
			run := time.Duration(rapid.IntRange(10, 2000).Draw(t, "long")) * ms
			r := RunTime{LogMean: math.Log(run.Seconds() * w.estimate)}
			if rapid.Bool().Draw(t, "large") {
				w.reserve(slots)
			} else if w.used()+slots <= walkSlots {
				w.backfill(slots, run, r)
			}
			w.startReserved(run, r)
		}
		w.plan.Tick(w.now+s.ReservationTTL+time.Second, 1e6)
		if n := len(w.plan.Reservations()); n > 0 {
			t.Fatalf("%d reservations never end", n)
		}
	})
}

// What one decision asks of the plan, at a worker among many.
func BenchmarkBackfill(b *testing.B) {
	for _, n := range []uint64{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := plan(Conservative)
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
