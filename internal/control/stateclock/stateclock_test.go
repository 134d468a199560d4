package stateclock

import (
	"math/rand/v2"
	"testing"
	"time"
)

// decider decides for one machine whether the clock may advance. Witness is one; the planted fault is another.
type decider interface {
	Observe(now time.Duration, tick uint64, recordedAge time.Duration)
	MayAdvance(now time.Duration) bool
}

// ownTickOnly is the planted fault: a machine measures the interval from the last tick that it has proposed itself.
type ownTickOnly struct{ proposedAt time.Duration }

func (o *ownTickOnly) Observe(time.Duration, uint64, time.Duration) {}

func (o *ownTickOnly) MayAdvance(now time.Duration) bool {
	if now-o.proposedAt < Interval {
		return false
	}
	o.proposedAt = now
	return true
}

// machine is one control machine of a simulation. Its clock starts at 0 with each incarnation.
type machine struct {
	decider   decider
	startedAt time.Duration
	pausedFor time.Duration // it applies nothing and proposes nothing for so long
	applied   uint64        // newest tick that it has applied
}

// simulation plays machines that restart, pause and take turns as the head, in steps of 100 ms of true time.
type simulation struct {
	random      *rand.Rand
	newDecider  func() decider
	machines    []*machine
	head        int
	tick        uint64
	committedAt time.Duration // when the present tick was committed
	recorded    time.Duration // age of the present tick, as the state has it
	restartAll  time.Duration // all machines restart this often; 0: never
	shortest    time.Duration // shortest time between two ticks
}

const simulationStep = 100 * time.Millisecond

func simulate(seed uint64, span, restartAll time.Duration, newDecider func() decider) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), newDecider: newDecider, shortest: span, restartAll: restartAll}
	for range 3 {
		m := &machine{}
		s.machines = append(s.machines, m)
		s.restart(m, 0)
	}
	for now := time.Duration(0); now < span; now += simulationStep {
		s.step(now)
	}
	return s
}

// restart starts a machine's next incarnation, which reads the present tick from its disk.
func (s *simulation) restart(m *machine, now time.Duration) {
	m.decider, m.startedAt, m.pausedFor, m.applied = s.newDecider(), now, 0, s.tick
	m.decider.Observe(0, s.tick, s.recorded)
}

func (s *simulation) step(now time.Duration) {
	for _, m := range s.machines {
		m.pausedFor = max(0, m.pausedFor-simulationStep)
	}
	one := s.machines[s.random.IntN(len(s.machines))]
	if s.restartAll > 0 && now > 0 && now%s.restartAll == 0 {
		for _, m := range s.machines {
			s.restart(m, now)
		}
	}
	switch s.random.IntN(60) {
	case 0:
		s.restart(one, now)
	case 1:
		one.pausedFor = time.Duration(s.random.IntN(6000)) * time.Millisecond
	case 2, 3:
		s.head = s.random.IntN(len(s.machines))
	}
	for _, m := range s.machines {
		if m.pausedFor == 0 {
			m.applied = s.tick
			m.decider.Observe(now-m.startedAt, s.tick, s.recorded)
		}
	}
	head := s.machines[s.head]
	if head.pausedFor > 0 {
		return
	}
	if w, records := head.decider.(*Witness); records && w.MayRecord(now-head.startedAt, s.recorded) {
		s.recorded = w.Age(now - head.startedAt)
	}
	if !head.decider.MayAdvance(now - head.startedAt) {
		return
	}
	if s.tick > 0 {
		s.shortest = min(s.shortest, now-s.committedAt)
	}
	s.tick++
	s.committedAt, s.recorded = now, 0
}

// TestTicksAreNeverEarlyWhoeverIsTheHead checks, in random schedules of restarts, pauses and changes of the head, that a
// whole interval passes between two ticks, and that the clock does not stand still. A head that goes by its own ticks only
// (planted fault) is found.
func TestTicksAreNeverEarlyWhoeverIsTheHead(t *testing.T) {
	const seeds, span = 300, 10 * time.Minute
	planted := 0
	for seed := range uint64(seeds) {
		result := simulate(seed, span, 0, func() decider { return &Witness{} })
		if result.shortest < Interval {
			t.Fatalf("seed %d: a tick follows %v after the one before", seed, result.shortest)
		}
		if least := uint64(span / Interval / 3); result.tick < least {
			t.Errorf("seed %d: %d ticks in %v, want %d at least", seed, result.tick, span, least)
		}
		if simulate(seed, span, 0, func() decider { return &ownTickOnly{} }).shortest < Interval {
			planted++
		}
	}
	if planted < seeds*9/10 {
		t.Errorf("the planted fault shows in %d of %d schedules", planted, seeds)
	}
}

// TestClockGoesOnThoughAllMachinesRestartBeforeEachTick checks that the time between restarts counts, and not twice.
func TestClockGoesOnThoughAllMachinesRestartBeforeEachTick(t *testing.T) {
	const span, restartAll = 10 * time.Minute, 3 * time.Second
	for seed := range uint64(100) {
		result := simulate(seed, span, restartAll, func() decider { return &Witness{} })
		if result.shortest < Interval {
			t.Fatalf("seed %d: a tick follows %v after the one before", seed, result.shortest)
		}
		if least := uint64(span / Interval / 6); result.tick < least {
			t.Errorf("seed %d: %d ticks in %v, want %d at least", seed, result.tick, span, least)
		}
	}
}

// TestWitnessMeasuresFromTheFirstObservationOfATick checks that a new head neither begins the interval anew nor cuts it
// short, and that a machine that has observed nothing proposes nothing.
func TestWitnessMeasuresFromTheFirstObservationOfATick(t *testing.T) {
	w := &Witness{}
	if w.MayAdvance(time.Hour) {
		t.Error("a machine that has observed no tick advances the clock")
	}
	w.Observe(time.Second, 7, 0)
	w.Observe(4*time.Second, 7, 0) // applied again with a later entry
	if w.MayAdvance(time.Second + Interval - 1) {
		t.Error("the clock advances before a whole interval has passed")
	}
	if !w.MayAdvance(time.Second + Interval) {
		t.Error("the clock does not advance after a whole interval")
	}
	w.Observe(time.Second+Interval, 8, 0)
	if age := w.Age(2*time.Second + Interval); age != time.Second {
		t.Errorf("the age of the next tick is %v, want 1s", age)
	}
}
