package placement

import (
	"fmt"
	"testing"
	"time"

	"yardflow/scheduling/job"
)

// newTestScheduler returns a scheduler of idle workers in racks of three; every third worker is of kind b.
func newTestScheduler(workers int) *Scheduler {
	s := New(3, 1)
	for i := range workers {
		kind := "a"
		if i%3 == 2 {
			kind = "b"
		}
		s.SetWorker(fmt.Sprintf("w%04d", i), []string{kind, fmt.Sprint("r", i/3)},
			job.Resources{CPU: 8000, MemoryMB: 8000, GPU: 2}, job.Resources{}, false)
	}
	return s
}

var lastJobNumber = 0

func newUnit(priority int, step job.Step) *Unit {
	lastJobNumber++
	indices := []int{0}
	if step.Gang {
		for index := 1; index < step.Count; index++ {
			indices = append(indices, index)
		}
	}
	j := &job.Job{ID: fmt.Sprintf("%016x", lastJobNumber), Priority: priority, Request: job.Request{Steps: []job.Step{step}}}
	return &Unit{Job: j, TaskIndices: indices}
}

func fillWorker(s *Scheduler, id string) {
	s.SetUsed(id, job.Resources{CPU: 8000, MemoryMB: 8000, GPU: 2})
}

func TestFastestFeasibleWorkerIsTaken(t *testing.T) {
	s := newTestScheduler(6)
	for range 200 {
		s.ObserveRuntime("w0004", 500*time.Millisecond, time.Second) // twice as fast as the others
	}
	s.Enqueue(newUnit(0, job.Step{Count: 1, CPU: 1000, EstimateMs: 1000}))
	decisions := s.Schedule(time.Second)
	if len(decisions) != 1 || decisions[0].Workers[0] != "w0004" {
		t.Errorf("decisions %v, want one, for the fastest worker w0004", decisions)
	}
}

func TestQueueOrderIsPriorityThenDeadline(t *testing.T) {
	s := newTestScheduler(1)
	later, earlier, urgent := newUnit(1, job.Step{Count: 1, CPU: 8000}), newUnit(1, job.Step{Count: 1, CPU: 8000}),
		newUnit(0, job.Step{Count: 1, CPU: 8000})
	later.Deadline, earlier.Deadline, urgent.Deadline = 9*time.Second, time.Second, 99*time.Second
	for _, u := range []*Unit{later, earlier, urgent} {
		s.Enqueue(u)
	}
	for _, want := range []*Unit{urgent, earlier, later} {
		decisions := s.Schedule(time.Second)
		if len(decisions) != 1 || decisions[0].Unit != want {
			t.Fatalf("decisions %v, want one, for the next unit by priority and deadline", decisions)
		}
		s.ReleaseReservation(decisions[0].Workers[0], decisions[0].Unit.Step().Demand())
	}
}

func TestUnplaceableUnitDoesNotBlockTheQueue(t *testing.T) {
	s := newTestScheduler(2)
	for range 90 {
		s.Enqueue(newUnit(0, job.Step{Count: 1, CPU: 1000, RequiredLabel: "no such label"}))
	}
	last := newUnit(0, job.Step{Count: 1, CPU: 1000})
	last.Deadline = time.Hour
	s.Enqueue(last)
	if decisions := s.Schedule(time.Second); len(decisions) != 1 || decisions[0].Unit != last {
		t.Errorf("decisions %v, want one, for the unit behind the unplaceable ones", decisions)
	}
}

func TestReservedCapacityIsNotGivenTwice(t *testing.T) {
	s := newTestScheduler(1)
	for range 3 {
		s.Enqueue(newUnit(0, job.Step{Count: 1, CPU: 3000}))
	}
	if decisions := s.Schedule(time.Second); len(decisions) != 2 {
		t.Errorf("%d units placed on a worker with capacity for two", len(decisions))
	}
}

func TestLabelsDrainingAndAntiAffinityFilterWorkers(t *testing.T) {
	s := newTestScheduler(3)
	s.SetWorker("w0000", []string{"a", "r0"}, job.Resources{CPU: 8000, MemoryMB: 8000}, job.Resources{}, true)
	u := newUnit(0, job.Step{Count: 2, CPU: 1, RequiredLabel: "a", AntiAffinity: 1})
	s.Enqueue(u)
	decisions := s.Schedule(time.Second)
	if len(decisions) != 1 || decisions[0].Workers[0] != "w0001" {
		t.Fatalf("decisions %v, want one, for w0001, the only worker of kind a that is not draining", decisions)
	}
	u.Job.EnsureTask(job.TaskKey{}).Worker = "w0001"
	s.Enqueue(&Unit{Job: u.Job, TaskIndices: []int{1}})
	if decisions := s.Schedule(time.Second); len(decisions) != 0 {
		t.Errorf("second task placed on the same worker despite anti-affinity: %v", decisions)
	}
}

