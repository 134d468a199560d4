package placement

import (
	"fmt"
	"testing"
	"time"

	"yardflow/scheduling/job"
)

// yard returns a placer with workers in racks of three; every third is of kind b.
func yard(workers int) *Scheduler {
	p := New(3, 1)
	for i := range workers {
		kind := "a"
		if i%3 == 2 {
			kind = "b"
		}
		p.SetWorker(fmt.Sprintf("w%04d", i), "s", []string{kind, fmt.Sprint("r", i/3)},
			job.Resources{CPU: 8000, MemoryMB: 8000, GPU: 2}, job.Resources{}, false)
	}
	return p
}

var numbers = 0

func unit(priority int, step job.Step) *Unit {
	numbers++
	indices := []int{0}
	if step.Gang {
		for index := 1; index < step.Count; index++ {
			indices = append(indices, index)
		}
	}
	j := &job.Job{ID: fmt.Sprintf("%016x", numbers), Priority: priority, Request: job.Request{Steps: []job.Step{step}}}
	return &Unit{Job: j, TaskIndices: indices}
}

func fill(p *Scheduler, id string) {
	p.SetUsed(id, job.Resources{CPU: 8000, MemoryMB: 8000, GPU: 2})
}

func TestFastestWithRoomComesFirst(t *testing.T) {
	p := yard(6)
	for range 200 {
		p.ObserveRuntime("w0004", 500*time.Millisecond, time.Second) // twice as fast as the others
	}
	p.Enqueue(unit(0, job.Step{Count: 1, CPU: 1000, EstimateMs: 1000}))
	decisions := p.Schedule(time.Second)
	if len(decisions) != 1 || decisions[0].Workers[0] != "w0004" {
		t.Errorf("decided %v", decisions)
	}
}

func TestUrgentAndEarlierUnitsGoFirst(t *testing.T) {
	p := yard(1)
	late, early, urgent := unit(1, job.Step{Count: 1, CPU: 8000}), unit(1, job.Step{Count: 1, CPU: 8000}), unit(0, job.Step{Count: 1, CPU: 8000})
	late.Deadline, early.Deadline, urgent.Deadline = 9*time.Second, time.Second, 99*time.Second
	for _, u := range []*Unit{late, early, urgent} {
		p.Enqueue(u)
	}
	for _, want := range []*Unit{urgent, early, late} {
		decisions := p.Schedule(time.Second)
		if len(decisions) != 1 || decisions[0].Unit != want {
			t.Fatalf("decided %v", decisions)
		}
		p.ReleaseReservation(decisions[0].Workers[0], decisions[0].Unit.Step().Demand())
	}
}

func TestWhatFitsNowhereHidesNothing(t *testing.T) {
	p := yard(2)
	for range 90 {
		p.Enqueue(unit(0, job.Step{Count: 1, CPU: 1000, RequiredLabel: "no such label"}))
	}
	last := unit(0, job.Step{Count: 1, CPU: 1000})
	last.Deadline = time.Hour
	p.Enqueue(last)
	if decisions := p.Schedule(time.Second); len(decisions) != 1 || decisions[0].Unit != last {
		t.Errorf("decided %v", decisions)
	}
}

func TestReservedRoomIsNotGivenTwice(t *testing.T) {
	p := yard(1)
	for range 3 {
		p.Enqueue(unit(0, job.Step{Count: 1, CPU: 3000}))
	}
	if decisions := p.Schedule(time.Second); len(decisions) != 2 {
		t.Errorf("%d units on a worker that holds two", len(decisions))
	}
}

func TestLabelsDrainingAndAntiAffinity(t *testing.T) {
	p := yard(3)
	p.SetWorker("w0000", "s", []string{"a", "r0"}, job.Resources{CPU: 8000, MemoryMB: 8000}, job.Resources{}, true)
	u := unit(0, job.Step{Count: 2, CPU: 1, RequiredLabel: "a", AntiAffinity: 1})
	p.Enqueue(u)
	decisions := p.Schedule(time.Second)
	if len(decisions) != 1 || decisions[0].Workers[0] != "w0001" {
		t.Fatalf("decided %v", decisions)
	}
	u.Job.EnsureTask(job.TaskKey{}).Worker = "w0001"
	p.Enqueue(&Unit{Job: u.Job, TaskIndices: []int{1}})
	if decisions := p.Schedule(time.Second); len(decisions) != 0 {
		t.Errorf("two tasks that are to be apart: %v", decisions)
	}
}

