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

// sure is a run that takes exactly so long.
func sure(d time.Duration) RunTime { return RunTime{LogMean: math.Log(d.Seconds())} }

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
	p.Start(0, 1, 11, 1, sure(time.Second))
	p.Start(0, 1, 12, 1, sure(3*time.Second))
	for slots, want := range map[float64]time.Duration{1: 500 * ms, 2: time.Second, 3: 3 * time.Second} {
		if at, extra, ok := p.ShadowTime(500*ms, 1, 99, slots, 3, SlowStart{}); !ok || !near(at, want, ms) || extra != 0 {
			t.Errorf("%v slots: %v, %v extra, %v; want %v", slots, at, extra, ok, want)
		}
	}
	if _, _, ok := p.ShadowTime(0, 1, 99, 4, 3, SlowStart{}); ok {
		t.Error("more slots than there are come free")
	}
}

// EASY's rule: a backfill ends before the shadow time, or fits beside the reserved
// job; any other waits, for so long and no longer.
func TestBackfill(t *testing.T) {
	p := plan(Easy)
	now := 1000 * ms
	p.Start(now, 1, 11, 2, sure(time.Second))
	at, _, _ := p.ShadowTime(now, 1, 99, 3, 4, SlowStart{})
	if !p.Reserve(now, 1, 99, 3, 4, at) {
		t.Fatal("not reserved")
	}
	ask := func(job uint64, slots float64, run time.Duration, ramp SlowStart) bool {
		return p.MayBackfill(now, 1, job, slots, 4, sure(run), ramp)
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
	// On a cold worker the same run takes longer; so does what the reservation waits for.
	if cold := (SlowStart{Launched: now, Share: 0.3, Time: 8 * time.Second}); ask(25, 2, 1100*ms, cold) || !ask(26, 2, 900*ms, cold) {
		t.Error("the ramp counts for one side only")
	}
	if !ask(99, 4, time.Minute, SlowStart{}) {
		t.Error("the job itself must wait for its own room")
	}
	if now += p.MaxJobDelay; !ask(24, 2, 1100*ms, SlowStart{}) {
		t.Error("kept waiting beyond the bound")
	}
	if p.Delayed != 2 || p.Backfilled != 4 {
		t.Errorf("%d denied, %d backfilled", p.Delayed, p.Backfilled)
	}
	p.Start(now, 1, 99, 2, sure(time.Second))
	if !ask(25, 2, time.Minute, SlowStart{}) || p.ReservationOf(99) != nil || p.Fulfilled != 1 {
		t.Error("room is held for a job that has begun")
	}
}

// A run's quantiles, and what is left of one that has run for a while; a cold
// worker takes longer, less so as it warms.
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
	if got := sure(time.Second).Remaining(400*ms, 0.8); !near(got, 600*ms, ms) {
		t.Error(got)
	}
	r := SlowStart{Launched: 0, Share: 0.3, Time: 8 * time.Second}
	// The ramp does (0.3+1)/2*8 = 5.2 s of work.
	for warm, want := range map[time.Duration]time.Duration{5200 * ms: 8 * time.Second, 6200 * ms: 9 * time.Second} {
		if got := r.RunTimeFrom(0, warm); !near(got, want, ms) {
			t.Errorf("%v takes %v, want %v", warm, got, want)
		}
	}
	if got := r.RunTimeFrom(0, 300*ms); got < 850*ms || got > time.Second {
		t.Errorf("300ms cold take %v", got)
	}
	if got := r.RunTimeFrom(9*time.Second, time.Second); got != time.Second {
		t.Error(got)
	}
}

// A worker that leaves gives its reservations up; a job that goes frees its room at
// once; a reservation ends by itself; half the bounds hold for one of two processes.
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
	if len(p.Reservations()) != 0 || !p.MayBackfill(now, 1, 5, 4, 4, sure(time.Hour), SlowStart{}) {
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
		t.Error("EASY holds room for one job")
	}
}