func TestTaskWaitsForRackOfItsDataForLimitedTime(t *testing.T) {
	s := newTestScheduler(6)
	for i := range 3 {
		fillWorker(s, fmt.Sprintf("w%04d", i))
	}
	s.Enqueue(newUnit(0, job.Step{Count: 1, CPU: 1000, EstimateMs: 1000, Affinity: "r0"}))
	if decisions := s.Schedule(100 * time.Millisecond); len(decisions) != 0 {
		t.Errorf("placed outside the rack of its data without waiting: %v", decisions)
	}
	if decisions := s.Schedule(2100 * time.Millisecond); len(decisions) != 1 {
		t.Error("still waiting after longer than the extra run time in another rack")
	}
}

func TestGangIsPlacedInOneRack(t *testing.T) {
	s := newTestScheduler(6)
	fillWorker(s, "w0000")
	s.Enqueue(newUnit(1, job.Step{Count: 6, CPU: 1000, GPU: 1, Gang: true, SameRack: true, EstimateMs: 1000}))
	decisions := s.Schedule(time.Second)
	if len(decisions) != 1 || len(decisions[0].Workers) != 6 {
		t.Fatalf("decisions %v, want one, with 6 workers", decisions)
	}
	for _, id := range decisions[0].Workers {
		if s.workers[id].rack != "r1" {
			t.Errorf("gang member placed at %s, outside rack r1", id)
		}
	}
}

func TestGangIsPlacedAsAWholeOrNotAtAll(t *testing.T) {
	s := newTestScheduler(1)
	s.Enqueue(newUnit(1, job.Step{Count: 3, CPU: 4000, Gang: true}))
	if decisions := s.Schedule(time.Second); len(decisions) != 0 {
		t.Errorf("gang that does not fit is placed: %v", decisions)
	}
	if available := s.workers["w0000"].available(); available.CPU != 8000 {
		t.Errorf("gang that does not fit left a reservation: available %v", available)
	}
}

func TestFaultyWorkerBacksOffAndRecovers(t *testing.T) {
	s := newTestScheduler(1)
	s.RecordFault(time.Second, "w0000", 0.6)
	s.Enqueue(newUnit(0, job.Step{Count: 1, CPU: 1000}))
	if decisions := s.Schedule(1100 * time.Millisecond); len(decisions) != 0 {
		t.Error("task placed on a worker right after its fault")
	}
	if decisions := s.Schedule(2 * time.Second); len(decisions) != 1 {
		t.Error("no task placed on the worker after its backoff")
	}
	if rate := s.workers["w0000"].faults.rate(30 * time.Second); rate > 0.01 {
		t.Errorf("fault rate after 30 s: %v, want at most 0.01", rate)
	}
}

func TestHeadroomIsKeptFreeForUrgentTasks(t *testing.T) {
	s := newTestScheduler(1)
	for i := range 40 { // half of the work is urgent, so headroom is kept for it
		u := newUnit(i%2, job.Step{Count: 1, CPU: 100, EstimateMs: 100})
		s.Enqueue(u)
	}
	for _, decision := range s.Schedule(time.Millisecond) {
		s.ReleaseReservation(decision.Workers[0], decision.Unit.Step().Demand())
	}
	for range 8 {
		s.Enqueue(newUnit(1, job.Step{Count: 1, CPU: 1000, EstimateMs: 1}))
	}
	placed := len(s.Schedule(2 * time.Millisecond))
	if placed == 0 || placed >= 8 {
		t.Errorf("placed %d of 8 tasks of lower priority, want some but not all", placed)
	}
	s.Enqueue(newUnit(0, job.Step{Count: 1, CPU: 1000, EstimateMs: 1}))
	if decisions := s.Schedule(3 * time.Millisecond); len(decisions) != 1 || decisions[0].Unit.Job.Priority != 0 {
		t.Error("urgent task not placed")
	}
}

// TestHeadroomCountsOverTheServiceNotAWorker checks that a large task may fill one worker if others have enough free.
func TestHeadroomCountsOverTheServiceNotAWorker(t *testing.T) {
	s := newTestScheduler(3)
	s.urgent.urgentWork, s.urgent.allWork = 1e9, 2e9
	s.SetUsed("w0000", job.Resources{CPU: 1000, MemoryMB: 1000})
	s.SetUsed("w0001", job.Resources{CPU: 4000, MemoryMB: 4000})
	s.SetUsed("w0002", job.Resources{CPU: 4000, MemoryMB: 4000})
	s.Enqueue(newUnit(1, job.Step{Count: 1, CPU: 7000, EstimateMs: 1000}))
	if decisions := s.Schedule(time.Second); len(decisions) != 1 || decisions[0].Workers[0] != "w0000" {
		t.Fatalf("decisions %v, want one, for w0000, the only worker on which the task fits", decisions)
	}
	s.ReleaseReservation("w0000", job.Resources{CPU: 7000})
	s.SetUsed("w0000", job.Resources{CPU: 8000, MemoryMB: 8000})
	s.SetUsed("w0002", job.Resources{CPU: 7000, MemoryMB: 7000})
	s.Enqueue(newUnit(1, job.Step{Count: 1, CPU: 4000, EstimateMs: 1000}))
	if decisions := s.Schedule(1100 * time.Millisecond); len(decisions) != 0 {
		t.Errorf("placed in the headroom for urgent tasks: %v", decisions)
	}
}