func TestWorkWaitsForARoomNearItsDataButNotForever(t *testing.T) {
	p := yard(6)
	for i := range 3 {
		fill(p, fmt.Sprintf("w%04d", i))
	}
	p.Enqueue(unit(0, job.Step{Count: 1, CPU: 1000, EstimateMs: 1000, Affinity: "r0"}))
	if decisions := p.Schedule(100 * time.Millisecond); len(decisions) != 0 {
		t.Errorf("went away from its data at once: %v", decisions)
	}
	if decisions := p.Schedule(2100 * time.Millisecond); len(decisions) != 1 {
		t.Error("waits for longer than the way costs")
	}
}

func TestGangInOneRack(t *testing.T) {
	p := yard(6)
	fill(p, "w0000")
	p.Enqueue(unit(1, job.Step{Count: 6, CPU: 1000, GPU: 1, Gang: true, SameRack: true, EstimateMs: 1000}))
	decisions := p.Schedule(time.Second)
	if len(decisions) != 1 || len(decisions[0].Workers) != 6 {
		t.Fatalf("decided %v", decisions)
	}
	for _, id := range decisions[0].Workers {
		if p.workers[id].Rack != "r1" {
			t.Errorf("a member at %s", id)
		}
	}
}

func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	p := yard(1)
	p.Enqueue(unit(1, job.Step{Count: 3, CPU: 4000, Gang: true}))
	if decisions := p.Schedule(time.Second); len(decisions) != 0 {
		t.Errorf("decided %v", decisions)
	}
	if room := p.workers["w0000"].room(); room.CPU != 8000 {
		t.Errorf("a gang that does not fit keeps room: %v", room)
	}
}

func TestBlamedWorkerIsLeftAloneAndForgiven(t *testing.T) {
	p := yard(1)
	p.RecordFault(time.Second, "w0000", 0.6)
	p.Enqueue(unit(0, job.Step{Count: 1, CPU: 1000}))
	if decisions := p.Schedule(1100 * time.Millisecond); len(decisions) != 0 {
		t.Error("a worker that was just blamed gets work")
	}
	if decisions := p.Schedule(2 * time.Second); len(decisions) != 1 {
		t.Error("a worker is never forgiven")
	}
	if bad := p.workers["w0000"].badness(30 * time.Second); bad > 0.01 {
		t.Errorf("after 30 s it is still distrusted: %v", bad)
	}
}

func TestUrgentTasksFindRoomKept(t *testing.T) {
	p := yard(1)
	for i := range 40 { // half of the work is urgent, so room is kept for it
		u := unit(i%2, job.Step{Count: 1, CPU: 100, EstimateMs: 100})
		p.Enqueue(u)
	}
	for _, decision := range p.Schedule(time.Millisecond) {
		p.ReleaseReservation(decision.Workers[0], decision.Unit.Step().Demand())
	}
	for range 8 {
		p.Enqueue(unit(1, job.Step{Count: 1, CPU: 1000, EstimateMs: 1}))
	}
	placed := len(p.Schedule(2 * time.Millisecond))
	if placed == 0 || placed >= 8 {
		t.Errorf("%d of 8 tasks of lower priority placed", placed)
	}
	p.Enqueue(unit(0, job.Step{Count: 1, CPU: 1000, EstimateMs: 1}))
	if decisions := p.Schedule(3 * time.Millisecond); len(decisions) != 1 || decisions[0].Unit.Job.Priority != 0 {
		t.Error("no room for the urgent one")
	}
}

// What is kept free counts over the service: a large task may fill one worker where others have room.
func TestLargeTaskFillsAWorkerThoughRoomIsReserved(t *testing.T) {
	p := yard(3)
	p.urgentWork, p.allWork = 1e9, 2e9
	p.SetUsed("w0000", job.Resources{CPU: 1000, MemoryMB: 1000})
	p.SetUsed("w0001", job.Resources{CPU: 4000, MemoryMB: 4000})
	p.SetUsed("w0002", job.Resources{CPU: 4000, MemoryMB: 4000})
	p.Enqueue(unit(1, job.Step{Count: 1, CPU: 7000, EstimateMs: 1000}))
	if decisions := p.Schedule(time.Second); len(decisions) != 1 || decisions[0].Workers[0] != "w0000" {
		t.Fatalf("decided %v", decisions)
	}
	p.ReleaseReservation("w0000", job.Resources{CPU: 7000})
	p.SetUsed("w0000", job.Resources{CPU: 8000, MemoryMB: 8000})
	p.SetUsed("w0002", job.Resources{CPU: 7000, MemoryMB: 7000})
	p.Enqueue(unit(1, job.Step{Count: 1, CPU: 4000, EstimateMs: 1000}))
	if decisions := p.Schedule(1100 * time.Millisecond); len(decisions) != 0 {
		t.Errorf("took what is reserved for urgent tasks: %v", decisions)
	}
}