// Idle time is counted, and past the budget nothing more is reserved until it fades.
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
		t.Error("full within the budget")
	}
	p.Reserve(now, 1, 2, 2, 4, now)
	p.Release(now+time.Second, 2, false)
	if p.Tick(now+time.Second, 10); !p.AtLimit() {
		t.Errorf("idle %.3f of the slot time, and not full", p.IdleShare())
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

// Random plans, of runs whose length is known, with estimates off by up to a factor
// of 4: what is reserved and what runs never exceed a worker's slots, every
// reservation ends, the same calls give the same plan, and where the estimates are
// right no backfill delays a reservation past its shadow time.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 4
		s := DefaultSettings()
		s.Mode = rapid.SampledFrom([]Mode{Easy, Conservative}).Draw(t, "mode")
		s.IdleBudget, s.MaxJobDelay, s.ReservationTTL = 0.5, time.Hour, time.Hour
		off := rapid.SampledFrom([]float64{0.25, 1, 1, 4}).Draw(t, "estimates off by")
		p, twin := New(s), New(s)
		p.Tick(0, 1e6)
		twin.Tick(0, 1e6)
		now := time.Second
		p.Tick(now, 1e6)
		twin.Tick(now, 1e6)
		type run struct {
			slots float64
			end   time.Duration
		}
		runs := map[uint64]run{}
		first := time.Duration(-1) // the first shadow time of the one reservation
		job := uint64(0)
		used := func() (n float64) {
			for _, r := range runs {
				n += r.slots
			}
			return n
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "later")) * ms
			for id, r := range runs {
				if r.end <= now {
					delete(runs, id)
				}
			}
			for id := uint64(1); id <= job; id++ {
				if _, at := runs[id]; !at {
					p.End(now, 1, id)
					twin.End(now, 1, id)
				}
			}
			p.Tick(now, 1e6)
			twin.Tick(now, 1e6)
			job++
			n, long := float64(rapid.IntRange(1, slots).Draw(t, "slots")), time.Duration(rapid.IntRange(10, 2000).Draw(t, "long"))*ms
			l := RunTime{LogMean: math.Log(long.Seconds() * off)}
			if rapid.Bool().Draw(t, "large") {
				at, _, ok := p.ShadowTime(now, 1, job, n, slots, SlowStart{})
				at2, _, ok2 := twin.ShadowTime(now, 1, job, n, slots, SlowStart{})
				if at != at2 || ok != ok2 {
					t.Fatal("the same calls give another shadow time")
				}
				if ok && p.Reserve(now, 1, job, n, slots, at) != twin.Reserve(now, 1, job, n, slots, at) {
					t.Fatal("the same calls give another reservation")
				}
				if ok && len(p.Reservations()) == 1 && p.ReservationOf(job) != nil {
					first = at
				}
			} else if used()+n <= slots {
				may := p.MayBackfill(now, 1, job, n, slots, l, SlowStart{})
				if may != twin.MayBackfill(now, 1, job, n, slots, l, SlowStart{}) {
					t.Fatal("the same calls give another answer")
				}
				if may {
					p.Start(now, 1, job, n, l)
					twin.Start(now, 1, job, n, l)
					runs[job] = run{n, now + long}
				}
			}
			held := 0.0
			for _, r := range p.Reservations() {
				held += r.Slots
				// One whose slots are free starts.
				if used()+r.Slots <= slots {
					if off == 1 && len(p.Reservations()) == 1 && first >= 0 && now > first+401*ms {
						t.Fatalf("starts at %v, and its shadow time was %v", now, first)
					}
					p.Start(now, 1, r.Job, r.Slots, l)
					twin.Start(now, 1, r.Job, r.Slots, l)
					runs[r.Job] = run{r.Slots, now + long}
					first = -1
				}
			}
			if held > slots || used() > slots {
				t.Fatalf("%v slots are held and %v run, of %d", held, used(), slots)
			}
			if diff := cmp.Diff(p.Reservations(), twin.Reservations()); diff != "" {
				t.Fatal(diff)
			}
		}
		p.Tick(now+s.ReservationTTL+time.Second, 1e6)
		if n := len(p.Reservations()); n > 0 {
			t.Fatalf("%d reservations never end", n)
		}
	})
}

// One decision's questions to the plan, at a worker among many.
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