func TestAlternativesAreAsGoodAsTheChosenWorker(t *testing.T) {
	s := newTestScheduler(9)
	for range 200 {
		s.ObserveRuntime("w0000", 2*time.Second, time.Second) // slower than the others
	}
	fillWorker(s, "w0001")
	s.Enqueue(newUnit(0, job.Step{Count: 1, CPU: 1000, RequiredLabel: "a"}))
	decisions := s.Schedule(time.Second)
	if len(decisions) != 1 || len(decisions[0].Alternatives) != maxAlternatives {
		t.Fatalf("decisions %+v, want one, with maxAlternatives alternatives", decisions)
	}
	seen := map[string]bool{decisions[0].Workers[0]: true, "w0000": true, "w0001": true}
	for _, other := range decisions[0].Alternatives {
		if seen[other] || s.workers[other].kind != "a" {
			t.Errorf("unexpected alternative %s to %s", other, decisions[0].Workers[0])
		}
		seen[other] = true
	}
}

// TestLateUnitsAreQueuedBehindUnitsInTime checks that a unit that will be late is queued behind units that can still meet
// their objective, regardless of the order of arrival.
func TestLateUnitsAreQueuedBehindUnitsInTime(t *testing.T) {
	s := newTestScheduler(1)
	add := func(deadline, remaining time.Duration) *Unit {
		u := newUnit(1, job.Step{Count: 1, CPU: 8000, EstimateMs: remaining.Milliseconds()})
		u.Deadline, u.CriticalPath = deadline, remaining
		s.Enqueue(u)
		return u
	}
	fillWorker(s, "w0000")
	becomesLate, inTime, late := add(4*time.Second, 2*time.Second), add(9*time.Second, 2*time.Second),
		add(time.Second, 4*time.Second)
	s.Schedule(time.Second)
	for i, want := range []*Unit{becomesLate, inTime, late} {
		if s.queue[i] != want {
			t.Fatalf("wrong unit at position %d before any further unit is late: deadline %v", i, s.queue[i].Deadline)
		}
	}
	s.Schedule(3100 * time.Millisecond)
	for i, want := range []*Unit{inTime, late, becomesLate} {
		if s.queue[i] != want {
			t.Errorf("wrong unit at position %d after one has become late: deadline %v", i, s.queue[i].Deadline)
		}
	}
}

func TestStepsWiderThanAQuarterOfTheServiceRunInWaves(t *testing.T) {
	s := newTestScheduler(8)
	for count, want := range map[int]int{1: 1, 2: 1, 3: 2, 4: 2, 8: 4} {
		if got := s.Waves(&job.Step{Count: count, CPU: 8000}); got != want {
			t.Errorf("step that needs %d of 8 workers: %d waves, want %d", count, got, want)
		}
	}
	if got := s.Waves(&job.Step{Count: 3, RequiredLabel: "no such label"}); got != 1 {
		t.Errorf("%d waves without an eligible worker, want 1", got)
	}
}

func TestDiagnosisCountsWorkersByReason(t *testing.T) {
	s := newTestScheduler(3)
	fillWorker(s, "w0000")
	s.RecordFault(9*time.Second, "w0001", 0.9)
	unit := newUnit(0, job.Step{Count: 2, CPU: 1000, RequiredLabel: "a"})
	unit.Job.EnsureTask(job.TaskKey{Index: 1}).Worker = "w0000" // else it starves, and is placed in spite of the backoff
	s.Enqueue(unit)
	s.Schedule(9 * time.Second)
	list := s.ExplainWaiting(9*time.Second, time.Second)
	if len(list) != 1 || list[0].Exhausted != 1 || list[0].BackedOff != 1 || list[0].Infeasible != 1 {
		t.Errorf("diagnoses %+v, want one, with each of the three workers under its own reason", list)
	}
}

// BenchmarkSchedule measures a cycle with one decision for several numbers of workers, all but five of which are nearly
// full.
func BenchmarkSchedule(b *testing.B) {
	for _, workers := range []int{50, 350, 2500} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			s := newTestScheduler(workers)
			for i := range workers - 5 {
				s.SetUsed(fmt.Sprintf("w%04d", i), job.Resources{CPU: 7500})
			}
			step := job.Step{Count: 1, CPU: 1000, EstimateMs: 1000}
			now := time.Duration(0)
			for b.Loop() {
				now += time.Millisecond
				s.Enqueue(newUnit(0, step))
				for _, decision := range s.Schedule(now) {
					s.ReleaseReservation(decision.Workers[0], step.Demand())
				}
			}
		})
	}
}