func TestOtherWorkersAreNamedThatAreAsGood(t *testing.T) {
	p := yard(9)
	for range 200 {
		p.ObserveRuntime("w0000", 2*time.Second, time.Second) // slower than the others
	}
	fill(p, "w0001")
	p.Enqueue(unit(0, job.Step{Count: 1, CPU: 1000, RequiredLabel: "a"}))
	decisions := p.Schedule(time.Second)
	if len(decisions) != 1 || len(decisions[0].Alternatives) != otherChoices {
		t.Fatalf("decided %+v", decisions)
	}
	seen := map[string]bool{decisions[0].Workers[0]: true, "w0000": true, "w0001": true}
	for _, other := range decisions[0].Alternatives {
		if seen[other] || p.workers[other].Kind != "a" {
			t.Errorf("%s is named beside %s", other, decisions[0].Workers[0])
		}
		seen[other] = true
	}
}

// Under overload a unit that will be late makes way for one that can still be in time, whatever came first.
func TestLateUnitsMakeWay(t *testing.T) {
	p := yard(1)
	add := func(deadline, remaining time.Duration) *Unit {
		u := unit(1, job.Step{Count: 1, CPU: 8000, EstimateMs: remaining.Milliseconds()})
		u.Deadline, u.CriticalPath = deadline, remaining
		p.Enqueue(u)
		return u
	}
	fill(p, "w0000")
	becomesLate, inTime, late := add(4*time.Second, 2*time.Second), add(9*time.Second, 2*time.Second), add(time.Second, 4*time.Second)
	p.Schedule(time.Second)
	for i, want := range []*Unit{becomesLate, inTime, late} {
		if p.queue[i] != want {
			t.Fatalf("place %d before anything became late: %v", i, p.queue[i].Deadline)
		}
	}
	p.Schedule(3100 * time.Millisecond)
	for i, want := range []*Unit{inTime, late, becomesLate} {
		if p.queue[i] != want {
			t.Errorf("place %d: deadline %v", i, p.queue[i].Deadline)
		}
	}
}

func TestStepsWiderThanAQuarterRunInWaves(t *testing.T) {
	p := yard(8)
	for count, want := range map[int]int{1: 1, 2: 1, 3: 2, 4: 2, 8: 4} {
		if got := p.Waves(&job.Step{Count: count, CPU: 8000}); got != want {
			t.Errorf("%d whole workers of 8: %d waves, want %d", count, got, want)
		}
	}
	if got := p.Waves(&job.Step{Count: 3, RequiredLabel: "no such label"}); got != 1 {
		t.Errorf("%d waves where no worker is able", got)
	}
}

func TestExplain(t *testing.T) {
	p := yard(3)
	fill(p, "w0000")
	p.RecordFault(9*time.Second, "w0001", 0.9)
	p.Enqueue(unit(0, job.Step{Count: 1, CPU: 1000, RequiredLabel: "a"}))
	p.Schedule(9 * time.Second)
	list := p.ExplainWaiting(9*time.Second, time.Second)
	if len(list) != 1 || list[0].Exhausted != 1 || list[0].BackedOff != 1 || list[0].Infeasible != 1 {
		t.Errorf("explained %+v", list)
	}
}

// BenchmarkDecide measures one decision among so many workers, most of them full.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{50, 350, 2500} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			p := yard(workers)
			for i := range workers - 5 {
				p.SetUsed(fmt.Sprintf("w%04d", i), job.Resources{CPU: 7500})
			}
			step := job.Step{Count: 1, CPU: 1000, EstimateMs: 1000}
			now := time.Duration(0)
			for b.Loop() {
				now += time.Millisecond
				p.Enqueue(unit(0, step))
				for _, decision := range p.Schedule(now) {
					p.ReleaseReservation(decision.Workers[0], step.Demand())
				}
			}
		})
	}
}
